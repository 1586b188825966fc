// How numbered failures look in HTTP.
#include "base/ResultCode.h"
#include "gateway/HttpGateway.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace magnoliamill::gateway {
namespace {

using base::ResultCode;

constexpr std::uint32_t DefaultRetryAfterMs = 1000;

std::uint16_t statusOfRequestError(ResultCode code) {
  switch (code) {
  case ResultCode::HeaderTooLarge:
    return 431;
  case ResultCode::BodyTooLarge:
    return 413;
  case ResultCode::UnknownService:
  case ResultCode::UnknownRoute:
    return 404;
  case ResultCode::RequestTimeout:
    return 408;
  case ResultCode::TooManyConnections:
    return 503;
  default:
    return 400;
  }
}

std::uint16_t statusOfFate(ResultCode code) {
  if (code == ResultCode::OutcomeUnknownDeadline)
    return 504;
  if (code == ResultCode::RepeatInProgress)
    return 409;
  return base::numberOf(code) >= 3100 ? 502 : 503;
}

/// The same as settings::httpStatusOf gives to a refused change; a test of the
/// pages compares them.
std::uint16_t statusOfSettingsError(ResultCode code) {
  switch (code) {
  case ResultCode::AccessDenied:
    return 403;
  case ResultCode::PathUnknown:
    return 404;
  case ResultCode::VersionConflict:
  case ResultCode::ChangeIdReused:
    return 409;
  case ResultCode::ChangeIdExpired:
    return 410;
  case ResultCode::ValueTooLarge:
    return 413;
  case ResultCode::RateLimited:
    return 429;
  case ResultCode::NoQuorum:
    return 503;
  case ResultCode::ChangeOutcomeUnknown:
    return 504;
  default:
    return 400;
  }
}

std::uint16_t statusOf(ResultCode code) {
  switch (base::numberOf(code) / 1000) {
  case 1:
    return 400;
  case 2:
    return statusOfRequestError(code);
  case 3:
    return statusOfFate(code);
  case 4:
    return statusOfSettingsError(code);
  case 6:
    if (code == ResultCode::TargetNotAllowed)
      return 403;
    return code == ResultCode::AnnouncementInvalid ? 422 : 409;
  case 8:
    return 502;
  case 9:
    return code == ResultCode::Internal ? 500 : 503;
  default:
    return 503;
  }
}

/// Says "not run" only for codes that promise it.
bool isSurelyNotRun(ResultCode code) {
  switch (code) {
  case ResultCode::ChangeOutcomeUnknown:
  case ResultCode::StorageFailed:
  case ResultCode::Internal:
    return false;
  default:
    break;
  }
  const int group = base::numberOf(code) / 1000;
  if (group == 3)
    return base::numberOf(code) < 3100;
  return group != 7 && group != 8;
}

} // namespace

ApiReply renderFailure(const protocol::RequestFailure &failure) {
  ApiReply reply;
  reply.Status = statusOf(failure.Code);
  const std::string_view outcome =
      isSurelyNotRun(failure.Code) ? "not-run" : "unknown";
  std::uint32_t delay = failure.RetryAfterMs;
  if (delay == 0 && reply.Status == 503)
    delay = DefaultRetryAfterMs;

  boost::json::object document;
  document["code"] = base::numberOf(failure.Code);
  document["name"] = base::nameOf(failure.Code);
  document["message"] = failure.Message;
  document["outcome"] = outcome;
  document["retry_after_ms"] = delay;
  reply.Body = boost::json::serialize(document);
  reply.Headers.push_back({"Mill-Outcome", std::string(outcome)});
  reply.Headers.push_back(
      {"Mill-Code", std::to_string(base::numberOf(failure.Code))});
  if (delay > 0)
    reply.Headers.push_back(
        {"Retry-After", std::to_string((delay + 999) / 1000)});
  return reply;
}

} // namespace magnoliamill::gateway
