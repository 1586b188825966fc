// Counts the permits of each target, and decides which requests wait, which are
// refused and which are next.
#include "admission/PermitIssuer.h"

#include <algorithm>
#include <cmath>

namespace magnoliamill::admission {
namespace {

using keyspace::TargetInstance;

/// A request is refused if its estimated time to the answer exceeds this share
/// of its latency objective, in percent: work times vary, and urgent requests
/// may still overtake it.
constexpr int AdmittedPercent = 80;
/// Permits for a holder of keys beyond its slots, so that it has its next
/// requests while grants and reports are on their way.
constexpr std::uint32_t ExtraPermits = 2;
/// Bounds of the time after which a refused caller may return.
constexpr base::Duration MinRetryAfter = std::chrono::milliseconds(50);
constexpr base::Duration MaxRetryAfter = std::chrono::milliseconds(2000);
/// Spread of that time, so that callers do not return together.
constexpr double RetrySpread = 0.25;
/// Urgent requests that are served in a row while others wait.
constexpr std::uint32_t MaxUrgentInRow = 8;
/// No queue of useful length reaches this; bounds the memory.
constexpr std::size_t MaxQueued = 4096;

base::RequestId nameOf(const PermitId &id) {
  return base::RequestId(std::to_string(id.Requester) + "/" +
                         std::to_string(id.Number));
}

} // namespace

dispatch::FairQueueConfig PermitIssuer::makeQueueConfig() {
  dispatch::FairQueueConfig config;
  config.Limit = MaxQueued;
  config.MaxUrgentInRow = MaxUrgentInRow;
  return config;
}

std::string PermitIssuer::poolNameOf(const TargetInstance &instance) {
  return "target " + instance.Id + " " + std::to_string(instance.StartedAtMs);
}

std::string PermitIssuer::poolNameOf(const std::string &service,
                                     const std::string &centre) {
  return "service " + service + " " + centre;
}

PermitIssuer::Answers PermitIssuer::put(const PermitTarget &target) {
  auto [it, added] = Targets.try_emplace(target.Instance);
  Answers answers;
  const auto &described = it->second.Description;
  const auto former = poolNameOf(described.Service, described.DataCentre);
  const auto next = poolNameOf(target.Service, target.DataCentre);
  if (!added && former != next)
    removeFrom(former, target.Instance, answers);
  it->second.Description = target;
  if (auto removed = RemovedLimits.extract(target.Instance))
    it->second.WarmUp = std::move(removed.mapped());
  it->second.WarmUp.set(target.WarmUpPermits, target.WarmUntil);
  if (added)
    Pools.try_emplace(poolNameOf(target.Instance), true)
        .first->second.Members.push_back(target.Instance);
  if (added || former != next)
    Pools.try_emplace(next, false)
        .first->second.Members.push_back(target.Instance);
  return answers;
}

PermitIssuer::Answers PermitIssuer::remove(const TargetInstance &instance) {
  Answers answers;
  auto it = Targets.find(instance);
  if (it == Targets.end())
    return answers;
  const PermitTarget target = it->second.Description;
  if (target.WarmUpPermits > 0)
    RemovedLimits[instance] = std::move(it->second.WarmUp);
  Targets.erase(it);
  removeFrom(poolNameOf(instance), instance, answers);
  removeFrom(poolNameOf(target.Service, target.DataCentre), instance, answers);
  return answers;
}

void PermitIssuer::removeFrom(const std::string &name,
                              const TargetInstance &instance,
                              Answers &answers) {
  auto it = Pools.find(name);
  std::erase(it->second.Members, instance);
  if (!it->second.Members.empty())
    return;
  for (const auto &info :
       it->second.Queue.removeIf([](auto &) { return true; }))
    answers.push_back({Waiting.extract(info.Id).mapped().Id,
                       PermitDecision::Unknown,
                       {},
                       {}});
  Pools.erase(it);
}

PermitIssuer::Answers
PermitIssuer::removeAllExcept(std::span<const TargetInstance> kept) {
  std::vector<TargetInstance> gone;
  for (const auto &[instance, target] : Targets)
    if (!std::ranges::binary_search(kept, instance))
      gone.push_back(instance);
  Answers answers;
  for (const auto &instance : gone)
    std::ranges::move(remove(instance), std::back_inserter(answers));
  return answers;
}

PermitIssuer::Pool *PermitIssuer::findPool(const PermitRequest &request,
                                           std::string &name) {
  name = request.Holder ? poolNameOf(*request.Holder)
                        : poolNameOf(request.Service, request.DataCentre);
  auto it = Pools.find(name);
  return it == Pools.end() ? nullptr : &it->second;
}

std::uint32_t PermitIssuer::limitOf(const Pool &pool, const Target &target) {
  return target.Description.Slots + (pool.IsKeyed ? ExtraPermits : 0);
}

base::Duration PermitIssuer::meanServiceTime(const Target &target) const {
  const auto own = target.Health.meanLatency();
  if (own > base::Duration::zero())
    return own;
  auto it = Services.find(target.Description.Service);
  return it == Services.end() ? base::Duration::zero()
                              : it->second.meanLatency();
}

base::Duration
PermitIssuer::typicalServiceTime(const std::string &service) const {
  std::vector<base::Duration> times;
  for (const auto &[instance, target] : Targets)
    if (const auto time = target.Health.meanLatency();
        target.Description.Service == service && time > base::Duration::zero())
      times.push_back(time);
  if (times.empty())
    return base::Duration::zero();
  // Requests wait at overloaded targets, so that their times are too long.
  const auto middle =
      times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::ranges::nth_element(times, middle);
  return *middle;
}

base::Duration PermitIssuer::meanServiceTime(const Pool &pool) const {
  base::Duration sum{};
  for (const auto &instance : pool.Members)
    sum += meanServiceTime(Targets.at(instance));
  return sum / static_cast<std::int64_t>(pool.Members.size());
}

bool PermitIssuer::hasRoom(const Pool &pool, const Target &target,
                           base::MonoTime now) {
  const auto limit = limitOf(pool, target);
  if (target.InUse >= limit || !target.Rate.isOpen(now) ||
      !target.WarmUp.isOpen(now))
    return false;
  // Requests of other senders use slots, too. One permit is always left: only
  // an answer shows that those have ended.
  return target.InUse == 0 || target.Load.present(target.InUse, now) < limit;
}

base::Duration PermitIssuer::expectedAnswer(const Target &target,
                                            base::MonoTime now) const {
  const auto mean = meanServiceTime(target);
  if (!target.Load.isKnown(now))
    return mean * (1 + target.InUse);
  return target.Load.answerTime(mean, target.InUse,
                                std::max(target.Description.Slots, 1U), now);
}

base::Duration PermitIssuer::Capacity::timeFor(double count) const {
  const auto usual = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::micro>(count / PerMicrosecond));
  return dispatch::LoadEstimate::timeAt(Speed, usual);
}

