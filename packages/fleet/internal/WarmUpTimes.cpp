// Takes the latest of the known ends of a target's warm-up.
#include "fleet/WarmUpTimes.h"

#include <algorithm>

namespace magnoliamill::fleet {
namespace {

/// The longest warm-up time of a service. Ends of evacuations are forgotten
/// after it.
constexpr base::Duration MaxWarmUpTime = std::chrono::hours(24);

} // namespace

WarmUpTimes::WarmUpTimes(
    const std::map<keyspace::TargetInstance, Target> &known,
    base::MonoTime now) {
  for (const auto &[instance, target] : known)
    if (target.WarmUntil > now)
      Published.emplace(instance, target.WarmUntil);
}

void WarmUpTimes::onEvacuationEnd(const std::string &centre,
                                  base::MonoTime now) {
  std::erase_if(EvacuationEnds, [&](const auto &entry) {
    return entry.second + MaxWarmUpTime <= now;
  });
  EvacuationEnds.insert_or_assign(centre, now);
}

base::MonoTime WarmUpTimes::endOf(const Target &target,
                                  base::Duration time) const {
  base::MonoTime end = target.WarmUntil;
  if (const auto it = Published.find(target.Instance); it != Published.end())
    end = std::max(end, it->second);
  if (const auto it = EvacuationEnds.find(target.DataCentre);
      time > base::Duration::zero() && it != EvacuationEnds.end())
    end = std::max(end, it->second + time);
  return end;
}

} // namespace magnoliamill::fleet
