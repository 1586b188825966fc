// A client attempt whose target this VM can't reach: another entry sends it to
// the target and returns the answer.
#include "base/Log.h"
#include "base/Metrics.h"
#include "entry/EntryRequest.h"
#include "entry/RequestHandler.h"
#include "entry/internal/RelayHeaders.h"
#include "gateway/HeaderRules.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <prometheus/counter.h>

namespace magnoliamill::entry {

using base::ResultCode;
using gateway::findHeader;

namespace {

/// Entries to which one attempt is relayed in turn. All VMs of a data centre
/// may have lost the same path.
constexpr std::size_t MaxRelays = 3;

void countRelay(const std::string &outcome) {
  base::counter("mill_entry_relayed_total",
                "Requests relayed to another entry because no target could be "
                "reached, by their end there.",
                {{"outcome", outcome}})
      .Increment();
}

template <typename Number> std::optional<Number> parse(std::string_view text) {
  Number number{};
  const char *end = text.data() + text.size();
  const auto [ptr, ec] = std::from_chars(text.data(), end, number);
  return ec == std::errc() && ptr == end ? std::optional(number) : std::nullopt;
}

std::string formatRoute(const routing::Route &route) {
  return std::to_string(route.Version) + " " + route.Name;
}

std::string formatVersion(const fleet::ViewVersion &version) {
  return std::to_string(version.Term) + " " + std::to_string(version.Number);
}

/// The latest version if \p text is not one, so that the request is refused.
fleet::ViewVersion parseVersion(std::string_view text) {
  const auto space = std::min(text.find(' '), text.size() - 1);
  const auto term = parse<std::uint64_t>(text.substr(0, space));
  const auto number = parse<std::uint64_t>(text.substr(space + 1));
  if (!term || !number)
    return {std::numeric_limits<std::uint64_t>::max(), 0};
  return {*term, *number};
}

std::optional<keyspace::TargetInstance>
readAnsweringTarget(const Headers &headers) {
  const auto text = findHeader(headers, internal::AnsweringTargetHeader);
  const auto space = text.rfind(' ');
  if (space == std::string_view::npos)
    return std::nullopt;
  const auto started = parse<std::uint64_t>(text.substr(space + 1));
  if (!started)
    return std::nullopt;
  return keyspace::TargetInstance{std::string(text.substr(0, space)), *started};
}

} // namespace

bool EntryRequest::readRelayHeaders() {
  if (!Route || findHeader(Request.Headers, internal::RouteHeader) !=
                    formatRoute(*Route)) {
    refuse(ResultCode::NotRunNotReady,
           "this VM has another version of the request's route",
           NoHolderRetryAfter);
    return false;
  }
  // Else it would send the request to a target that the other VM avoids.
  const auto evacuation =
      findHeader(Request.Headers, internal::EvacuationHeader);
  if (!evacuation.empty() &&
      Handler.view().version() < parseVersion(evacuation)) {
    refuse(ResultCode::NotRunNotReady,
           "this VM does not have the evacuations yet", NoHolderRetryAfter);
    return false;
  }
  const auto left = parse<std::uint32_t>(
      findHeader(Request.Headers, internal::AttemptsLeftHeader));
  Route->MaxAttempts = std::min(Route->MaxAttempts, left.value_or(1));
  std::erase_if(Request.Headers, [](const protocol::HttpHeader &header) {
    return gateway::equalsIgnoringCase(header.Name,
                                       internal::AttemptsLeftHeader) ||
           gateway::equalsIgnoringCase(header.Name,
                                       internal::EvacuationHeader) ||
           gateway::equalsIgnoringCase(header.Name, internal::RouteHeader);
  });
  return true;
}

void EntryRequest::nameAnsweringTarget() {
  const auto &target = Tried.back();
  Head.Headers.push_back(
      {std::string(internal::AnsweringTargetHeader),
       target.Id + " " + std::to_string(target.StartedAtMs)});
}

bool EntryRequest::isTargetReachable() {
  const auto now = base::readMonotonic();
  if (!IsKeyed)
    return Handler.pool().isReachable(Service, now);
  const PooledTarget *holder = chooseTarget();
  return !holder || Handler.pool().isReachable(*holder, now);
}

bool EntryRequest::relayUnlessReachable() {
  if (isTargetReachable())
    return false;
  if (Origin == RequestOrigin::Entry) {
    refuse(ResultCode::NotRunTargetUnreachable,
           "this VM has no path to the target either", NoHolderRetryAfter);
    return true;
  }
  if (RelayHosts.size() >= MaxRelays)
    return false;
  const std::string host =
      Handler.peers().choose(RelayHosts, base::readMonotonic());
  if (host.empty())
    return false;
  relayTo(host);
  return true;
}

void EntryRequest::relayTo(const std::string &host) {
  base::logInfo("entry", "a request is relayed, its target can't be reached",
                {{"request", Metadata.Id},
                 {"service", Service},
                 {"entry", host},
                 {"relays", RelayHosts.size()},
                 {"left_ms", base::toMs(timeLeft())}});
  RelayHosts.push_back(host);
  Handler.peers().onSent(host);
  auto call = makeCall();
  call.Address = {host, Handler.linkPort()};
  const auto tried = static_cast<std::uint32_t>(Tried.size());
  call.Request.Headers.push_back(
      {std::string(internal::AttemptsLeftHeader),
       std::to_string(std::max(Route->MaxAttempts, tried + 1) - tried)});
  call.Request.Headers.push_back(
      {std::string(internal::RouteHeader), formatRoute(*Route)});
  if (!Handler.pool().evacuated().isEmpty())
    call.Request.Headers.push_back(
        {std::string(internal::EvacuationHeader),
         formatVersion(Handler.evacuationVersion())});
  auto self = shared_from_this();
  call.Classify = [self](const protocol::AnswerHead &head, bool) {
    return self->classifyRelayed(head);
  };
  startCall(std::move(call), [self](const gateway::TargetOutcome &outcome) {
    self->onRelayDone(outcome);
  });
}

gateway::AnswerKind
EntryRequest::classifyRelayed(const protocol::AnswerHead &head) {
  const auto metadata = Handler.format().ReadAnswer(head.Status, head.Headers);
  if (!metadata.Id.empty() && metadata.Id != Metadata.Id)
    return gateway::AnswerKind::Stale;
  if (metadata.IsFromTarget) {
    if (const auto target = readAnsweringTarget(head.Headers))
      Handler.readNotices(*target, metadata, Metadata.Id);
    return gateway::AnswerKind::Deliver;
  }
  RelayRefusal = {
      static_cast<ResultCode>(
          parse<std::uint16_t>(findHeader(head.Headers, "Mill-Code"))
              .value_or(base::numberOf(ResultCode::PeerProtocol))),
      metadata.AskedPause};
  return findHeader(head.Headers, "Mill-Outcome") == "not-run"
             ? gateway::AnswerKind::NotRun
             : gateway::AnswerKind::Invalid;
}

void EntryRequest::onRelayDone(const gateway::TargetOutcome &outcome) {
  CancelCall = nullptr;
  const std::string &host = RelayHosts.back();
  Handler.peers().onDone(host);
  if (IsFinished)
    return countRelay("cancelled");
  if (outcome.Answered || outcome.Code == ResultCode::NotRunTargetRefused)
    Handler.peers().onAnswered();
  if (outcome.Answered) {
    countRelay("answered");
    return deliver();
  }
  if (IsDelivering) {
    countRelay("lost");
    return abortDelivery(outcome);
  }
  if (outcome.Code == ResultCode::NotRunTargetRefused)
    return onRelayRefused(outcome.Message);
  base::logWarning("entry", outcome.Code, "a relayed request has failed",
                   {{"request", Metadata.Id},
                    {"entry", host},
                    {"may_have_run", outcome.MayHaveRun},
                    {"left_ms", base::toMs(timeLeft())},
                    {"error", outcome.Message}});
  countRelay("lost");
  const auto now = base::readMonotonic();
  if (outcome.HasConnectTimedOut)
    Handler.peers().onSilent(host, now);
  else if (outcome.Code != ResultCode::TargetTimeout)
    Handler.peers().onUnusable(host, now);
  MayHaveRun = MayHaveRun || outcome.MayHaveRun;
  const bool IsIdempotent = Route->Kind != routing::RouteKind::AtMostOnce;
  if (!MayHaveRun || (IsIdempotent && tryTakeRetry()))
    return tryNext();
  fail(outcome.Code == ResultCode::TargetTimeout
           ? ResultCode::OutcomeUnknownDeadline
           : ResultCode::OutcomeUnknownPeerLost,
       outcome.Message);
}

void EntryRequest::onRelayRefused(const std::string &text) {
  const bool IsUnusable =
      RelayRefusal.Code == ResultCode::NotRunTargetUnreachable ||
      RelayRefusal.Code == ResultCode::NotRunNotReady;
  countRelay(IsUnusable ? "unusable" : "refused");
  if (!IsUnusable)
    return refuse(RelayRefusal.Code, text, RelayRefusal.RetryAfter);
  Handler.peers().onUnusable(RelayHosts.back(), base::readMonotonic());
  tryNext();
}

} // namespace magnoliamill::entry