std::optional<PermitIssuer::Capacity>
PermitIssuer::findCapacity(const Pool &pool, base::MonoTime now) const {
  Capacity capacity;
  bool HasReports = false;
  double speeds = 0;
  std::int64_t count = 0;
  for (const auto &instance : pool.Members) {
    const Target &target = Targets.at(instance);
    const bool IsKnown = target.Load.isKnown(now);
    HasReports = HasReports || IsKnown;
    if (IsKnown && (target.Health.isEjected(now) || !target.Rate.isOpen(now) ||
                    !target.WarmUp.isOpen(now)))
      continue;
    const auto mean = std::max(meanServiceTime(target), base::Duration(1));
    const double slots = std::max(target.Description.Slots, 1U);
    const double rate = slots / static_cast<double>(mean.count());
    capacity.PerMicrosecond += rate;
    speeds += rate * target.Load.speed(now);
    capacity.Excess +=
        std::max(target.Load.present(target.InUse, now) - slots, 0.0);
    capacity.MeanTime += mean;
    ++count;
  }
  if (!HasReports || count == 0)
    return std::nullopt;
  capacity.Speed = speeds / capacity.PerMicrosecond;
  capacity.MeanTime /= count;
  return capacity;
}

PermitIssuer::Target *PermitIssuer::chooseTarget(const Pool &pool,
                                                 base::MonoTime now) {
  Target *best = nullptr;
  base::Duration least{};
  bool IsBestEjected = false;
  for (const auto &instance : pool.Members) {
    Target &target = Targets.at(instance);
    if (!hasRoom(pool, target, now))
      continue;
    const bool IsEjected = target.Health.isEjected(now);
    const auto expected = expectedAnswer(target, now);
    if (best && (IsEjected != IsBestEjected ? IsEjected : expected >= least))
      continue;
    best = &target;
    least = expected;
    IsBestEjected = IsEjected;
  }
  return best;
}

