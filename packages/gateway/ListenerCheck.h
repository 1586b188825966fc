// Checks whether a process still listens at the address of a target.
#pragma once

#include "base/Time.h"
#include "gateway/TargetClient.h"

#include <boost/asio/io_context.hpp>
#include <functional>

namespace magnoliamill::gateway {

enum class ListenerState {
  /// The address accepted a connection.
  Listening,
  /// It refused one: no process listens there.
  Refused,
  /// No answer within the time limit, or another error.
  Unknown
};

/// Connects to \p address and closes the connection at once. \p done is called
/// once, on the event loop, after \p limit at the latest.
void checkListener(boost::asio::io_context &context,
                   const TargetAddress &address, base::Duration limit,
                   std::function<void(ListenerState)> done);

} // namespace magnoliamill::gateway
