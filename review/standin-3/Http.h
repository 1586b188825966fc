// Blocking HTTP/1.1 over loopback sockets, for one request at a time on a
// connection.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace review {

using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

struct Address {
  std::string Host;
  std::uint16_t Port = 0;
  std::string text() const { return Host + ":" + std::to_string(Port); }
};

/// Names are in lower case.
using HeaderMap = std::map<std::string, std::string>;

struct HttpMessage {
  /// The request line or the status line.
  std::string Start;
  HeaderMap Headers;
  std::string Body;

  std::string header(const std::string &name) const;
  /// The status of an answer; 0 if the line has none.
  int status() const;
  /// The first and second word of a request line.
  std::string method() const;
  std::string target() const;
};

/// Owns a socket.
class Socket {
public:
  Socket() = default;
  explicit Socket(int fd) : Fd(fd) {}
  Socket(Socket &&other) noexcept;
  Socket &operator=(Socket &&other) noexcept;
  ~Socket() { close(); }

  static Socket connect(const Address &to, std::chrono::milliseconds limit);
  /// Listens at \p at; not open if the port is in use.
  static Socket listen(const Address &at);
  Socket accept() const;

  bool isOpen() const { return Fd >= 0; }
  int fd() const { return Fd; }
  void close();
  /// Ends all operations of other threads on the socket.
  void shutdown() const;
  void setTimeout(std::chrono::milliseconds limit) const;

  bool send(std::string_view bytes) const;
  /// Reads one message with a Content-Length, or without a body. Not set if
  /// the connection ends, the time is over or the message is none.
  std::optional<HttpMessage> read();

private:
  int Fd = -1;
  std::string Input;
};

std::string formatRequest(const std::string &method, const std::string &target,
                          const HeaderMap &headers, const std::string &body);
std::string formatAnswer(int status, const HeaderMap &headers,
                         const std::string &body);

/// One call on a connection of its own.
std::optional<HttpMessage>
callOnce(const Address &to, const std::string &method,
         const std::string &target, const HeaderMap &headers,
         const std::string &body,
         std::chrono::milliseconds limit = std::chrono::milliseconds(1000));

} // namespace review
