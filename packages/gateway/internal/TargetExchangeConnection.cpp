// Taking, opening, replacing and returning the connection of a call.
#include "gateway/internal/TargetExchange.h"

#include <algorithm>

namespace magnoliamill::gateway::internal {

using base::ResultCode;
using boost::asio::ip::tcp;

void TargetExchange::takeConnection(bool fresh) {
  const auto now = base::readMonotonic();
  if (!fresh)
    Connection = Pool->takeIdle(Call.Address, Call.Idempotent, now);
  if (Connection) {
    armTimer(Call.Deadline);
    return write();
  }
  Connection = Pool->open(Call.Address);
  if (!Connection)
    return fail(ResultCode::TargetUnreachable,
                "the limit of connections to the target is reached");
  connect();
}

void TargetExchange::connect() {
  ErrorCode ec;
  const auto address = boost::asio::ip::make_address(Call.Address.Host, ec);
  if (ec)
    return fail(ResultCode::TargetUnreachable,
                "'" + Call.Address.Host + "' is not an IP address");
  IsConnecting = true;
  armTimer(
      std::min(Call.Deadline, base::readMonotonic() + Config.ConnectTimeout));
  Connection->Socket.async_connect(
      tcp::endpoint(address, Call.Address.Port),
      [self = shared_from_this(), connection = Connection](ErrorCode result) {
        self->onConnected(result);
      });
}

void TargetExchange::onConnected(ErrorCode ec) {
  if (IsFinished)
    return;
  if (ec)
    return fail(ResultCode::TargetUnreachable, ec.message());
  IsConnecting = false;
  Connection->Socket.set_option(tcp::no_delay(true), ec);
  armTimer(Call.Deadline);
  write();
}

/// Retries once on a new connection. Returns false if that was done before.
bool TargetExchange::retryOnNewConnection() {
  if (std::exchange(HasRetried, true))
    return false;
  HasLostAnswer = IsWritten;
  releaseConnection(false);
  Parser.reset();
  takeConnection(true);
  return true;
}

void TargetExchange::releaseConnection(bool reusable) {
  if (!Connection)
    return;
  if (reusable)
    return Pool->release(Call.Address, std::move(Connection),
                         base::readMonotonic());
  Pool->drop(Call.Address, std::move(Connection));
}

} // namespace magnoliamill::gateway::internal
