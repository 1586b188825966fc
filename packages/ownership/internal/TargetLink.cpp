// Sends grants to one target and tracks how long they can be valid.
#include "ownership/internal/TargetLink.h"

#include <algorithm>

namespace magnoliamill::ownership::internal {

namespace {

/// A single failed exchange does not prove that the target has failed.
constexpr int FailuresUntilLost = 2;
/// How long a target that can't be probed by grants stays lost.
constexpr base::Duration UnprobedLostTime = std::chrono::seconds(2);
constexpr base::Duration LostProbeInterval = std::chrono::milliseconds(200);

void extend(std::map<base::SlotNumber, base::MonoTime> &times,
            base::SlotNumber slot, base::MonoTime until) {
  auto &time = times[slot];
  time = std::max(time, until);
}

bool hasExpired(const std::map<base::SlotNumber, base::MonoTime> &times,
                base::SlotNumber slot, base::MonoTime now) {
  auto it = times.find(slot);
  return it == times.end() || now > it->second;
}

} // namespace

TargetLink::TargetLink(const TargetView &target, base::MonoTime now)
    : Target(target), NextSend(now),
      EarlierGrantsUntil(now + maxLocalDuration(GrantTtl)) {}

void TargetLink::setTarget(const TargetView &target, base::MonoTime now) {
  const bool IsNewlyLost =
      target.State == TargetState::Lost && Target.State != TargetState::Lost;
  Target = target;
  if (IsNewlyLost && !Target.ChecksTokens) {
    Failures = FailuresUntilLost;
    FirstFailure = now;
  }
}

std::optional<SendGrant> TargetLink::sendIfDue(const base::VmId &vm,
                                               const SlotTokens &wanted,
                                               base::MonoTime now) {
  if (!Target.ChecksTokens || Pending)
    return std::nullopt;
  const bool HasChanges =
      Clock && !Lost && Failures == 0 && wanted != Acknowledged;
  if (now < NextSend && !HasChanges)
    return std::nullopt;
  return send(vm, wanted, now);
}

SendGrant TargetLink::send(const base::VmId &vm, const SlotTokens &wanted,
                           base::MonoTime now) {
  OutstandingGrant grant{++LastGrantId, now, {}, {}, {}};
  // Until this VM has read the target's clock itself, no slots are granted: the
  // first exchange only fetches the clock.
  if (Clock) {
    grant.Slots = wanted;
    grant.ValidUntil = Clock->SentAt + minLocalDuration(GrantTtl);
    grant.ExpiredAfter = Clock->ReceivedAt + maxLocalDuration(GrantTtl);
  }
  for (const auto &[slot, token] : grant.Slots)
    extend(HeldUntil, slot, grant.ExpiredAfter);
  GrantRequest request{vm,
                       Target.Instance,
                       Target.DispatchToken,
                       Clock ? Clock->ClockMs : Target.AnnouncedClockMs,
                       base::toMs(GrantTtl),
                       {}};
  for (const auto &[slot, token] : grant.Slots)
    request.Slots.push_back({slot, token});
  Pending = std::move(grant);
  return {Target.Instance, LastGrantId, Target.Host, Target.Port,
          encodeGrant(request)};
}

void TargetLink::onReply(std::uint64_t grant,
                         const base::Result<std::string> &body,
                         base::MonoTime now) {
  if (!Pending || Pending->Id != grant)
    return;
  if (!body)
    return onFailed(now);
  auto reply = parseGrantReply(body.value());
  if (!reply || !reply.value().Accepted || !reply.value().ClockMs)
    return onFailed(now);
  onAccepted(*reply.value().ClockMs, now);
}

void TargetLink::onAccepted(std::int64_t clock, base::MonoTime now) {
  EarlierGrantsUntil = {};
  // The new slots replaced those of every earlier grant, except of grants
  // without a reply, which may still arrive.
  std::erase_if(HeldUntil, [&](const auto &it) {
    return !Pending->Slots.contains(it.first);
  });
  std::erase_if(UnconfirmedUntil,
                [&](const auto &it) { return now > it.second; });
  NextSend = Clock ? Pending->SentAt + GrantRenewInterval : now;
  Acknowledged = std::move(Pending->Slots);
  AcknowledgedUntil = Pending->ValidUntil;
  Clock = ClockReading{clock, Pending->SentAt, now};
  Pending.reset();
  Failures = 0;
  Lost = false;
}

void TargetLink::onFailed(base::MonoTime now) {
  for (const auto &[slot, token] : Pending->Slots)
    extend(UnconfirmedUntil, slot, Pending->ExpiredAfter);
  Pending.reset();
  if (Failures++ == 0)
    FirstFailure = now;
  NextSend = now + (Lost ? LostProbeInterval : GrantRetryInterval);
}

void TargetLink::expireOutstandingGrant(base::MonoTime now) {
  if (Pending && now > Pending->SentAt + 2 * GrantTimeout)
    onFailed(now);
}

void TargetLink::onRequestFailed(base::MonoTime now) {
  NextSend = std::min(NextSend, now);
  if (!Target.ChecksTokens && Failures++ == 0)
    FirstFailure = now;
}

void TargetLink::onRequestAnswered() {
  if (Target.ChecksTokens)
    return;
  Failures = 0;
  Lost = false;
}

void TargetLink::endUnprobedLost(base::MonoTime now) {
  if (!Target.ChecksTokens && Lost && now > LostSince + UnprobedLostTime)
    onRequestAnswered();
}

base::MonoTime TargetLink::latestGrantEnd() const {
  auto bound = EarlierGrantsUntil;
  for (const auto *times : {&HeldUntil, &UnconfirmedUntil})
    for (const auto &[slot, until] : *times)
      bound = std::max(bound, until);
  if (!Target.ChecksTokens)
    bound = std::max(bound, FirstFailure + maxLocalDuration(GrantTtl));
  return bound;
}

bool TargetLink::detectLost(base::MonoTime now) {
  if (Lost || Failures < FailuresUntilLost || now <= latestGrantEnd())
    return false;
  Lost = true;
  LostSince = now;
  Acknowledged.clear();
  return true;
}

bool TargetLink::isReady(base::MonoTime now) const {
  if (Lost)
    return false;
  return !Target.ChecksTokens || now < AcknowledgedUntil;
}

bool TargetLink::holds(base::SlotNumber slot, base::Token token,
                       base::MonoTime now) const {
  if (!isReady(now))
    return false;
  if (!Target.ChecksTokens)
    return true;
  auto it = Acknowledged.find(slot);
  return it != Acknowledged.end() && it->second == token;
}

bool TargetLink::isSlotFree(base::SlotNumber slot, base::MonoTime now) const {
  if (!Target.ChecksTokens)
    return true;
  if (Pending && Pending->Slots.contains(slot))
    return false;
  return now > EarlierGrantsUntil && hasExpired(HeldUntil, slot, now) &&
         hasExpired(UnconfirmedUntil, slot, now);
}

base::MonoTime TargetLink::nextWake() const {
  return Pending ? Pending->SentAt + 2 * GrantTimeout : NextSend;
}

} // namespace magnoliamill::ownership::internal
