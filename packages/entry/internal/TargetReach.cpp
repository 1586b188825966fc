// Keeps the failed attempts of each data centre until they expire or an attempt
// succeeds.
#include "entry/TargetReach.h"

#include <algorithm>

namespace magnoliamill::entry {

bool TargetReach::isCutOff(const Centre &centre, base::MonoTime now) {
  if (now - centre.LastFailure > FailureTime)
    return false;
  const auto count = std::ranges::count_if(
      centre.Failures, [](const auto &it) { return !it.second.IsRefuted; });
  return static_cast<std::size_t>(count) >= FailuresToCutOff;
}

bool TargetReach::onFailed(const keyspace::TargetInstance &target,
                           std::string_view centre, base::MonoTime begun,
                           base::MonoTime now) {
  Centre &known = Centres[std::string(centre)];
  const bool WasCutOff = isCutOff(known, now);
  // While the data centre is cut off, its failures count until it is reached.
  if (!WasCutOff)
    std::erase_if(known.Failures, [now](const auto &it) {
      return now - it.second.At > FailureTime;
    });
  known.Failures[target] = {begun, now};
  known.LastFailure = now;
  return !WasCutOff && isCutOff(known, now);
}

bool TargetReach::onReached(const keyspace::TargetInstance &target,
                            std::string_view centre, base::MonoTime begun,
                            base::MonoTime now) {
  auto it = Centres.find(centre);
  if (it == Centres.end())
    return false;
  Centre &known = it->second;
  const bool WasCutOff = isCutOff(known, now);
  std::erase_if(known.Failures, [&](const auto &failed) {
    return failed.first == target && failed.second.Begun <= begun;
  });
  for (auto &[failed, failure] : known.Failures)
    if (failure.Begun <= begun)
      failure.IsRefuted = true;
  if (known.Failures.empty())
    Centres.erase(it);
  return WasCutOff && !isCutOff(centre, now);
}

void TargetReach::forget(const keyspace::TargetInstance &target,
                         std::string_view centre) {
  auto it = Centres.find(centre);
  if (it == Centres.end())
    return;
  it->second.Failures.erase(target);
  if (it->second.Failures.empty())
    Centres.erase(it);
}

bool TargetReach::isReachable(const keyspace::TargetInstance &target,
                              std::string_view centre,
                              base::MonoTime now) const {
  auto it = Centres.find(centre);
  if (it == Centres.end())
    return true;
  if (isCutOff(it->second, now))
    return false;
  auto failure = it->second.Failures.find(target);
  return failure == it->second.Failures.end() ||
         now - failure->second.At > FailureTime;
}

bool TargetReach::isCutOff(std::string_view centre, base::MonoTime now) const {
  auto it = Centres.find(centre);
  return it != Centres.end() && isCutOff(it->second, now);
}

std::vector<TargetReach::Probe>
TargetReach::listProbes(base::MonoTime now) const {
  std::vector<Probe> probes;
  for (const auto &[name, centre] : Centres) {
    if (!isCutOff(centre, now))
      continue;
    const auto oldest = std::ranges::min_element(
        centre.Failures, {}, [](const auto &it) { return it.second.At; });
    probes.push_back({oldest->first, name});
  }
  return probes;
}

} // namespace magnoliamill::entry
