// Opens sockets with the options that the peer links need.
#pragma once

#include "base/Result.h"
#include "peer/PeerLinks.h"

#include <cstdint>
#include <string>
#include <sys/socket.h>

namespace magnoliamill::peer::internal {

struct SocketAddress {
  sockaddr_storage Storage{};
  socklen_t Length = 0;

  const sockaddr *get() const {
    return reinterpret_cast<const sockaddr *>(&Storage);
  }
};

/// \p host is a numeric IPv4 or IPv6 address, otherwise ValueInvalid.
base::Result<SocketAddress> parseAddress(const std::string &host,
                                         std::uint16_t port);
/// The numeric host of \p address, without the port.
std::string formatHost(const sockaddr_storage &address);

/// Returns a socket that listens on \p address; ListenFailed when that is not
/// possible.
base::Result<int> openListener(const PeerAddress &address);
/// The local port of \p socket; 0 when it cannot be read.
std::uint16_t readLocalPort(int socket);

/// Returns a socket for an outgoing connection. It is bound to \p host if that
/// is an address of \p family, so that the peer sees the address that it
/// allows. PeerUnreachable when the socket cannot be created or bound.
base::Result<int> openClientSocket(const std::string &host, int family);

} // namespace magnoliamill::peer::internal