std::size_t PermitIssuer::countAhead(const Pool &pool, bool IsUrgent) {
  return pool.Queue.countAheadOf(IsUrgent ? settings::Urgency::Urgent
                                          : settings::Urgency::Normal);
}

base::Duration PermitIssuer::findWarmUpWait(const Pool &pool, std::size_t ahead,
                                            base::MonoTime now) const {
  auto opens = base::MonoTime::max();
  for (const auto &instance : pool.Members) {
    const Target &target = Targets.at(instance);
    if (!target.WarmUp.isLimiting(now))
      return base::Duration::zero();
    // The requests that wait are spread over all members.
    opens = std::min(opens,
                     target.WarmUp.opensAt(now, ahead / pool.Members.size()));
  }
  return opens - now;
}

base::Duration PermitIssuer::estimateWait(const Pool &pool, bool IsUrgent,
                                          base::MonoTime now) const {
  std::int64_t slots = 0;
  std::int64_t running = 0;
  dispatch::RateWait rates(now);
  const bool AreAllWarmingUp =
      std::ranges::all_of(pool.Members, [&](const auto &instance) {
        return Targets.at(instance).WarmUp.isLimiting(now);
      });
  for (const auto &instance : pool.Members) {
    const Target &target = Targets.at(instance);
    if (!AreAllWarmingUp && !target.WarmUp.isOpen(now))
      continue;
    slots += target.Description.Slots;
    running += target.InUse;
    if (AreAllWarmingUp || !target.WarmUp.isLimiting(now))
      rates.add(target.Rate);
  }
  const auto count = countAhead(pool, IsUrgent);
  const auto ahead = static_cast<std::int64_t>(count);
  const auto LimitWait =
      std::max(rates.behind(count), findWarmUpWait(pool, count, now));
  if (const auto capacity = findCapacity(pool, now))
    return std::max(
        capacity->timeFor(static_cast<double>(ahead) + capacity->Excess + 1),
        LimitWait);
  const auto SlotWait =
      meanServiceTime(pool) *
      (ahead + std::max<std::int64_t>(running - slots, 0) + 1) /
      std::max<std::int64_t>(slots, 1);
  return std::max(SlotWait, LimitWait);
}

base::Duration PermitIssuer::estimateWork(const Pool &pool, base::Duration wait,
                                          base::MonoTime now) const {
  const auto capacity = findCapacity(pool, now);
  if (!capacity)
    return meanServiceTime(pool);
  // By the end of the wait the speed has moved towards the usual one.
  const double speed =
      1 + (capacity->Speed - 1) *
              std::exp(-std::chrono::duration<double>(wait) /
                       std::chrono::duration<double>(
                           dispatch::LoadEstimate::SlownessFade));
  return dispatch::LoadEstimate::timeAt(speed, capacity->MeanTime);
}

std::optional<base::MonoTime>
PermitIssuer::findEjectionEnd(const Pool &pool, base::MonoTime now) const {
  if (!pool.IsKeyed)
    return std::nullopt;
  const Target &holder = Targets.at(pool.Members.front());
  // One request at a time finds out whether the holder is back.
  if (!holder.Health.isEjected(now) || holder.InUse == 0)
    return std::nullopt;
  return holder.Health.ejectedUntil();
}

