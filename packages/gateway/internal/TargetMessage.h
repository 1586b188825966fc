// Conversion of requests to targets and of answer heads to and from HTTP.
#pragma once

#include "gateway/TargetClient.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/span_body.hpp>

namespace magnoliamill::gateway::internal {

using TargetRequest =
    boost::beast::http::request<boost::beast::http::span_body<const char>>;
using TargetResponseParser =
    boost::beast::http::response_parser<boost::beast::http::buffer_body>;
using TargetResponse =
    boost::beast::http::response<boost::beast::http::buffer_body>;

/// Builds the request sent to the target; \p left is the time left until the
/// deadline. The message refers to the body of \p call, which must outlive it.
TargetRequest buildTargetRequest(const TargetCall &call,
                                 const std::string &DeadlineHeader,
                                 base::Duration left);

/// Returns the head of an answer with all its headers.
protocol::AnswerHead readAnswerHead(const TargetResponse &response,
                                    std::optional<std::uint64_t> length);

/// Returns the length of the body, if the head states it.
std::optional<std::uint64_t> readBodyLength(const TargetResponseParser &parser);

/// True if the body ends with the connection.
bool isCloseDelimited(const TargetResponseParser &parser);

/// True if the target states that it refused the request before running it.
bool isRefusedBeforeRunning(const TargetResponse &response);

/// Returns the idle timeout announced by the target, if any.
std::optional<base::Duration> readKeepAlive(const TargetResponse &response);

/// Returns Retry-After in milliseconds, at most 1 h; 0 if absent or not a
/// number of seconds.
std::uint32_t readRetryAfterMs(const TargetResponse &response);
/// Mill-Rate-Limit in requests per second; not set if it is missing or invalid.
std::optional<double> readRateLimit(const TargetResponse &response);

} // namespace magnoliamill::gateway::internal
