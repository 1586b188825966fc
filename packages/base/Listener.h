// Opens a listening socket.
#pragma once

#include "base/Result.h"

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

namespace magnoliamill::base {

/// Listens on the numeric IP \p host; the port may be 0 for any that is free.
/// Error: ListenFailed.
Result<void> openListener(boost::asio::ip::tcp::acceptor &acceptor,
                          const std::string &host, std::uint16_t port);

} // namespace magnoliamill::base