std::optional<TargetInstance>
PermitIssuer::limitRate(const PermitId &id, std::optional<double> limit,
                        base::MonoTime now) {
  const auto permit = Granted.find(id);
  if (permit == Granted.end())
    return std::nullopt;
  const auto it = Targets.find(permit->second.Target);
  if (it == Targets.end())
    return std::nullopt;
  auto &rate = it->second.Rate;
  const auto before = rate.interval();
  rate.setLimit(limit, now);
  return rate.interval() == before ? std::nullopt : std::optional(it->first);
}

std::optional<TargetInstance>
PermitIssuer::reportLoad(const PermitId &id, const dispatch::TargetLoad &load,
                         base::MonoTime now) {
  const auto permit = Granted.find(id);
  if (permit == Granted.end())
    return std::nullopt;
  const auto it = Targets.find(permit->second.Target);
  if (it == Targets.end())
    return std::nullopt;
  Target &target = it->second;
  // The answered request is included: whether the report still counts it is not
  // certain, and it must not pass for a request of another sender.
  target.Load.onReport(load, target.InUse, now);
  const bool IsCrowded =
      target.Load.others(now) > target.Description.Slots &&
      (!target.CrowdedAt || now - *target.CrowdedAt >= CrowdedInterval);
  if (!IsCrowded)
    return std::nullopt;
  target.CrowdedAt = now;
  return it->first;
}

PermitIssuer::Answers PermitIssuer::request(const PermitId &id,
                                            const PermitRequest &request,
                                            base::MonoTime now) {
  Answers answers;
  std::string name;
  Pool *pool = findPool(request, name);
  if (!pool) {
    answers.push_back({id, PermitDecision::Unknown, {}, {}});
    return answers;
  }
  if (const auto end = findEjectionEnd(*pool, now)) {
    refuse(id, *end - now, answers);
    return answers;
  }
  Target *target = chooseTarget(*pool, now);
  if (target && pool->Queue.size() == 0) {
    grant(name, id, *target, now + request.Timeout, now, answers);
    return answers;
  }
  const auto wait = estimateWait(*pool, request.IsUrgent, now);
  const auto limit = request.LatencyObjective * AdmittedPercent / 100;
  const auto excess = wait + estimateWork(*pool, wait, now) - limit;
  if (!request.MayWait || excess > base::Duration::zero()) {
    // The time at which there is room for a request: before it, a repeat would
    // be refused as well.
    const bool IsWarmUp =
        wait > base::Duration::zero() &&
        findWarmUpWait(*pool, countAhead(*pool, request.IsUrgent), now) >= wait;
    refuse(id, request.MayWait && !IsWarmUp ? excess : wait, answers, IsWarmUp);
    return answers;
  }
  dispatch::RequestInfo info;
  info.Id = nameOf(id);
  info.Class =
      request.IsUrgent ? settings::Urgency::Urgent : settings::Urgency::Normal;
  info.Deadline = now + request.Timeout;
  Waiting[info.Id] = {name, id, info.Deadline};
  answers.push_back({id, PermitDecision::Queued, {}, {}});
  if (const auto evicted = pool->Queue.push(std::move(info)))
    refuse(Waiting.extract(evicted->Id).mapped().Id, wait, answers);
  serve(name, now, answers);
  return answers;
}

void PermitIssuer::grant(const std::string &name, const PermitId &id,
                         Target &target, base::MonoTime deadline,
                         base::MonoTime now, Answers &answers) {
  ++target.InUse;
  target.Rate.onSent(now);
  target.WarmUp.onGranted(now);
  Granted[id] = {target.Description.Instance, name, deadline};
  answers.push_back({id,
                     PermitDecision::Granted,
                     target.Description.Instance,
                     {},
                     target.WarmUp.isLimiting(now),
                     target.Load.age(now)});
}

