// Counts the targets that ended under each request.
#include "dispatch/RequestQuarantine.h"

#include <algorithm>

namespace magnoliamill::dispatch {

bool RequestQuarantine::add(const TargetCrash &crash, base::MonoTime now) {
  if (crash.At + Lifetime <= now)
    return false;
  if (Records.size() >= MaxRequests && !Records.contains(crash.Content))
    forget(now);
  Record &record = Records[crash.Content];
  std::erase_if(record,
                [&](const auto &it) { return it.second + Lifetime <= now; });
  if (record.size() >= CrashesToRefuse)
    return false;
  return record.try_emplace(crash.Target, crash.At).second;
}

bool RequestQuarantine::clear(std::uint64_t content) {
  return Records.erase(content) > 0;
}

std::size_t RequestQuarantine::countCrashes(const Record &record,
                                            base::MonoTime now) {
  return static_cast<std::size_t>(std::ranges::count_if(
      record, [now](const auto &it) { return it.second + Lifetime > now; }));
}

base::MonoTime RequestQuarantine::newestOf(const Record &record) {
  base::MonoTime newest{};
  for (const auto &[target, at] : record)
    newest = std::max(newest, at);
  return newest;
}

std::optional<base::MonoTime>
RequestQuarantine::endOf(std::uint64_t content, base::MonoTime now) const {
  const auto it = Records.find(content);
  if (it == Records.end() || countCrashes(it->second, now) < CrashesToRefuse)
    return std::nullopt;
  return newestOf(it->second) + Lifetime;
}

bool RequestQuarantine::mayRetry(std::uint64_t content,
                                 base::MonoTime now) const {
  const auto it = Records.find(content);
  return it == Records.end() ||
         countCrashes(it->second, now) + 1 < CrashesToRefuse;
}

std::vector<TargetCrash> RequestQuarantine::list(base::MonoTime now) const {
  std::vector<TargetCrash> crashes;
  for (const auto &[content, record] : Records)
    for (const auto &[target, at] : record)
      if (at + Lifetime > now)
        crashes.push_back({content, target, at});
  return crashes;
}

std::vector<TargetCrash>
RequestQuarantine::listRefused(base::MonoTime now) const {
  auto crashes = list(now);
  std::erase_if(crashes,
                [&](const auto &crash) { return !endOf(crash.Content, now); });
  return crashes;
}

std::size_t RequestQuarantine::countRefused(base::MonoTime now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Records, [&](const auto &it) {
        return countCrashes(it.second, now) >= CrashesToRefuse;
      }));
}

void RequestQuarantine::forget(base::MonoTime now) {
  std::erase_if(Records, [now](const auto &it) {
    return countCrashes(it.second, now) == 0;
  });
  if (Records.size() >= MaxRequests)
    Records.erase(std::ranges::min_element(
        Records, {}, [](const auto &it) { return newestOf(it.second); }));
}

} // namespace magnoliamill::dispatch
