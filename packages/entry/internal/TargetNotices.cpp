// Keeps the notices of targets until they expire or too many have accumulated.
#include "entry/TargetNotices.h"

#include <algorithm>

namespace magnoliamill::entry {
namespace {

/// Requests stop this long before the end of the drain time, since a target may
/// exit then and has to answer them first.
constexpr base::Duration DrainMargin = std::chrono::milliseconds(100);

} // namespace

TargetNotices::TargetNotices(base::Duration drain, std::uint64_t seed)
    : DrainTime(std::max(drain - DrainMargin, base::Duration::zero())),
      Random(seed) {}

bool TargetNotices::onLeaving(const keyspace::TargetInstance &instance,
                              base::MonoTime now) {
  Notice &notice = put(instance, now);
  if (notice.DrainedAt != base::MonoTime::max())
    return false;
  notice.DrainedAt = now + DrainTime;
  return true;
}

bool TargetNotices::onPause(const keyspace::TargetInstance &instance,
                            base::Duration pause, base::MonoTime now) {
  if (now + pause <= opensAt(instance, now))
    return false;
  put(instance, now).PausedUntil = now + pause;
  return true;
}

bool TargetNotices::onRateLimit(const keyspace::TargetInstance &instance,
                                std::optional<double> limit,
                                std::uint32_t SenderCount, base::MonoTime now) {
  const auto known = rateLimit(instance);
  if (!limit && !known)
    return false;
  Notice &notice = put(instance, now);
  notice.RateLimit = limit;
  // All VMs hear of the limit within a short time. Each starts at a time of its
  // own between two of its requests.
  const double phase =
      SenderCount > 1 ? std::uniform_real_distribution<double>(0, 1)(Random)
                      : 1;
  notice.Share.setLimit(limit, now, SenderCount, phase);
  return limit != known;
}

void TargetNotices::onSentWithoutPermit(
    const keyspace::TargetInstance &instance, base::MonoTime now) {
  if (auto it = Notices.find(instance); it != Notices.end())
    it->second.Share.onSent(now);
}

base::MonoTime
TargetNotices::opensWithoutPermit(const keyspace::TargetInstance &instance,
                                  base::MonoTime now) const {
  auto it = Notices.find(instance);
  if (it == Notices.end())
    return now;
  return std::max(opensAt(instance, now), it->second.Share.opensAt(now));
}

std::optional<double>
TargetNotices::rateLimit(const keyspace::TargetInstance &instance) const {
  auto it = Notices.find(instance);
  return it == Notices.end() ? std::nullopt : it->second.RateLimit;
}

bool TargetNotices::isLeaving(const keyspace::TargetInstance &instance) const {
  auto it = Notices.find(instance);
  return it != Notices.end() && it->second.DrainedAt != base::MonoTime::max();
}

base::MonoTime TargetNotices::opensAt(const keyspace::TargetInstance &instance,
                                      base::MonoTime now) const {
  auto it = Notices.find(instance);
  if (it == Notices.end())
    return now;
  const Notice &notice = it->second;
  const auto opens = std::max(notice.PausedUntil, now);
  return opens < notice.DrainedAt ? opens : base::MonoTime::max();
}

TargetNotices::Notice &
TargetNotices::put(const keyspace::TargetInstance &instance,
                   base::MonoTime now) {
  if (Notices.size() >= MaxTargets && !Notices.contains(instance))
    forget(now);
  Notice &notice = Notices[instance];
  notice.ReceivedAt = now;
  return notice;
}

void TargetNotices::forget(base::MonoTime now) {
  std::erase_if(Notices, [now](const auto &it) {
    return it.second.PausedUntil <= now &&
           it.second.DrainedAt == base::MonoTime::max() && !it.second.RateLimit;
  });
  if (Notices.size() < MaxTargets)
    return;
  Notices.erase(std::ranges::min_element(
      Notices, {}, [](const auto &it) { return it.second.ReceivedAt; }));
}

} // namespace magnoliamill::entry