void PermitIssuer::refuse(const PermitId &id, base::Duration wait,
                          Answers &answers, bool IsWarmUp) {
  const double spread = std::uniform_real_distribution<double>(
      1 - RetrySpread, 1 + RetrySpread)(Random);
  const auto after = std::chrono::duration_cast<base::Duration>(
      std::clamp(wait, MinRetryAfter, MaxRetryAfter) * spread);
  answers.push_back({id, PermitDecision::Refused, {}, after, IsWarmUp});
}

void PermitIssuer::serve(const std::string &name, base::MonoTime now,
                         Answers &answers) {
  auto it = Pools.find(name);
  if (it == Pools.end())
    return;
  while (it->second.Queue.size() > 0) {
    Target *target = chooseTarget(it->second, now);
    if (!target)
      return;
    const auto info = it->second.Queue.pop([](auto &) { return true; });
    const auto waiter = Waiting.extract(info->Id).mapped();
    grant(name, waiter.Id, *target, waiter.Deadline, now, answers);
  }
}

PermitIssuer::Answers PermitIssuer::release(const PermitId &id, PermitUse use,
                                            base::Duration latency,
                                            base::MonoTime now) {
  Answers answers;
  if (auto node = Waiting.extract(nameOf(id)); !node.empty())
    Pools.at(node.mapped().PoolName).Queue.remove(node.key());
  auto node = Granted.extract(id);
  if (node.empty())
    return answers;
  const Permit permit = std::move(node.mapped());
  auto it = Targets.find(permit.Target);
  if (it == Targets.end())
    return answers;
  Target &target = it->second;
  --target.InUse;
  if (use == PermitUse::Answered) {
    target.Health.onSuccess(latency, now);
    Services[target.Description.Service].onSuccess(latency, now);
  } else if (use == PermitUse::Failed) {
    target.Health.onFailure(now);
  }
  // The target belongs to two pools, only one of which has requests in
  // practice.
  serve(permit.PoolName, now, answers);
  return answers;
}

std::optional<keyspace::TargetInstance>
PermitIssuer::targetOf(const PermitId &id) const {
  auto it = Granted.find(id);
  return it == Granted.end() ? std::nullopt : std::optional(it->second.Target);
}

PermitIssuer::Answers PermitIssuer::releaseAll(std::uint64_t requester,
                                               base::MonoTime now) {
  // Waits end first, so that no permit that becomes free is granted to them.
  std::vector<PermitId> ids;
  for (const auto &[name, waiter] : Waiting)
    if (waiter.Id.Requester == requester)
      ids.push_back(waiter.Id);
  for (auto it = Granted.lower_bound({requester, 0});
       it != Granted.end() && it->first.Requester == requester; ++it)
    ids.push_back(it->first);
  Answers answers;
  for (const auto &id : ids)
    std::ranges::move(release(id, PermitUse::Abandoned, {}, now),
                      std::back_inserter(answers));
  return answers;
}

PermitIssuer::Answers PermitIssuer::tick(base::MonoTime now) {
  Answers answers;
  std::erase_if(RemovedLimits,
                [&](const auto &it) { return it.second.isIdle(now); });
  for (auto &[name, pool] : Pools) {
    if (pool.Queue.size() == 0)
      continue;
    // A request that can't be answered in time would only occupy a slot.
    const auto last = now + estimateWork(pool, {}, now);
    for (const auto &info : pool.Queue.removeIf(
             [&](const auto &it) { return it.Deadline <= last; }))
      refuse(Waiting.extract(info.Id).mapped().Id,
             estimateWait(pool, false, now), answers);
    serve(name, now, answers);
  }
  std::vector<PermitId> expired;
  for (const auto &[id, permit] : Granted)
    if (permit.Expiry <= now)
      expired.push_back(id);
  for (const auto &id : expired)
    std::ranges::move(release(id, PermitUse::Abandoned, {}, now),
                      std::back_inserter(answers));
  return answers;
}

} // namespace magnoliamill::admission
