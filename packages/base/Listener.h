// Opens listening TCP sockets.
#pragma once

#include "base/Result.h"

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

namespace magnoliamill::base {

/// Binds \p acceptor to the numeric IP \p host and listens. Port 0 picks a free
/// port. Fails with ListenFailed.
Result<void> openListener(boost::asio::ip::tcp::acceptor &acceptor,
                          const std::string &host, std::uint16_t port);

} // namespace magnoliamill::base
