// The permits of a client attempt: whom to ask, and what to do with the answer.
#include "base/Log.h"
#include "base/Metrics.h"
#include "entry/EntryRequest.h"
#include "entry/RequestHandler.h"

#include <prometheus/counter.h>

namespace magnoliamill::entry {

using admission::PermitDecision;
using base::ResultCode;

namespace {

/// Data centres that are asked for a target of a service without keys.
constexpr std::size_t MaxDataCentres = 3;
/// Permits that one request returns before it is sent without one: a core that
/// has lost several targets grants permits for one after the other.
constexpr std::uint32_t MaxReturnedPermits = 3;
/// Upper bound of Retry-After during a target's pause: the remaining time
/// divided by this. Clients wait no longer.
constexpr int MaxPauseDivisor = 3;
/// A permit for a target that warms up is not used later than this. It counts
/// in the second in which it was granted; permits that are used much later come
/// on top of those of another second.
constexpr base::Duration MaxWarmUpPermitAge = std::chrono::milliseconds(500);

} // namespace

std::deque<PermitStep> EntryRequest::planPermitSteps() {
  std::deque<PermitStep> steps;
  if (IsKeyed) {
    const PooledTarget *holder = chooseTarget();
    if (holder)
      steps.push_back({holder->Description.DataCentre,
                       holder->Description.Instance.Id,
                       holder->Description.Instance, true});
    return steps;
  }
  auto centres = Handler.pool().listDataCentres(Service, base::readMonotonic());
  centres.resize(std::min(centres.size(), MaxDataCentres));
  // Traffic between data centres is charged by the byte: large answers wait for
  // a target of the own data centre, small ones go where a slot is free.
  const bool IsLarge =
      Handler.link().expectedBytes(Route->Name) > LargeAnswerBytes;
  for (const auto &centre : centres)
    steps.push_back({centre, Service, std::nullopt, IsLarge && steps.empty()});
  if (!IsLarge && !centres.empty())
    steps.push_back({centres.front(), Service, std::nullopt, true});
  return steps;
}

bool EntryRequest::askPermit() {
  if (SkipsPermit || !Tried.empty())
    return false;
  if (!PermitSteps)
    PermitSteps = planPermitSteps();
  // A key without a holder is waited for first.
  if (PermitSteps->empty() && IsKeyed && !PermitRetryAfter)
    PermitSteps.reset();
  while (PermitSteps && !PermitSteps->empty()) {
    AskedStep = std::move(PermitSteps->front());
    PermitSteps->pop_front();
    Permit = ask(AskedStep);
    if (Permit != 0)
      return true;
  }
  if (PermitRetryAfter) {
    refuse(ResultCode::NotRunQueueFull,
           "the targets of the request have too many requests queued",
           *PermitRetryAfter);
    return true;
  }
  return false;
}

std::uint64_t EntryRequest::ask(const PermitStep &step) {
  const auto now = base::readMonotonic();
  admission::PermitRequest request;
  request.Service = Service;
  request.Holder = step.Holder;
  request.DataCentre = step.DataCentre;
  request.IsUrgent = Handler.isUrgent(Service, *Route);
  request.MayWait = step.MayWait;
  request.LatencyObjective = ArrivedAt + Route->LatencyObjective - now;
  request.Timeout = Deadline - now;
  request.Content = content();
  return Handler.permits().ask(
      Handler.view().cores(), step.DataCentre, step.Name, std::move(request),
      [self = shared_from_this()](const PermitResult &result) {
        if (!self->IsFinished)
          self->onPermit(result);
      });
}

void EntryRequest::onPermit(const PermitResult &result) {
  if (result.Decision == PermitDecision::Granted) {
    PermitGrantedAt = base::readMonotonic();
    return usePermit(result);
  }
  Permit = 0;
  if (result.Decision == PermitDecision::Refused)
    PermitRetryAfter = std::min(PermitRetryAfter.value_or(result.RetryAfter),
                                result.RetryAfter);
  else if (PermitSteps->empty() && !PermitRetryAfter)
    SkipsPermit = true;
  tryNext();
}

void EntryRequest::usePermit(const PermitResult &result) {
  if (refuseIfQuarantined())
    return;
  PooledTarget *target = Handler.pool().findReady(result.Target);
  if (!target && ReturnedPermits < MaxReturnedPermits)
    return returnPermit(result);
  const auto &evacuated = Handler.pool().evacuated();
  const bool IsAvoided =
      target &&
      (IsKeyed ? evacuated.isClosed(target->Description.DataCentre,
                                    base::readMonotonic())
               : evacuated.isEvacuated(target->Description.DataCentre));
  if (IsAvoided)
    return replacePermit();
  const bool IsCurrent = target && (!IsKeyed || target == chooseTarget());
  const bool IsOpen =
      Handler.pool().notices().isOpen(result.Target, base::readMonotonic());
  if (IsCurrent && IsOpen && timeLeft() > base::Duration::zero())
    return send(*target);
  endPermit(admission::PermitUse::Abandoned);
  SkipsPermit = true;
  tryNext();
}

void EntryRequest::returnPermit(const PermitResult &result) {
  ++ReturnedPermits;
  const auto version = Handler.view().version();
  base::counter("mill_entry_permits_returned_total",
                "Permits for targets that are not ready in this VM's view.")
      .Increment();
  base::logInfo(
      "entry", "a permit is returned, its target is not ready in the view",
      {{"request", Metadata.Id},
       {"target", result.Target.Id},
       {"in_view", Handler.view().findTarget(result.Target) != nullptr},
       {"core", result.Origin.Core},
       {"core_term", result.Origin.View.Term},
       {"core_number", result.Origin.View.Number},
       {"view_term", version.Term},
       {"view_number", version.Number},
       {"age_ms", base::toMs(base::readMonotonic() - ArrivedAt)}});
  Handler.permits().endDeparted(std::exchange(Permit, 0), version);
  PermitSteps.reset();
  tryNext();
}

void EntryRequest::leaveEvacuated() {
  const bool IsQueued = !IsFinished && Permit != 0 && Tried.empty();
  if (!IsQueued ||
      !Handler.pool().evacuated().isEvacuated(AskedStep.DataCentre))
    return;
  const auto *holder =
      IsKeyed ? Handler.view().holderOf(Service, *Metadata.Key) : nullptr;
  if (holder && AskedStep.Holder == *holder)
    return;
  replacePermit();
}

void EntryRequest::replacePermit() {
  base::counter("mill_entry_evacuated_permits_total",
                "Permits, and waits for permits, in evacuated data centres "
                "that were given up.")
      .Increment();
  endPermit(admission::PermitUse::Abandoned);
  PermitSteps.reset();
  // A core may grant a permit in another data centre than the one asked for.
  SkipsPermit = !IsKeyed && ++ReturnedPermits > MaxReturnedPermits;
  tryNext();
}

void EntryRequest::onPause(const keyspace::TargetInstance &target) {
  const bool IsQueued = !IsFinished && IsKeyed && Permit != 0 && Tried.empty();
  if (!IsQueued)
    return;
  const auto *holder = Handler.view().holderOf(Service, *Metadata.Key);
  if (holder && *holder == target)
    refuseIfClosed();
}

bool EntryRequest::refuseIfClosed() {
  const auto now = base::readMonotonic();
  const TargetPool &pool = Handler.pool();
  auto opens = now;
  if (!IsKeyed)
    opens = pool.opensAt(Service, now);
  else if (const auto *holder = Handler.view().holderOf(Service, *Metadata.Key))
    opens = pool.notices().opensAt(*holder, now);
  return refuseUntil(opens, "the target of the request asked for no requests");
}

bool EntryRequest::refuseIfRateReached() {
  const auto now = base::readMonotonic();
  const TargetPool &pool = Handler.pool();
  auto opens = now;
  if (!IsKeyed)
    opens = pool.opensWithoutPermit(Service, now);
  else if (const auto *holder = Handler.view().holderOf(Service, *Metadata.Key))
    opens = pool.notices().opensWithoutPermit(*holder, now);
  return refuseUntil(opens, "the target of the request limits its rate");
}

bool EntryRequest::refuseIfWarmingUp() {
  const auto now = base::readMonotonic();
  const TargetPool &pool = Handler.pool();
  auto end = now;
  if (!IsKeyed)
    end = pool.findWarmUpEnd(Service, Tried, now);
  else if (const PooledTarget *holder = chooseTarget())
    end = pool.warmsUpUntil(*holder, now);
  if (end <= now)
    return false;
  base::counter("mill_entry_warm_up_refused_total",
                "Requests that were refused because they had no permit and "
                "only targets that warm up could get them.",
                {{"service", Service}})
      .Increment();
  // By then a core that did not answer is asked again.
  return refuseUntil(std::min(end, now + PermitPlaces::AvoidTime),
                     "the target of the request warms up and gets no requests "
                     "without a permit");
}

bool EntryRequest::lacksPermit(const keyspace::TargetInstance &instance,
                               base::MonoTime now) const {
  const PooledTarget *target = Handler.pool().find(instance);
  return target && Handler.pool().isWarmingUp(*target, now) &&
         (Permit == 0 || now - PermitGrantedAt > MaxWarmUpPermitAge);
}

bool EntryRequest::refuseUntil(base::MonoTime opens, std::string message) {
  const auto now = base::readMonotonic();
  if (opens <= now)
    return false;
  if (opens == base::MonoTime::max())
    refuse(ResultCode::NotRunNoTarget,
           "the target of the request is about to exit", NoHolderRetryAfter);
  else
    refuse(ResultCode::NotRunQueueFull, std::move(message),
           std::min(opens - now, timeLeft() / MaxPauseDivisor));
  return true;
}

void EntryRequest::endPermit(admission::PermitUse use, base::Duration latency) {
  if (Permit != 0)
    Handler.permits().end(std::exchange(Permit, 0), use, latency, Notice);
}

} // namespace magnoliamill::entry
