// Retries calls over the endpoints and classifies failures.
#include "ApiClient.h"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <random>
#include <thread>

namespace magnoliamill::millctl {
namespace {

namespace json = boost::json;
using base::ResultCode;

/// True if the call may succeed at another endpoint. A retry is safe: either
/// the call was not carried out, or a change is repeated under the same change
/// id.
bool isRetryable(ResultCode code) {
  switch (code) {
  case ResultCode::PeerUnreachable:
  case ResultCode::PeerTimeout:
  case ResultCode::PeerProtocol:
  case ResultCode::NoQuorum:
  case ResultCode::NotLeader:
  case ResultCode::ProposalDropped:
  case ResultCode::ChangeOutcomeUnknown:
  case ResultCode::RateLimited:
  case ResultCode::NotRunNotReady:
  case ResultCode::RingFull:
  case ResultCode::Stopping:
    return true;
  default:
    return false;
  }
}

/// True if the call may have been carried out.
bool isOutcomeUnknown(ResultCode code) {
  return code == ResultCode::PeerTimeout || code == ResultCode::PeerProtocol ||
         code == ResultCode::ChangeOutcomeUnknown;
}

/// True if the answer applies to all attempts under the change id, because it
/// comes from the replicated state machine or follows from the change itself.
bool isFinalAnswer(ResultCode code) {
  switch (code) {
  case ResultCode::PathUnknown:
  case ResultCode::PathInvalid:
  case ResultCode::ValueInvalid:
  case ResultCode::ValueTooLarge:
  case ResultCode::VersionConflict:
  case ResultCode::ChangeIdReused:
  case ResultCode::ChangeIdExpired:
    return true;
  default:
    return false;
  }
}

base::Error makeUnknownOutcome(const base::Error &last) {
  return {ResultCode::ChangeOutcomeUnknown,
          fmt::format("the change may have been made ({})", last.Message)};
}

} // namespace

base::Result<json::value> ApiClient::get(const std::string &target) {
  return attempt({"GET", target, {}, ""});
}

base::Result<json::value> ApiClient::change(const std::string &method,
                                            const std::string &target,
                                            const std::string &body,
                                            const std::string &id) {
  return attempt({method, target, {{"Mill-Change-Id", id}}, body});
}

base::Result<json::value> ApiClient::attempt(const HttpCall &call) {
  auto authorized = call;
  if (!Config.Token.empty())
    authorized.Headers.emplace_back("Authorization", "Bearer " + Config.Token);
  bool unknown = false;
  const bool ischange = call.Method != "GET";
  base::Error last{ResultCode::PeerUnreachable, "no endpoint is given"};
  for (unsigned round = 0; round < Config.Rounds; ++round) {
    if (round > 0)
      std::this_thread::sleep_for(Config.Pause);
    for (const auto &endpoint : Config.Endpoints) {
      LastError = nullptr;
      auto answer = Send(endpoint, authorized, Config.Timeout);
      auto value = answer ? readAnswer(answer.value())
                          : base::Result<json::value>(
                                base::fail(std::move(answer.error())));
      if (value || isFinalAnswer(value.error().Code))
        return value;
      if (!isRetryable(value.error().Code))
        return unknown && ischange ? base::Result<json::value>(base::fail(
                                         makeUnknownOutcome(value.error())))
                                   : value;
      unknown = unknown || isOutcomeUnknown(value.error().Code);
      last = value.error();
    }
  }
  if (unknown && ischange)
    return base::fail(makeUnknownOutcome(last));
  return base::fail(std::move(last));
}

base::Result<json::value> ApiClient::readAnswer(const HttpAnswer &answer) {
  boost::system::error_code ec;
  auto value = json::parse(answer.Body, ec);
  bool good = answer.Status >= 200 && answer.Status < 300;
  if (ec)
    return base::fail(ResultCode::PeerProtocol,
                      fmt::format("HTTP {} answer is not JSON", answer.Status));
  if (good)
    return value;
  LastError = value;
  const auto *object = value.if_object();
  const auto *code = object ? object->if_contains("code") : nullptr;
  const auto *text = object ? object->if_contains("message") : nullptr;
  if (!code || !code->is_int64())
    return base::fail(
        ResultCode::PeerProtocol,
        fmt::format("HTTP {} answer has no 'code'", answer.Status));
  return base::fail(static_cast<ResultCode>(code->get_int64()),
                    text && text->is_string()
                        ? std::string(text->get_string().c_str())
                        : fmt::format("HTTP {}", answer.Status));
}

std::string escapeQuery(std::string_view text) {
  std::string escaped;
  for (char c : text) {
    bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                 (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' ||
                 c == '~' || c == '/';
    if (plain)
      escaped += c;
    else
      escaped += fmt::format("%{:02X}", static_cast<unsigned char>(c));
  }
  return escaped;
}

std::string makeChangeId(std::uint64_t index) {
  std::random_device random;
  auto draw = [&random] { return (std::uint64_t{random()} << 32) | random(); };
  auto rest = fmt::format("{:016x}{:016x}", draw(), draw());
  return index == 0 ? rest : fmt::format("{}~{}", index, rest);
}

} // namespace magnoliamill::millctl
