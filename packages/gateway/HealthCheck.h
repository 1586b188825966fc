// Requests the health of a target on a connection of its own.
#pragma once

#include "base/Time.h"
#include "gateway/TargetClient.h"
#include "protocol/Messages.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>

namespace magnoliamill::gateway {

/// Sends GET \p path to \p address and closes the connection after the head of
/// the answer. \p done is called once, on the event loop, after \p limit at the
/// latest; without a head if none has arrived by then or it is malformed.
void requestHealth(
    boost::asio::io_context &context, const TargetAddress &address,
    const std::string &path, base::Duration limit,
    std::function<void(std::optional<protocol::AnswerHead>)> done);

} // namespace magnoliamill::gateway
