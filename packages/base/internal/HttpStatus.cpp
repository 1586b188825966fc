// Chooses the HTTP status by the thousands group of the result code.
#include "base/HttpStatus.h"

namespace magnoliamill::base {
namespace {

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

std::uint16_t statusOfRequestOutcome(ResultCode code) {
  if (code == ResultCode::OutcomeUnknownDeadline)
    return 504;
  if (code == ResultCode::RepeatInProgress)
    return 409;
  return numberOf(code) >= 3100 ? 502 : 503;
}

std::uint16_t statusOfSettingsError(ResultCode code) {
  switch (code) {
  case ResultCode::AccessDenied:
    return 403;
  case ResultCode::PathUnknown:
  case ResultCode::UnknownDataCentre:
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

} // namespace

std::uint16_t httpStatusOf(ResultCode code) {
  if (code == ResultCode::Ok)
    return 200;
  switch (numberOf(code) / 1000) {
  case 1:
    return 400;
  case 2:
    return statusOfRequestError(code);
  case 3:
    return statusOfRequestOutcome(code);
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

} // namespace magnoliamill::base
