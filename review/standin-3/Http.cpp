// Blocking HTTP/1.1 over loopback sockets.
#include "Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <utility>

namespace review {
namespace {

constexpr std::size_t MaxMessageBytes = std::size_t{16} << 20;

sockaddr_in toSocketAddress(const Address &address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.Port);
  ::inet_pton(AF_INET, address.Host.c_str(), &out.sin_addr);
  return out;
}

std::string word(const std::string &line, int n) {
  std::istringstream in(line);
  std::string text;
  for (int i = 0; i <= n; ++i)
    if (!(in >> text))
      return {};
  return text;
}

std::string format(const std::string &start, const HeaderMap &headers,
                   const std::string &body) {
  std::string out = start + "\r\n";
  for (const auto &[name, value] : headers)
    out.append(name).append(": ").append(value).append("\r\n");
  out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return out + body;
}

HttpMessage parseHead(const std::string &head) {
  HttpMessage message;
  std::istringstream in(head);
  std::string line;
  while (std::getline(in, line)) {
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
    if (message.Start.empty()) {
      message.Start = line;
      continue;
    }
    const auto colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    std::string name = line.substr(0, colon);
    std::ranges::transform(name, name.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
    const auto begin = line.find_first_not_of(' ', colon + 1);
    message.Headers[name] =
        begin == std::string::npos ? std::string() : line.substr(begin);
  }
  return message;
}

} // namespace

std::string HttpMessage::header(const std::string &name) const {
  const auto it = Headers.find(name);
  return it == Headers.end() ? std::string() : it->second;
}

int HttpMessage::status() const { return std::atoi(word(Start, 1).c_str()); }
std::string HttpMessage::method() const { return word(Start, 0); }
std::string HttpMessage::target() const { return word(Start, 1); }

Socket::Socket(Socket &&other) noexcept
    : Fd(std::exchange(other.Fd, -1)), Input(std::move(other.Input)) {}

Socket &Socket::operator=(Socket &&other) noexcept {
  std::swap(Fd, other.Fd);
  std::swap(Input, other.Input);
  return *this;
}

Socket Socket::connect(const Address &to, std::chrono::milliseconds limit) {
  Socket out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  const auto address = toSocketAddress(to);
  if (::connect(out.Fd, reinterpret_cast<const sockaddr *>(&address),
                sizeof address) != 0 &&
      errno != EINPROGRESS) {
    out.close();
    return out;
  }
  pollfd wait{out.Fd, POLLOUT, 0};
  int error = 0;
  socklen_t size = sizeof error;
  if (::poll(&wait, 1, static_cast<int>(limit.count())) != 1 ||
      ::getsockopt(out.Fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
      error != 0) {
    out.close();
    return out;
  }
  ::fcntl(out.Fd, F_SETFL, 0);
  const int on = 1;
  ::setsockopt(out.Fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  out.setTimeout(limit);
  return out;
}

Socket Socket::listen(const Address &at) {
  Socket out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  ::setsockopt(out.Fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const auto address = toSocketAddress(at);
  if (::bind(out.Fd, reinterpret_cast<const sockaddr *>(&address),
             sizeof address) != 0 ||
      ::listen(out.Fd, 256) != 0)
    out.close();
  return out;
}

Socket Socket::accept() const {
  Socket out(::accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC));
  const int on = 1;
  if (out.isOpen())
    ::setsockopt(out.Fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return out;
}

void Socket::close() {
  if (Fd >= 0)
    ::close(std::exchange(Fd, -1));
}

void Socket::shutdown() const { ::shutdown(Fd, SHUT_RDWR); }

void Socket::setTimeout(std::chrono::milliseconds limit) const {
  timeval time{};
  time.tv_sec = limit.count() / 1000;
  time.tv_usec = limit.count() % 1000 * 1000;
  ::setsockopt(Fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
  ::setsockopt(Fd, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
}

bool Socket::send(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t n = ::send(Fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR)
      continue;
    if (n <= 0)
      return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

std::optional<HttpMessage> Socket::read() {
  std::optional<HttpMessage> message;
  std::size_t length = 0;
  while (true) {
    if (!message) {
      const auto end = Input.find("\r\n\r\n");
      if (end != std::string::npos) {
        message = parseHead(Input.substr(0, end));
        Input.erase(0, end + 4);
        length = std::strtoull(message->header("content-length").c_str(),
                               nullptr, 10);
      }
    }
    if (message && Input.size() >= length) {
      message->Body = Input.substr(0, length);
      Input.erase(0, length);
      return message;
    }
    if (Input.size() > MaxMessageBytes)
      return std::nullopt;
    char bytes[16384];
    const ssize_t n = ::recv(Fd, bytes, sizeof bytes, 0);
    if (n < 0 && errno == EINTR)
      continue;
    if (n <= 0)
      return std::nullopt;
    Input.append(bytes, static_cast<std::size_t>(n));
  }
}

std::string formatRequest(const std::string &method, const std::string &target,
                          const HeaderMap &headers, const std::string &body) {
  return format(method + " " + target + " HTTP/1.1", headers, body);
}

std::string formatAnswer(int status, const HeaderMap &headers,
                         const std::string &body) {
  return format("HTTP/1.1 " + std::to_string(status) + " X", headers, body);
}

std::optional<HttpMessage>
callOnce(const Address &to, const std::string &method,
         const std::string &target, const HeaderMap &headers,
         const std::string &body, std::chrono::milliseconds limit) {
  auto connection = Socket::connect(to, limit);
  auto all = headers;
  all["Host"] = to.text();
  all["Connection"] = "close";
  if (!connection.isOpen() ||
      !connection.send(formatRequest(method, target, all, body)))
    return std::nullopt;
  return connection.read();
}

} // namespace review
