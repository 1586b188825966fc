// Sockets and HTTP/1.1 messages with time limits.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace standin {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;

struct Address {
  std::string Host;
  std::uint16_t Port = 0;

  std::string text() const { return Host + ":" + std::to_string(Port); }
};

class Socket {
public:
  Socket() = default;
  explicit Socket(int fd) : Descriptor(fd) {}
  Socket(Socket &&other) noexcept
      : Descriptor(std::exchange(other.Descriptor, -1)) {}
  Socket &operator=(Socket &&other) noexcept {
    std::swap(Descriptor, other.Descriptor);
    return *this;
  }
  ~Socket();

  int get() const { return Descriptor; }
  bool isOpen() const { return Descriptor >= 0; }

private:
  int Descriptor = -1;
};

/// Not open on failure.
Socket connectTo(const Address &address, Time limit);
/// Listens on \p host; the port is chosen if it is 0. Not open on failure.
Socket listenOn(const std::string &host, std::uint16_t port = 0);
std::uint16_t portOf(const Socket &socket);
/// False if the peer closed or the limit was reached first.
bool sendAll(const Socket &socket, std::string_view bytes, Time limit);

struct Message {
  /// The request line or status line.
  std::string Start;
  /// Names in lower case.
  std::map<std::string, std::string> Fields;
  std::string Body;

  std::string field(const std::string &name) const;
  /// The status of an answer; 0 if there is none.
  int status() const;
};

/// Reads one message, whose body has a length or is in chunks. \p buffer keeps
/// what was read behind it.
std::optional<Message> readMessage(const Socket &socket, std::string &buffer,
                                   Time limit);

/// One call on a connection of its own; not set without a whole answer. \p
/// fields are further header lines; they may begin with that of the host.
std::optional<Message> call(const Address &address, const std::string &method,
                            const std::string &path, const std::string &body,
                            std::chrono::milliseconds limit,
                            const std::string &fields = {});

} // namespace standin
