// Requests to targets and the heads of their answers, in HTTP.
#pragma once

#include "gateway/TargetClient.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace magnoliamill::gateway::internal {

using TargetRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using TargetResponseParser =
    boost::beast::http::response_parser<boost::beast::http::buffer_body>;
using TargetResponse =
    boost::beast::http::response<boost::beast::http::buffer_body>;

/// The request as the target gets it; \p left is what is left of the deadline.
/// The body is copied, as the request may have to be sent a second time.
TargetRequest buildTargetRequest(const TargetCall &call,
                                 const std::string &DeadlineHeader,
                                 base::Duration left);

/// The head of an answer as it came.
protocol::AnswerHead readAnswerHead(const TargetResponse &response,
                                    std::optional<std::uint64_t> length);

/// True when the target says that it refused the request before running it.
bool isRefusedBeforeRunning(const TargetResponse &response);

/// How long the target keeps the idle connection, where it says so.
std::optional<base::Duration> readKeepAlive(const TargetResponse &response);

/// Retry-After in milliseconds; 0 when absent or not in seconds.
std::uint32_t readRetryAfterMs(const TargetResponse &response);

} // namespace magnoliamill::gateway::internal
