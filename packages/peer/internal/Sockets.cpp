// Opens sockets with system calls; KJ does all further I/O on them.
#include "peer/internal/Sockets.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

namespace magnoliamill::peer::internal {
namespace {

using base::ResultCode;

constexpr int ListenBacklog = 256;

void setOption(int socket, int level, int option) {
  int on = 1;
  // Errors are ignored: these options only tune, the link works without them.
  (void)setsockopt(socket, level, option, &on, sizeof on);
}

base::Result<int> openSocket(int family) {
  int socket = ::socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (socket < 0)
    return base::fail(ResultCode::PeerUnreachable, strerror(errno));
  setOption(socket, IPPROTO_TCP, TCP_NODELAY);
  return socket;
}

} // namespace

base::Result<SocketAddress> parseAddress(const std::string &host,
                                         std::uint16_t port) {
  SocketAddress address;
  auto *v4 = reinterpret_cast<sockaddr_in *>(&address.Storage);
  if (inet_pton(AF_INET, host.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(port);
    address.Length = sizeof(sockaddr_in);
    return address;
  }
  auto *v6 = reinterpret_cast<sockaddr_in6 *>(&address.Storage);
  if (inet_pton(AF_INET6, host.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(port);
    address.Length = sizeof(sockaddr_in6);
    return address;
  }
  return base::fail(ResultCode::ValueInvalid,
                    fmt::format("\"{}\" is not a numeric IP address", host));
}

std::string formatHost(const sockaddr_storage &address) {
  std::array<char, INET6_ADDRSTRLEN> buf{};
  const void *bytes = nullptr;
  if (address.ss_family == AF_INET)
    bytes = &reinterpret_cast<const sockaddr_in *>(&address)->sin_addr;
  else if (address.ss_family == AF_INET6)
    bytes = &reinterpret_cast<const sockaddr_in6 *>(&address)->sin6_addr;
  if (!bytes || !inet_ntop(address.ss_family, bytes, buf.data(),
                           static_cast<socklen_t>(buf.size())))
    return {};
  return buf.data();
}

base::Result<int> openListener(const PeerAddress &address) {
  auto parsed = parseAddress(address.Host, address.Port);
  if (!parsed)
    return base::fail(ResultCode::ListenFailed, parsed.error().Message);
  auto socket = openSocket(parsed.value().Storage.ss_family);
  if (!socket)
    return base::fail(ResultCode::ListenFailed, socket.error().Message);
  setOption(socket.value(), SOL_SOCKET, SO_REUSEADDR);
  if (bind(socket.value(), parsed.value().get(), parsed.value().Length) == 0 &&
      listen(socket.value(), ListenBacklog) == 0)
    return socket.value();
  auto message = fmt::format("cannot listen on {}:{}: {}", address.Host,
                             address.Port, strerror(errno));
  close(socket.value());
  return base::fail(ResultCode::ListenFailed, std::move(message));
}

std::uint16_t readLocalPort(int socket) {
  sockaddr_storage address{};
  socklen_t length = sizeof address;
  if (getsockname(socket, reinterpret_cast<sockaddr *>(&address), &length) != 0)
    return 0;
  // The port is at the same offset in both address families.
  return ntohs(reinterpret_cast<const sockaddr_in *>(&address)->sin_port);
}

base::Result<int> openClientSocket(const std::string &host, int family) {
  auto socket = openSocket(family);
  if (!socket)
    return socket;
  // The port is chosen in connect(), where it has to be unique per peer only.
  setOption(socket.value(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT);
  auto own = parseAddress(host, 0);
  if (!own || own.value().Storage.ss_family != family)
    return socket;
  if (bind(socket.value(), own.value().get(), own.value().Length) == 0)
    return socket;
  auto message = fmt::format("cannot bind to {}: {}", host, strerror(errno));
  close(socket.value());
  return base::fail(ResultCode::PeerUnreachable, std::move(message));
}

} // namespace magnoliamill::peer::internal
