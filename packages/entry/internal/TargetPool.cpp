// Chooses targets by expected latency; prefers the entry's own data centre.
#include "entry/TargetPool.h"

#include "base/Log.h"

#include <algorithm>
#include <cmath>

namespace magnoliamill::entry {
namespace {

/// Latency assumed for a target that has not answered yet: low enough that it
/// is tried, high enough that it does not receive all requests.
constexpr double DefaultLatencyUs = 50'000;
/// The measured mean latency; \p DefaultUs if the target has not answered yet.
double meanLatencyUs(const PooledTarget &target, double DefaultUs) {
  const auto latency = target.Health.meanLatency();
  return latency.count() > 0 ? static_cast<double>(latency.count()) : DefaultUs;
}

/// Penalty for targets in other data centres: traffic between data centres is
/// charged, and each direction adds latency.
constexpr double CrossDataCentreFactor = 2.0;
/// Targets that are drawn at random where targets report their load; the one
/// that would answer first is chosen. With three, entries with reports that are
/// 1 s old had twice as many requests refused as with two, since they chose the
/// same targets (docs/design/even-load.md).
constexpr int DrawnTargets = 2;

} // namespace

void TargetPool::updateAll(const fleet::View &view) {
  updateWarmUpLimits(view);
  std::vector<keyspace::TargetInstance> gone;
  for (const auto &[instance, target] : Targets)
    if (!view.findTarget(instance))
      gone.push_back(instance);
  for (const auto &instance : gone)
    remove(instance);
  for (const auto &[instance, target] : view.targets())
    put(target);
}

void TargetPool::update(
    const fleet::View &view,
    const std::vector<keyspace::TargetInstance> &instances) {
  updateWarmUpLimits(view);
  for (const auto &instance : instances) {
    if (const auto *target = view.findTarget(instance))
      put(*target);
    else
      remove(instance);
  }
}

void TargetPool::updateWarmUpLimits(const fleet::View &view) {
  WarmUpLimited.clear();
  for (const auto &[name, service] : view.config().services())
    if (!service.IsRemoved && service.WarmUpPerSecond > 0)
      WarmUpLimited.insert(name);
}

base::MonoTime TargetPool::warmsUpUntil(const PooledTarget &target,
                                        base::MonoTime now) const {
  const auto &Description = target.Description;
  return WarmUpLimited.contains(Description.Service)
             ? std::max(Description.WarmUntil, now)
             : now;
}

base::MonoTime
TargetPool::findWarmUpEnd(std::string_view service,
                          const std::vector<keyspace::TargetInstance> &tried,
                          base::MonoTime now) const {
  const auto it = ByService.find(service);
  if (it == ByService.end())
    return now;
  auto end = base::MonoTime::max();
  for (const PooledTarget *target : it->second)
    if (mayGetRequests(*target, now) &&
        Notices.opensWithoutPermit(target->Description.Instance, now) <= now &&
        std::ranges::find(tried, target->Description.Instance) == tried.end())
      end = std::min(end, warmsUpUntil(*target, now));
  return end == base::MonoTime::max() ? now : end;
}

void TargetPool::put(const fleet::Target &target) {
  auto address = base::parseHostPort(target.Address);
  if (!address)
    return base::logWarning(
        "entry", base::ResultCode::AnnouncementInvalid,
        "cannot parse the address of a target",
        {{"target", target.Instance.Id}, {"address", target.Address}});
  auto [it, added] = Targets.try_emplace(target.Instance);
  PooledTarget &pooled = it->second;
  // The service of a target instance never changes.
  if (added)
    ByService[target.Service].push_back(&pooled);
  pooled.Description = target;
  pooled.Address = std::move(*address);
}

void TargetPool::remove(const keyspace::TargetInstance &instance) {
  auto it = Targets.find(instance);
  if (it == Targets.end())
    return;
  Reach.forget(instance, groupOf(it->second));
  std::erase(ByService[it->second.Description.Service], &it->second);
  Targets.erase(it);
}

PooledTarget *TargetPool::find(const keyspace::TargetInstance &instance) {
  auto it = Targets.find(instance);
  return it == Targets.end() ? nullptr : &it->second;
}

PooledTarget *TargetPool::findReady(const keyspace::TargetInstance &instance) {
  PooledTarget *target = find(instance);
  return target && target->Description.State == fleet::TargetState::Ready
             ? target
             : nullptr;
}

PooledTarget *TargetPool::findServing(const keyspace::TargetInstance &instance,
                                      base::MonoTime now) {
  PooledTarget *target = findReady(instance);
  return target && !Evacuated.isClosed(target->Description.DataCentre, now)
             ? target
             : nullptr;
}

bool TargetPool::mayGetRequests(const keyspace::TargetInstance &instance,
                                base::MonoTime now) const {
  auto it = Targets.find(instance);
  return it != Targets.end() && mayGetRequests(it->second, now);
}

void TargetPool::onLoad(const keyspace::TargetInstance &instance,
                        const dispatch::TargetLoad &load, base::MonoTime now) {
  // The answered request has ended at the target.
  if (PooledTarget *target = find(instance))
    target->Load.onReport(load, std::max(target->InFlight, 1U) - 1, now);
}

double TargetPool::expectedLatencyUs(const PooledTarget &target,
                                     double DefaultUs,
                                     base::MonoTime now) const {
  const double us = meanLatencyUs(target, DefaultUs);
  const double slots = std::max(target.Description.Slots, 1U);
  double expected = us * (1.0 + target.InFlight / slots);
  if (target.Load.isKnown(now))
    expected =
        static_cast<double>(target.Load
                                .answerTime(base::Duration(std::llround(us)),
                                            target.InFlight, slots, now)
                                .count());
  if (target.Description.DataCentre != DataCentre)
    expected *= CrossDataCentreFactor;
  return expected;
}

TargetPool::Rank TargetPool::rankOf(const PooledTarget &target,
                                    base::MonoTime now) const {
  if (target.Health.isEjected(now) || !target.hasRoom(now) ||
      !isReachable(target, now))
    return Rank::Avoided;
  return Notices.isLeaving(target.Description.Instance) ? Rank::Leaving
                                                        : Rank::Normal;
}

bool TargetPool::mayGetRequests(const PooledTarget &target,
                                base::MonoTime now) const {
  return target.Description.State == fleet::TargetState::Ready &&
         Notices.isOpen(target.Description.Instance, now) &&
         !Evacuated.isClosed(target.Description.DataCentre, now);
}

base::MonoTime TargetPool::findOpening(std::string_view service,
                                       base::MonoTime now,
                                       Opening opening) const {
  std::optional<base::MonoTime> first;
  if (auto it = ByService.find(service); it != ByService.end())
    for (const PooledTarget *target : it->second)
      if (target->Description.State == fleet::TargetState::Ready &&
          !Evacuated.isEvacuated(target->Description.DataCentre)) {
        const auto opens =
            (Notices.*opening)(target->Description.Instance, now);
        first = std::min(first.value_or(opens), opens);
      }
  return first.value_or(now);
}

bool TargetPool::isReachable(std::string_view service,
                             base::MonoTime now) const {
  auto it = ByService.find(service);
  if (it == ByService.end())
    return true;
  bool HasReady = false;
  for (const PooledTarget *target : it->second) {
    if (!mayChoose(*target, now))
      continue;
    if (isReachable(*target, now))
      return true;
    HasReady = true;
  }
  return !HasReady;
}

PooledTarget *TargetPool::pickMember(const TargetGroup &group) {
  std::vector<PooledTarget *> members;
  for (auto &[instance, target] : Targets)
    if ((group.DataCentre.empty() ||
         group.DataCentre == target.Description.DataCentre) &&
        (group.Service.empty() || group.Service == target.Description.Service))
      members.push_back(&target);
  if (members.empty())
    return nullptr;
  return members[std::uniform_int_distribution<std::size_t>(0, members.size() -
                                                                   1)(Random)];
}

std::vector<std::string> TargetPool::listDataCentres(std::string_view service,
                                                     base::MonoTime now) {
  std::vector<std::string> centres;
  if (auto it = ByService.find(service); it != ByService.end())
    for (const PooledTarget *target : it->second)
      if (mayChoose(*target, now))
        centres.push_back(target->Description.DataCentre);
  std::ranges::sort(centres);
  centres.erase(std::unique(centres.begin(), centres.end()), centres.end());
  std::ranges::shuffle(centres, Random);
  std::stable_partition(centres.begin(), centres.end(),
                        [&](const auto &it) { return it == DataCentre; });
  return centres;
}

PooledTarget *
TargetPool::choose(std::string_view service,
                   const std::vector<keyspace::TargetInstance> &tried,
                   base::MonoTime now) {
  auto it = ByService.find(service);
  if (it == ByService.end())
    return nullptr;
  PooledTarget *best = nullptr;
  std::pair<Rank, double> least;
  std::vector<PooledTarget *> candidates;
  bool HasReports = false;
  for (PooledTarget *target : it->second) {
    if (!mayChoose(*target, now) ||
        Notices.opensWithoutPermit(target->Description.Instance, now) > now ||
        isWarmingUp(*target, now) ||
        std::ranges::find(tried, target->Description.Instance) != tried.end())
      continue;
    candidates.push_back(target);
    HasReports = HasReports || target->Load.isKnown(now);
    // Keeps entries with the same measurements from all choosing the same
    // target.
    const double jitter =
        std::uniform_real_distribution<double>(0.8, 1.2)(Random);
    const std::pair value(rankOf(*target, now),
                          expectedLatencyUs(*target, DefaultLatencyUs, now) *
                              jitter);
    if (!best || value < least) {
      best = target;
      least = value;
    }
  }
  if (!HasReports)
    return best;
  std::erase_if(candidates, [&](const PooledTarget *target) {
    return rankOf(*target, now) != least.first;
  });
  return chooseEvenly(candidates, now);
}

PooledTarget *
TargetPool::chooseEvenly(const std::vector<PooledTarget *> &candidates,
                         base::MonoTime now) {
  // What is not measured counts as average. A low default would draw all
  // entries to the same unmeasured targets.
  double sum = 0;
  double measured = 0;
  for (const PooledTarget *target : candidates)
    if (const double us = meanLatencyUs(*target, 0); us > 0) {
      sum += us;
      measured += 1;
    }
  const double DefaultUs = measured > 0 ? sum / measured : DefaultLatencyUs;
  PooledTarget *best = nullptr;
  double least = 0;
  for (const bool IsNear : {true, false}) {
    std::vector<PooledTarget *> group;
    // Targets are drawn by their measured speeds, so that the choice stays
    // right for targets of different speeds when the reports are old.
    std::vector<double> speeds;
    for (PooledTarget *target : candidates)
      if ((target->Description.DataCentre == DataCentre) == IsNear) {
        group.push_back(target);
        speeds.push_back(1 / meanLatencyUs(*target, DefaultUs));
      }
    if (group.empty())
      continue;
    std::discrete_distribution<std::size_t> draw(speeds.begin(), speeds.end());
    for (int i = 0; i < DrawnTargets; ++i) {
      PooledTarget *target = group[draw(Random)];
      const double expected = expectedLatencyUs(*target, DefaultUs, now);
      if (!best || expected < least) {
        best = target;
        least = expected;
      }
    }
  }
  return best;
}

} // namespace magnoliamill::entry
