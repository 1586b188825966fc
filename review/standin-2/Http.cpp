// Blocking I/O with poll(), so that each operation ends by its limit.
#include "Http.h"

#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace standin {
namespace {

constexpr int Backlog = 512;

bool waitFor(int fd, short events, Time limit) {
  while (true) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        limit - Clock::now());
    if (left.count() <= 0)
      return false;
    pollfd entry{fd, events, 0};
    const int n = ::poll(&entry, 1, static_cast<int>(left.count()) + 1);
    if (n > 0)
      return true;
    if (n < 0 && errno != EINTR)
      return false;
  }
}

bool fill(const Address &address, sockaddr_in &out) {
  out = {};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.Port);
  return ::inet_pton(AF_INET, address.Host.c_str(), &out.sin_addr) == 1;
}

bool receive(const Socket &socket, std::string &buffer, Time limit) {
  char bytes[16384];
  while (true) {
    const auto n = ::recv(socket.get(), bytes, sizeof bytes, MSG_DONTWAIT);
    if (n > 0) {
      buffer.append(bytes, static_cast<std::size_t>(n));
      return true;
    }
    if (n == 0 || (errno != EAGAIN && errno != EINTR))
      return false;
    if (!waitFor(socket.get(), POLLIN, limit))
      return false;
  }
}

/// Takes the text up to \p end from the buffer; reads until it is there.
std::optional<std::string> takeUntil(const Socket &socket, std::string &buffer,
                                     std::string_view end, Time limit) {
  std::size_t at = 0;
  while ((at = buffer.find(end)) == std::string::npos)
    if (!receive(socket, buffer, limit))
      return std::nullopt;
  std::string text = buffer.substr(0, at);
  buffer.erase(0, at + end.size());
  return text;
}

std::optional<std::string> takeBytes(const Socket &socket, std::string &buffer,
                                     std::size_t size, Time limit) {
  while (buffer.size() < size)
    if (!receive(socket, buffer, limit))
      return std::nullopt;
  std::string text = buffer.substr(0, size);
  buffer.erase(0, size);
  return text;
}

std::optional<std::string> takeChunks(const Socket &socket, std::string &buffer,
                                      Time limit) {
  std::string body;
  while (true) {
    const auto line = takeUntil(socket, buffer, "\r\n", limit);
    std::size_t size = 0;
    if (!line ||
        std::from_chars(line->data(), line->data() + line->size(), size, 16)
                .ec != std::errc())
      return std::nullopt;
    const auto part = takeBytes(socket, buffer, size + 2, limit);
    if (!part)
      return std::nullopt;
    if (size == 0)
      return body;
    body.append(*part, 0, size);
  }
}

void addField(Message &message, std::string_view line) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos)
    return;
  std::string name(line.substr(0, colon));
  for (char &c : name)
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  auto value = line.substr(colon + 1);
  value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
  message.Fields[name] = std::string(value);
}

} // namespace

Socket::~Socket() {
  if (Descriptor >= 0)
    ::close(Descriptor);
}

Socket connectTo(const Address &address, Time limit) {
  sockaddr_in to;
  Socket socket(
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fill(address, to) || !socket.isOpen())
    return {};
  const int on = 1;
  ::setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (::connect(socket.get(), reinterpret_cast<sockaddr *>(&to), sizeof to) ==
      0)
    return socket;
  if (errno != EINPROGRESS || !waitFor(socket.get(), POLLOUT, limit))
    return {};
  int error = 0;
  socklen_t size = sizeof error;
  ::getsockopt(socket.get(), SOL_SOCKET, SO_ERROR, &error, &size);
  return error == 0 ? std::move(socket) : Socket();
}

Socket listenOn(const std::string &host, std::uint16_t port) {
  sockaddr_in at;
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (!fill({host, port}, at) || !socket.isOpen())
    return {};
  const int on = 1;
  ::setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (::bind(socket.get(), reinterpret_cast<sockaddr *>(&at), sizeof at) != 0 ||
      ::listen(socket.get(), Backlog) != 0)
    return {};
  return socket;
}

std::uint16_t portOf(const Socket &socket) {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  ::getsockname(socket.get(), reinterpret_cast<sockaddr *>(&at), &size);
  return ntohs(at.sin_port);
}

bool sendAll(const Socket &socket, std::string_view bytes, Time limit) {
  while (!bytes.empty()) {
    const auto n = ::send(socket.get(), bytes.data(), bytes.size(),
                          MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(n));
      continue;
    }
    if (errno != EAGAIN && errno != EINTR)
      return false;
    if (!waitFor(socket.get(), POLLOUT, limit))
      return false;
  }
  return true;
}

std::string Message::field(const std::string &name) const {
  const auto it = Fields.find(name);
  return it == Fields.end() ? std::string() : it->second;
}

int Message::status() const {
  const auto space = Start.find(' ');
  return space == std::string::npos ? 0 : std::atoi(Start.c_str() + space);
}

std::optional<Message> readMessage(const Socket &socket, std::string &buffer,
                                   Time limit) {
  const auto head = takeUntil(socket, buffer, "\r\n\r\n", limit);
  if (!head)
    return std::nullopt;
  Message message;
  std::size_t begin = head->find("\r\n");
  message.Start = head->substr(0, begin);
  while (begin != std::string::npos) {
    const auto end = head->find("\r\n", begin + 2);
    addField(message,
             std::string_view(*head).substr(begin + 2, end == std::string::npos
                                                           ? std::string::npos
                                                           : end - begin - 2));
    begin = end;
  }
  const auto body =
      message.field("transfer-encoding") == "chunked"
          ? takeChunks(socket, buffer, limit)
          : takeBytes(socket, buffer,
                      std::strtoull(message.field("content-length").c_str(),
                                    nullptr, 10),
                      limit);
  if (!body)
    return std::nullopt;
  message.Body = *body;
  return message;
}

std::optional<Message> call(const Address &address, const std::string &method,
                            const std::string &path, const std::string &body,
                            std::chrono::milliseconds limit,
                            const std::string &fields) {
  const auto end = Clock::now() + limit;
  const Socket socket = connectTo(address, end);
  if (!socket.isOpen())
    return std::nullopt;
  const std::string text =
      method + " " + path + " HTTP/1.1\r\n" +
      (fields.starts_with("Host: ") ? "" : "Host: " + address.text() + "\r\n") +
      fields + "Content-Length: " + std::to_string(body.size()) +
      "\r\nConnection: close\r\n\r\n" + body;
  std::string buffer;
  if (!sendAll(socket, text, end))
    return std::nullopt;
  return readMessage(socket, buffer, end);
}

} // namespace standin
