// Conversion between calls and HTTP messages.
#include "gateway/internal/TargetMessage.h"

#include "gateway/HeaderRules.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace magnoliamill::gateway::internal {

namespace http = boost::beast::http;

namespace {

/// Upper limit of the Retry-After delay accepted from a target.
constexpr std::uint32_t MaxRetryAfterMs = 3'600'000;

bool methodExpectsBody(http::verb method) {
  return method == http::verb::post || method == http::verb::put ||
         method == http::verb::patch;
}

} // namespace

TargetRequest buildTargetRequest(const TargetCall &call,
                                 const std::string &DeadlineHeader,
                                 base::Duration left) {
  const auto &request = call.Request;
  TargetRequest message;
  message.version(11);
  message.method_string(request.Method);
  message.target(request.Target);
  message.set(http::field::host,
              call.Host.empty()
                  ? call.Address.Host + ":" + std::to_string(call.Address.Port)
                  : call.Host);
  for (const auto &header : request.Headers)
    message.insert(header.Name, header.Value);
  if (call.Token)
    message.set("Mill-Token", base::formatToken(*call.Token));
  if (call.Slot)
    message.set("Mill-Slot", std::to_string(*call.Slot));
  if (!request.Key.empty())
    message.set("Mill-Key", request.Key);
  if (!request.Id.empty())
    message.set("Mill-Request-Id", request.Id.Value);
  if (!request.ClientAccount.empty())
    message.set("Mill-Client-Account", request.ClientAccount.Value);
  if (!request.IdempotencyKey.empty())
    message.set("Idempotency-Key", request.IdempotencyKey);
  const auto ms = std::max<std::int64_t>(base::toMs(left), 1);
  message.set(DeadlineHeader, std::to_string(ms));
  const std::string &body = call.SharedBody ? *call.SharedBody : request.Body;
  message.body() = {body.data(), body.size()};
  if (!body.empty() || methodExpectsBody(message.method()))
    message.content_length(body.size());
  return message;
}

protocol::AnswerHead readAnswerHead(const TargetResponse &response,
                                    std::optional<std::uint64_t> length) {
  protocol::AnswerHead head;
  head.Status = static_cast<std::uint16_t>(response.result_int());
  for (const auto &field : response)
    head.Headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  head.Length = length;
  return head;
}

std::optional<std::uint64_t>
readBodyLength(const TargetResponseParser &parser) {
  if (const auto length = parser.content_length())
    return *length;
  if (parser.is_done())
    return 0;
  return std::nullopt;
}

bool isCloseDelimited(const TargetResponseParser &parser) {
  return !parser.is_done() && !parser.chunked() && !parser.content_length();
}

bool isRefusedBeforeRunning(const TargetResponse &response) {
  return response.result_int() >= 400 && response["Mill-Not-Run"] == "1";
}

std::optional<base::Duration> readKeepAlive(const TargetResponse &response) {
  const std::string_view text = response[http::field::keep_alive];
  constexpr std::string_view Name = "timeout=";
  const auto begin = text.find(Name);
  if (begin == std::string_view::npos)
    return std::nullopt;
  std::uint32_t seconds = 0;
  const char *end = text.data() + text.size();
  const auto [ptr, ec] =
      std::from_chars(text.data() + begin + Name.size(), end, seconds);
  if (ec != std::errc())
    return std::nullopt;
  return std::chrono::seconds(seconds);
}

std::uint32_t readRetryAfterMs(const TargetResponse &response) {
  const auto text = response[http::field::retry_after];
  std::uint32_t seconds = 0;
  const auto [ptr, ec] =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (ec != std::errc() || ptr != text.data() + text.size())
    return 0;
  return std::min(seconds, MaxRetryAfterMs / 1000) * 1000;
}

std::optional<double> readRateLimit(const TargetResponse &response) {
  const auto text = response["Mill-Rate-Limit"];
  double rate = 0;
  const auto [ptr, ec] =
      std::from_chars(text.data(), text.data() + text.size(), rate);
  if (ec != std::errc() || ptr != text.data() + text.size() ||
      !std::isfinite(rate) || rate < 0)
    return std::nullopt;
  return rate;
}

} // namespace magnoliamill::gateway::internal
