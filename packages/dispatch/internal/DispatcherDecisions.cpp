// The dispatcher's scheduling rules: admission, choice of target, retries,
// expiry and draining.
#include "dispatch/Dispatcher.h"

#include <algorithm>

namespace magnoliamill::dispatch {
namespace {

// Maximum number of attempts per request, including the first.
constexpr std::uint32_t MaxTries = 4;
// Safety factor for the wait that a client account's own start rate suggests.
constexpr std::int64_t AccountWaitMargin = 3;
// Latency assumed for a target that has not answered yet.
constexpr base::Duration DefaultLatency = std::chrono::milliseconds(5);

} // namespace

const settings::ServiceView *
Dispatcher::findService(const base::ServiceId &id) const {
  auto it = Settings->Services.find(id);
  return it == Settings->Services.end() ? nullptr : &it->second;
}

const ownership::SlotView *Dispatcher::findSlot(const RequestInfo &info) const {
  if (!info.Slot)
    return nullptr;
  for (const auto &hot : Ownership->HotKeys)
    if (hot.KeyHash == info.KeyHash && hot.Service == info.Service)
      return &hot.Slot;
  auto it = Ownership->Slots.find(info.Service);
  if (it == Ownership->Slots.end() || *info.Slot >= it->second.size())
    return nullptr;
  return &it->second[*info.Slot];
}

std::string Dispatcher::poolNameOf(const ownership::TargetView &target,
                                   bool keyed) {
  return keyed ? "target " + target.Instance.Value
               : "service " + target.Service.Value;
}

std::string Dispatcher::poolNameOf(const RequestInfo &info) const {
  if (!info.Slot) {
    std::string name = "service " + info.Service.Value;
    auto it = Pools.find(name);
    bool serves = it != Pools.end() && !it->second.Members.empty();
    return serves ? name : std::string();
  }
  const auto *slot = findSlot(info);
  if (!slot || slot->Owner.empty())
    return {};
  auto it = Ownership->Targets.find(slot->Owner);
  if (it == Ownership->Targets.end() || it->second.Dispatcher != Config.Self)
    return {};
  return poolNameOf(it->second, true);
}

Dispatcher::Pool &Dispatcher::findOrCreatePool(const std::string &name,
                                               const base::ServiceId &service) {
  auto it = Pools.find(name);
  if (it != Pools.end())
    return it->second;
  FairQueueConfig config;
  const auto *found = findService(service);
  if (found)
    config.Limit = found->QueueLimitPerTarget;
  config.WeightOf = [this, service](const base::ClientAccountId &account) {
    const auto *view = findService(service);
    if (!view)
      return std::uint32_t(1);
    auto weight = view->ClientAccountWeights.find(account);
    return weight == view->ClientAccountWeights.end() ? 1 : weight->second;
  };
  auto &pool = Pools.emplace(name, Pool(std::move(config))).first->second;
  pool.Service = service;
  return pool;
}

base::Duration Dispatcher::estimateWait(const Pool &pool,
                                        const RequestInfo &info,
                                        base::MonoTime now) const {
  std::uint32_t capacity = 0;
  std::uint32_t running = 0;
  base::Duration latency{};
  RateWait rates(now);
  for (const auto &instance : pool.Members) {
    auto it = Targets.find(instance);
    if (it == Targets.end())
      continue;
    capacity += it->second.Limit.value();
    running += it->second.InFlight;
    latency = std::max(latency, it->second.Health.meanLatency());
    rates.add(it->second.Rate);
  }
  if (capacity == 0)
    return {};
  if (latency == base::Duration{})
    latency = DefaultLatency;
  std::size_t ahead = pool.Queue.countAhead(info.ClientAccount);
  const auto ForRate = rates.behind(ahead);
  if (ForRate > base::Duration::zero())
    return ForRate + latency;
  // An idle target always gets the request: otherwise a mean latency that once
  // exceeded the callers' deadlines could never be corrected.
  if (ahead == 0 && running == 0)
    return {};
  // The request's own service time is included, because it has to end before
  // the deadline.
  if (ahead == 0 && running < capacity)
    return latency;
  // With a safety margin of 5/4, because an early refusal is better than one at
  // the deadline.
  auto wait = latency * static_cast<std::int64_t>(ahead) / capacity * 5 / 4;
  // Other client accounts that keep sending take their share too, so the
  // requests of a flooding client account can be started more slowly than the
  // current queue suggests. The capacity that the others leave to it varies
  // much more than the total, hence the larger margin.
  if (auto it = pool.WaitEstimators.find(info.ClientAccount);
      it != pool.WaitEstimators.end())
    wait = std::max(wait, AccountWaitMargin *
                              it->second.estimateWait(
                                  pool.Queue.sizeOf(info.ClientAccount)));
  return wait + 2 * latency;
}

base::Duration Dispatcher::meanLatency(const Pool &pool) const {
  base::Duration latency{};
  for (const auto &instance : pool.Members)
    if (auto it = Targets.find(instance); it != Targets.end())
      latency = std::max(latency, it->second.Health.meanLatency());
  return latency;
}

bool Dispatcher::wouldMissDeadline(const RequestInfo &info,
                                   const Target &target, base::MonoTime now) {
  return target.InFlight > 0 &&
         now + target.Health.meanLatency() >= info.Deadline;
}

bool Dispatcher::isStartable(const RequestInfo &info, const Target &target,
                             base::MonoTime now) const {
  std::optional<base::SlotId> slot;
  if (info.Slot) {
    const auto *view = findSlot(info);
    if (!view)
      return false;
    slot = base::SlotId{info.Service, *info.Slot};
    auto draining = DrainingSlots.find(*slot);
    if (draining != DrainingSlots.end() && view->Token <= draining->second)
      return false;
  }
  return !Config.MayStart || Config.MayStart(target.View.Instance, slot, now);
}

bool Dispatcher::isAvailable(const Target &target, base::MonoTime now) const {
  if (target.View.State != ownership::TargetState::Active)
    return false;
  if (target.InFlight >= target.Limit.value() || now < target.PausedUntil ||
      !target.Rate.isOpen(now))
    return false;
  auto draining = DrainingTargets.find(target.View.Instance);
  if (draining != DrainingTargets.end() &&
      target.View.DispatchToken <= draining->second)
    return false;
  return !Config.MayStart ||
         Config.MayStart(target.View.Instance, std::nullopt, now);
}

Dispatcher::Target *Dispatcher::chooseTarget(const Pool &pool,
                                             base::MonoTime now) {
  Target *best = nullptr;
  Target *LastResort = nullptr;
  auto load = [](const Target &target) {
    return static_cast<double>(target.InFlight) / target.Limit.value();
  };
  for (const auto &instance : pool.Members) {
    auto it = Targets.find(instance);
    if (it == Targets.end())
      continue;
    Target &target = it->second;
    if (!isAvailable(target, now))
      continue;
    if (target.Health.isEjected(now)) {
      // If all targets are ejected, the one whose ejection ends first is used.
      if (!LastResort ||
          *target.Health.ejectedUntil() < *LastResort->Health.ejectedUntil())
        LastResort = &target;
      continue;
    }
    if (!best || load(target) < load(*best))
      best = &target;
  }
  if (best || !LastResort)
    return best;
  bool AllEjected = std::ranges::all_of(pool.Members, [&](const auto &id) {
    auto it = Targets.find(id);
    return it == Targets.end() || it->second.Health.isEjected(now);
  });
  // An ejected target gets only one request at a time.
  return AllEjected && LastResort->InFlight == 0 ? LastResort : nullptr;
}

bool Dispatcher::mayRetry(const Attempt &attempt, const AttemptOutcome &outcome,
                          base::MonoTime now) {
  if (outcome.AnswerStarted || !outcome.MayRetry)
    return false;
  if (outcome.MayHaveRun && !attempt.Info.Idempotent)
    return false;
  // The entry VM routes these requests again.
  if (outcome.Code == base::ResultCode::NotRunNotOwner ||
      outcome.Code == base::ResultCode::NotRunLeaseLost)
    return false;
  if (attempt.Tries >= MaxTries || now >= attempt.Info.Deadline)
    return false;
  auto it = Budgets.find(attempt.Info.Service);
  if (it == Budgets.end()) {
    const auto *service = findService(attempt.Info.Service);
    std::uint32_t percent = service ? service->RetryBudgetPercent : 0;
    it = Budgets.emplace(attempt.Info.Service, RetryBudget(percent)).first;
  }
  return it->second.tryTake();
}

void Dispatcher::refuse(const RequestInfo &info, base::ResultCode code,
                        std::string message, base::Duration delay,
                        DispatchActions &actions) const {
  actions.End.push_back({info.Id,
                         {code, std::move(message),
                          static_cast<std::uint32_t>(
                              std::max<std::int64_t>(0, base::toMs(delay)))}});
}

void Dispatcher::startWaiting(base::MonoTime now, DispatchActions &actions) {
  for (auto &[name, pool] : Pools) {
    while (pool.Queue.size() > 0) {
      Target *target = chooseTarget(pool, now);
      if (!target)
        break;
      auto info = pool.Queue.pop([&](const RequestInfo &waiting) {
        return isStartable(waiting, *target, now) &&
               !wouldMissDeadline(waiting, *target, now);
      });
      if (!info)
        break;
      pool.WaitEstimators[info->ClientAccount].onStart(
          pool.Queue.sizeOf(info->ClientAccount), now);
      ++target->InFlight;
      target->Rate.onSent(now);
      if (info->Slot)
        ++InFlightOfSlot[{info->Service, *info->Slot}];
      base::RequestId id = info->Id;
      std::uint32_t tries = 1;
      if (auto it = TriesSoFar.find(id); it != TriesSoFar.end()) {
        tries = it->second + 1;
        TriesSoFar.erase(it);
      }
      actions.Start.push_back({id, target->View.Instance});
      // Latency varies, so the target may judge the deadline as too close when
      // up to twice its mean latency is left.
      bool late =
          wouldMissDeadline(*info, *target, now + target->Health.meanLatency());
      Running.emplace(id, Attempt{std::move(*info), target->View.Instance, name,
                                  late, tries, false});
    }
  }
}

void Dispatcher::expire(base::MonoTime now, DispatchActions &actions) {
  for (auto &[name, pool] : Pools) {
    // A request that cannot be answered in time any more would only waste a
    // slot. The margin of one mean latency is less than what admission adds for
    // the request's own service time.
    auto last = now + meanLatency(pool);
    auto expired = pool.Queue.removeIf(
        [last](const RequestInfo &info) { return info.Deadline <= last; });
    for (const auto &info : expired) {
      TriesSoFar.erase(info.Id);
      refuse(info, base::ResultCode::NotRunDeadline,
             "the deadline passed in the queue", estimateWait(pool, info, now),
             actions);
    }
  }
}

void Dispatcher::rejectMoved(DispatchActions &actions) {
  for (auto &item : Pools) {
    auto moved =
        item.second.Queue.removeIf([this, &item](const RequestInfo &info) {
          return poolNameOf(info) != item.first;
        });
    for (const auto &info : moved) {
      TriesSoFar.erase(info.Id);
      refuse(info, base::ResultCode::NotRunNotOwner,
             "the slot moved while the request waited", {}, actions);
    }
  }
  std::erase_if(Pools, [](const auto &item) {
    return item.second.Members.empty() && item.second.Queue.size() == 0;
  });
}

void Dispatcher::reportDrained(DispatchActions &actions) {
  // Draining entries are kept: they prevent new starts until a newer token is
  // in force. Each is reported once, when its in-flight count is found to be
  // zero.
  for (const auto &[slot, token] : DrainingSlots)
    if (countInFlight(slot) == 0 && ReportedSlots[slot] < token) {
      ReportedSlots[slot] = token;
      actions.DrainedSlots.push_back({slot, token});
    }
  for (const auto &[instance, token] : DrainingTargets)
    if (countInFlight(instance) == 0 && ReportedTargets[instance] < token) {
      ReportedTargets[instance] = token;
      actions.DrainedTargets.push_back({instance, token});
    }
}

} // namespace magnoliamill::dispatch
