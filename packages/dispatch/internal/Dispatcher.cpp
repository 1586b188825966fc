// Handles the dispatcher's events: new views, requests, outcomes and ticks.
#include "dispatch/Dispatcher.h"

#include <algorithm>
#include <fmt/format.h>

namespace magnoliamill::dispatch {
namespace {

// Pause after a target shed load without a retry time of its own.
constexpr base::Duration DefaultShedPause = std::chrono::milliseconds(20);
// Maximum time between two ticks.
constexpr base::Duration MaxTickInterval = std::chrono::milliseconds(20);

// Callers get 30xx (not run) or 31xx (outcome unknown) codes, never codes of
// the connection to the target, and never a code that claims more than is
// known.
base::ResultCode codeForCaller(const AttemptOutcome &outcome) {
  auto hundreds = base::numberOf(outcome.Code) / 100;
  if (outcome.MayHaveRun)
    return hundreds == 31 ? outcome.Code
                          : base::ResultCode::OutcomeUnknownTargetLost;
  return hundreds == 30 ? outcome.Code : base::ResultCode::NotRunTargetRefused;
}

template <typename T> void append(std::vector<T> &to, std::vector<T> &&from) {
  std::ranges::move(from, std::back_inserter(to));
}

} // namespace

Dispatcher::Dispatcher(DispatcherConfig config)
    : Config(std::move(config)), Settings(std::make_shared<settings::View>()),
      Ownership(std::make_shared<ownership::View>()) {}

DispatchActions Dispatcher::setSettings(settings::ViewPtr view,
                                        base::MonoTime now) {
  Settings = std::move(view);
  for (auto &[name, pool] : Pools)
    if (const auto *service = findService(pool.Service))
      pool.Queue.setLimit(service->QueueLimitPerTarget *
                          std::max<std::size_t>(1, pool.Members.size()));
  return tick(now);
}

DispatchActions Dispatcher::setOwnership(ownership::ViewPtr view,
                                         base::MonoTime now) {
  Ownership = std::move(view);
  for (auto &[name, pool] : Pools)
    pool.Members.clear();
  std::erase_if(Targets, [this](const auto &item) {
    auto it = Ownership->Targets.find(item.first);
    bool gone =
        it == Ownership->Targets.end() || it->second.Dispatcher != Config.Self;
    return gone && item.second.InFlight == 0;
  });
  for (const auto &[instance, target] : Ownership->Targets) {
    if (target.Dispatcher != Config.Self)
      continue;
    auto [it, added] = Targets.try_emplace(instance);
    it->second.View = target;
    it->second.Limit.setSlots(target.Slots);
    const auto *service = findService(target.Service);
    bool keyed = service && service->Keyed;
    Pool &pool = findOrCreatePool(poolNameOf(target, keyed), target.Service);
    pool.Members.push_back(instance);
    if (service)
      pool.Queue.setLimit(service->QueueLimitPerTarget * pool.Members.size());
  }
  return tick(now);
}

DispatchActions Dispatcher::submit(RequestInfo info, base::MonoTime now) {
  DispatchActions actions;
  const auto *service = findService(info.Service);
  if (!service) {
    refuse(info, base::ResultCode::UnknownService, "the service does not exist",
           {}, actions);
    return actions;
  }
  std::string name = poolNameOf(info);
  if (name.empty()) {
    refuse(info, base::ResultCode::NotRunNotOwner,
           "this VM is not the dispatcher of the owning target", {}, actions);
    return actions;
  }
  Pool &pool = findOrCreatePool(name, info.Service);
  base::Duration wait = estimateWait(pool, info, now);
  if (now + wait >= info.Deadline) {
    refuse(info, base::ResultCode::NotRunDeadline,
           fmt::format("the estimated wait of {} ms exceeds the deadline",
                       base::toMs(wait)),
           wait, actions);
    return actions;
  }
  if (auto evicted = pool.Queue.push(std::move(info))) {
    TriesSoFar.erase(evicted->Id);
    refuse(*evicted, base::ResultCode::NotRunQueueFull, "the queue is full",
           wait, actions);
  }
  startWaiting(now, actions);
  return actions;
}

DispatchActions Dispatcher::finish(const base::RequestId &id,
                                   const AttemptOutcome &outcome,
                                   base::MonoTime now) {
  DispatchActions actions;
  auto node = Running.extract(id);
  if (node.empty())
    return actions;
  Attempt attempt = std::move(node.mapped());
  if (attempt.Info.Slot)
    --InFlightOfSlot[{attempt.Info.Service, *attempt.Info.Slot}];
  if (auto it = Targets.find(attempt.Target); it != Targets.end()) {
    Target &target = it->second;
    --target.InFlight;
    if (outcome.Answered || outcome.Shed)
      target.Rate.setLimit(outcome.RateLimit, now);
    if (outcome.Answered) {
      target.Health.onSuccess(outcome.Latency, now);
      target.Limit.onSuccess();
    } else if (outcome.Shed && attempt.StartedLate) {
      // Refused because of its deadline, which says nothing about the target's
      // load.
    } else if (outcome.Shed) {
      target.Limit.onShed();
      auto pause =
          outcome.RetryAfterMs > 0
              ? base::Duration(std::chrono::milliseconds(outcome.RetryAfterMs))
              : DefaultShedPause;
      target.PausedUntil = std::max(target.PausedUntil, now + pause);
    } else if (!attempt.Abandoned) {
      target.Health.onFailure(now);
      if (target.Health.isEjected(now))
        actions.SuspectTargets.push_back(attempt.Target);
    }
  }
  if (outcome.Answered) {
    auto [budget, added] = Budgets.try_emplace(
        attempt.Info.Service,
        findService(attempt.Info.Service)
            ? findService(attempt.Info.Service)->RetryBudgetPercent
            : 0);
    budget->second.onAnswer();
  } else if (!attempt.Abandoned) {
    if (mayRetry(attempt, outcome, now)) {
      TriesSoFar[id] = attempt.Tries;
      DispatchActions again = submit(std::move(attempt.Info), now);
      append(actions.Start, std::move(again.Start));
      append(actions.End, std::move(again.End));
    } else {
      base::ResultCode code = codeForCaller(outcome);
      actions.End.push_back(
          {id, {code, std::string(base::nameOf(code)), outcome.RetryAfterMs}});
    }
  }
  startWaiting(now, actions);
  reportDrained(actions);
  return actions;
}

DispatchActions Dispatcher::cancel(const base::RequestId &id,
                                   base::MonoTime now) {
  DispatchActions actions;
  if (auto it = Running.find(id); it != Running.end()) {
    it->second.Abandoned = true;
    actions.Abort.push_back(id);
    return actions;
  }
  TriesSoFar.erase(id);
  for (auto &[name, pool] : Pools)
    if (pool.Queue.remove(id))
      break;
  startWaiting(now, actions);
  return actions;
}

DispatchActions Dispatcher::drainSlot(const base::SlotId &slot,
                                      base::Token token) {
  DispatchActions actions;
  DrainingSlots[slot] = token;
  reportDrained(actions);
  return actions;
}

DispatchActions Dispatcher::drainTarget(const base::TargetInstanceId &instance,
                                        base::Token token) {
  DispatchActions actions;
  DrainingTargets[instance] = token;
  reportDrained(actions);
  return actions;
}

DispatchActions Dispatcher::tick(base::MonoTime now) {
  DispatchActions actions;
  rejectMoved(actions);
  expire(now, actions);
  startWaiting(now, actions);
  reportDrained(actions);
  return actions;
}

base::MonoTime Dispatcher::nextWake(base::MonoTime now) const {
  base::MonoTime wake = now + MaxTickInterval;
  for (const auto &[name, pool] : Pools)
    if (auto deadline = pool.Queue.earliestDeadline())
      wake = std::min(wake, *deadline);
  for (const auto &[instance, target] : Targets) {
    if (target.PausedUntil > now)
      wake = std::min(wake, target.PausedUntil);
    if (!target.Rate.isOpen(now))
      wake = std::min(wake, target.Rate.opensAt(now));
    if (target.Health.isEjected(now))
      wake = std::min(wake, *target.Health.ejectedUntil());
  }
  return wake;
}

std::uint32_t Dispatcher::countInFlight(const base::SlotId &slot) const {
  auto it = InFlightOfSlot.find(slot);
  return it == InFlightOfSlot.end() ? 0 : it->second;
}

std::uint32_t
Dispatcher::countInFlight(const base::TargetInstanceId &target) const {
  auto it = Targets.find(target);
  return it == Targets.end() ? 0 : it->second.InFlight;
}

std::size_t Dispatcher::countQueued() const {
  std::size_t queued = 0;
  for (const auto &[name, pool] : Pools)
    queued += pool.Queue.size();
  return queued;
}

} // namespace magnoliamill::dispatch
