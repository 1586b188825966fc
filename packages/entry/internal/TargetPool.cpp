// Least expected time, own data centre first.
#include "entry/TargetPool.h"

#include "base/Log.h"

#include <algorithm>

namespace magnoliamill::entry {
namespace {

/// A target that has not answered yet counts as this fast: fast enough to be
/// tried, slow enough not to take everything.
constexpr double UnknownLatencyUs = 50'000;
/// Bytes between data centres cost, and each way adds a delay.
constexpr double CrossCentreFactor = 2.0;

} // namespace

void TargetPool::updateAll(const fleet::View &view) {
  std::vector<keyspace::TargetInstance> gone;
  for (const auto &[life, target] : Targets)
    if (!view.findTarget(life))
      gone.push_back(life);
  for (const auto &life : gone)
    remove(life);
  for (const auto &[life, about] : view.targets())
    put(about);
}

void TargetPool::update(const fleet::View &view,
                        const std::vector<keyspace::TargetInstance> &lives) {
  for (const auto &life : lives) {
    if (const auto *about = view.findTarget(life))
      put(*about);
    else
      remove(life);
  }
}

void TargetPool::put(const fleet::Target &about) {
  auto address = base::parseHostPort(about.Address);
  if (!address)
    return base::logWarning(
        "entry", base::ResultCode::AnnouncementInvalid,
        "a target's address can't be read",
        {{"target", about.Instance.Id}, {"address", about.Address}});
  auto [it, added] = Targets.try_emplace(about.Instance);
  PooledTarget &target = it->second;
  // A target keeps its service for life.
  if (added)
    ByService[about.Service].push_back(&target);
  target.About = about;
  target.Address = std::move(*address);
}

void TargetPool::remove(const keyspace::TargetInstance &life) {
  auto it = Targets.find(life);
  if (it == Targets.end())
    return;
  std::erase(ByService[it->second.About.Service], &it->second);
  Targets.erase(it);
}

PooledTarget *TargetPool::find(const keyspace::TargetInstance &life) {
  auto it = Targets.find(life);
  return it == Targets.end() ? nullptr : &it->second;
}

double TargetPool::score(const PooledTarget &target) const {
  const auto latency = target.Health.meanLatency();
  const double us = latency.count() > 0 ? static_cast<double>(latency.count())
                                        : UnknownLatencyUs;
  const double slots = std::max(target.About.Slots, 1U);
  double expected = us * (1.0 + target.InFlight / slots);
  if (target.About.DataCentre != DataCentre)
    expected *= CrossCentreFactor;
  return expected;
}

PooledTarget *
TargetPool::choose(std::string_view service,
                   const std::vector<keyspace::TargetInstance> &tried,
                   base::MonoTime now) {
  auto it = ByService.find(service);
  if (it == ByService.end())
    return nullptr;
  PooledTarget *best = nullptr;
  double least = 0;
  // Targets that failed or refused lately serve when there are no others.
  for (const bool TakeAll : {false, true}) {
    for (PooledTarget *target : it->second) {
      const bool IsOut =
          target->About.State != fleet::TargetState::Ready ||
          std::ranges::find(tried, target->About.Instance) != tried.end();
      const bool IsAvoided =
          target->Health.isEjected(now) || !target->hasRoom(now);
      if (IsOut || (IsAvoided && !TakeAll))
        continue;
      // Entries that see the same must not choose the same.
      const double jitter =
          std::uniform_real_distribution<double>(0.8, 1.2)(Random);
      const double value = score(*target) * jitter;
      if (!best || value < least) {
        best = target;
        least = value;
      }
    }
    if (best)
      return best;
  }
  return nullptr;
}

} // namespace magnoliamill::entry
