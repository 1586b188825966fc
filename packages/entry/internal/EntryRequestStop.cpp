// A client attempt while this VM stops: whether it fits, what is owed to it.
#include "base/Log.h"
#include "entry/EntryRequest.h"
#include "entry/RequestHandler.h"

#include <algorithm>

namespace magnoliamill::entry {

using base::ResultCode;

namespace {

/// Retry-After value if another VM can serve the client almost immediately.
constexpr base::Duration OtherVmRetryAfter = std::chrono::milliseconds(50);

} // namespace

bool EntryRequest::fitsStop() const {
  const auto &stop = Handler.stopAdmission();
  return !stop.isStopping() ||
         stop.admits(Deadline, Handler.deliveryTime(*Route, Deadline));
}

bool EntryRequest::refuseUnlessFitsStop() {
  if (fitsStop())
    return false;
  base::logInfo(
      "entry", "a request may outlast the stop of this VM",
      {{"request", Metadata.Id},
       {"route", Route->Name},
       {"limit_ms", base::toMs(Deadline - ArrivedAt)},
       {"delivery_ms", base::toMs(Handler.deliveryTime(*Route, Deadline))},
       {"stop_left_ms",
        base::toMs(base::delayUntil(Handler.stopAdmission().endsAt()))}});
  refuse(ResultCode::NotRunNotReady, "this VM is stopping", OtherVmRetryAfter);
  return true;
}

void EntryRequest::onStop() {
  if (!IsFinished && Tried.empty() && RelayHosts.empty())
    refuseUnlessFitsStop();
}

std::string_view nameOf(RequestStage stage) {
  switch (stage) {
  case RequestStage::WaitingForTarget:
    return "waiting_for_target";
  case RequestStage::AtTarget:
    return "at_target";
  case RequestStage::Receiving:
    return "receiving";
  case RequestStage::Paced:
    return "paced";
  case RequestStage::Sending:
    return "sending";
  }
  return "";
}

RequestStage EntryRequest::stage() const {
  if (Tried.empty() && RelayHosts.empty())
    return RequestStage::WaitingForTarget;
  if (!HeadAt)
    return RequestStage::AtTarget;
  if (IsSending)
    return RequestStage::Sending;
  return IsDelivering && !IsDeliveryIdle ? RequestStage::Paced
                                         : RequestStage::Receiving;
}

std::uint64_t EntryRequest::owedBytes() const {
  if (!HeadAt)
    return 0;
  const std::uint64_t whole =
      IsDelivering ? AnswerBytes : Head.Length.value_or(Body.size());
  return whole - std::min<std::uint64_t>(whole, DeliveredBytes);
}

std::optional<OwedAnswer> EntryRequest::owedAnswer() const {
  if (!Route)
    return std::nullopt;
  if (!HeadAt)
    return OwedAnswer{Deadline, Handler.link().expectedBytes(Route->Name)};
  return OwedAnswer{base::readMonotonic(), static_cast<double>(owedBytes())};
}

void EntryRequest::logUnfinished(std::string_view text) const {
  const auto now = base::readMonotonic();
  base::logWarning("entry", ResultCode::Stopping, text,
                   {{"request", Metadata.Id},
                    {"route", Route ? Route->Name : ""},
                    {"target", lastRecipient()},
                    {"stage", nameOf(stage())},
                    {"age_ms", base::toMs(now - ArrivedAt)},
                    {"left_ms", base::toMs(Deadline - now)},
                    {"delivered", DeliveredBytes},
                    {"owed_bytes", owedBytes()}});
}

} // namespace magnoliamill::entry
