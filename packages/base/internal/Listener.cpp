// Opens, binds and listens on a TCP socket.
#include "base/Listener.h"

namespace magnoliamill::base {

using boost::asio::ip::tcp;

Result<void> openListener(tcp::acceptor &acceptor, const std::string &host,
                          std::uint16_t port) {
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(host, ec);
  if (ec)
    return fail(ResultCode::ListenFailed,
                "'" + host + "' is not an IP address");
  const tcp::endpoint endpoint(address, port);
  acceptor.open(endpoint.protocol(), ec);
  if (!ec)
    acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec)
    acceptor.bind(endpoint, ec);
  if (!ec)
    acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
  if (ec)
    return fail(ResultCode::ListenFailed, "listen on " + host + ":" +
                                              std::to_string(port) + ": " +
                                              ec.message());
  return ok();
}

} // namespace magnoliamill::base
