// Rendering of failures as HTTP responses.
#include "base/HttpStatus.h"
#include "base/ResultCode.h"
#include "gateway/HttpGateway.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace magnoliamill::gateway {
namespace {

using base::ResultCode;

constexpr std::uint32_t DefaultRetryAfterMs = 1000;

/// True only for codes that guarantee that the request was not run.
bool guaranteesNotRun(ResultCode code) {
  switch (code) {
  case ResultCode::ChangeOutcomeUnknown:
  case ResultCode::StorageFailed:
  case ResultCode::StorageFull:
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
  reply.Status = base::httpStatusOf(failure.Code);
  const std::string_view outcome =
      guaranteesNotRun(failure.Code) ? "not-run" : "unknown";
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
