// Opens one connection with a time limit.
#include "gateway/ListenerCheck.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace magnoliamill::gateway {
namespace {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

struct Check {
  Check(boost::asio::io_context &context,
        std::function<void(ListenerState)> done)
      : Socket(context), Timer(context), Done(std::move(done)) {}

  void finish(ListenerState state) {
    ErrorCode ec;
    Timer.cancel();
    Socket.close(ec);
    if (const auto done = std::exchange(Done, nullptr))
      done(state);
  }

  tcp::socket Socket;
  boost::asio::steady_timer Timer;
  std::function<void(ListenerState)> Done;
};

ListenerState stateOf(ErrorCode ec) {
  if (!ec)
    return ListenerState::Listening;
  return ec == boost::asio::error::connection_refused ? ListenerState::Refused
                                                      : ListenerState::Unknown;
}

} // namespace

void checkListener(boost::asio::io_context &context,
                   const TargetAddress &address, base::Duration limit,
                   std::function<void(ListenerState)> done) {
  auto check = std::make_shared<Check>(context, std::move(done));
  ErrorCode ec;
  const auto host = boost::asio::ip::make_address(address.Host, ec);
  if (ec)
    return boost::asio::post(
        context, [check] { check->finish(ListenerState::Unknown); });
  check->Timer.expires_after(limit);
  check->Timer.async_wait([check](ErrorCode result) {
    if (!result)
      check->finish(ListenerState::Unknown);
  });
  check->Socket.async_connect(
      tcp::endpoint(host, address.Port),
      [check](ErrorCode result) { check->finish(stateOf(result)); });
}

} // namespace magnoliamill::gateway
