// Keeps the failed attempts of each group until they expire or an attempt
// succeeds.
#include "entry/TargetReach.h"

#include <algorithm>

namespace magnoliamill::entry {

std::array<TargetGroup, 3>
TargetReach::listEnclosing(const TargetGroup &group) {
  return {group, TargetGroup{group.DataCentre, ""}, TargetGroup{}};
}

bool TargetReach::isCutOff(const TargetGroup &group, const Failures &failures,
                           base::MonoTime now) {
  if (now - failures.Last > FailureTime)
    return false;
  const auto count = std::ranges::count_if(
      failures.ByTarget, [](const auto &it) { return !it.second.IsRefuted; });
  return static_cast<std::size_t>(count) >=
         (group == TargetGroup{} ? FailuresToCutOffAll : FailuresToCutOff);
}

std::vector<TargetGroup>
TargetReach::onFailed(const keyspace::TargetInstance &target,
                      const TargetGroup &group, base::MonoTime begun,
                      base::MonoTime now) {
  std::vector<TargetGroup> news;
  for (const auto &it : listEnclosing(group)) {
    Failures &failures = Groups[it];
    const bool WasCutOff = isCutOff(it, failures, now);
    // While a group is cut off, its failures count until a member is reached.
    if (!WasCutOff)
      std::erase_if(failures.ByTarget, [now](const auto &failed) {
        return now - failed.second.At > FailureTime;
      });
    failures.ByTarget[target] = {begun, now};
    failures.Last = now;
    if (!WasCutOff && isCutOff(it, failures, now))
      news.push_back(it);
  }
  return news;
}

std::vector<TargetGroup>
TargetReach::onReached(const keyspace::TargetInstance &target,
                       const TargetGroup &group, base::MonoTime begun,
                       base::MonoTime now) {
  std::vector<TargetGroup> news;
  for (const auto &it : listEnclosing(group)) {
    auto known = Groups.find(it);
    if (known == Groups.end())
      continue;
    Failures &failures = known->second;
    const bool WasCutOff = isCutOff(it, failures, now);
    std::erase_if(failures.ByTarget, [&](const auto &failed) {
      return failed.first == target && failed.second.Begun <= begun;
    });
    for (auto &[failed, failure] : failures.ByTarget)
      failure.IsRefuted = failure.IsRefuted || failure.Begun <= begun;
    if (WasCutOff && !isCutOff(it, failures, now))
      news.push_back(it);
    if (failures.ByTarget.empty())
      Groups.erase(known);
  }
  return news;
}

void TargetReach::forget(const keyspace::TargetInstance &target,
                         const TargetGroup &group) {
  for (const auto &it : listEnclosing(group)) {
    auto known = Groups.find(it);
    if (known == Groups.end())
      continue;
    known->second.ByTarget.erase(target);
    if (known->second.ByTarget.empty())
      Groups.erase(known);
  }
}

bool TargetReach::isReachable(const keyspace::TargetInstance &target,
                              const TargetGroup &group,
                              base::MonoTime now) const {
  if (Groups.empty())
    return true;
  if (isCutOff(group, now))
    return false;
  auto it = Groups.find(group);
  if (it == Groups.end())
    return true;
  auto failure = it->second.ByTarget.find(target);
  return failure == it->second.ByTarget.end() ||
         now - failure->second.At > FailureTime;
}

bool TargetReach::isMarked(const TargetGroup &group, base::MonoTime now) const {
  auto it = Groups.find(group);
  return it != Groups.end() && isCutOff(group, it->second, now);
}

bool TargetReach::isCutOff(const TargetGroup &group, base::MonoTime now) const {
  return std::ranges::any_of(listEnclosing(group),
                             [&](const auto &it) { return isMarked(it, now); });
}

std::vector<TargetGroup> TargetReach::listCutOff(base::MonoTime now) const {
  std::vector<TargetGroup> groups;
  for (const auto &known : Groups) {
    const TargetGroup &group = known.first;
    const bool IsIncluded =
        std::ranges::any_of(listEnclosing(group), [&](const auto &it) {
          return it != group && isMarked(it, now);
        });
    if (!IsIncluded && isMarked(group, now))
      groups.push_back(group);
  }
  return groups;
}

} // namespace magnoliamill::entry
