// Passes on what is new about requests under which targets ended.
#include "fleet/CrashRelay.h"

#include <algorithm>

namespace magnoliamill::fleet {

CrashReport mergeReport(const CrashReport &report, base::MonoTime now,
                        dispatch::RequestQuarantine &quarantine) {
  CrashReport news;
  for (const auto &crash : report.Crashes)
    if (quarantine.add({crash.Content, crash.Target, now - crash.Age}, now))
      news.Crashes.push_back(crash);
  for (const auto content : report.Cleared)
    if (quarantine.clear(content))
      news.Cleared.push_back(content);
  return news;
}

CrashReport makeReport(const std::vector<dispatch::TargetCrash> &crashes,
                       base::MonoTime now) {
  CrashReport report;
  for (const auto &crash : crashes)
    report.Crashes.push_back({crash.Content, crash.Target, now - crash.At});
  return report;
}

CrashRelay::News CrashRelay::merge(const CrashReport &report,
                                   base::MonoTime now) {
  News news;
  news.ForCores = mergeReport(report, now, Known);
  news.ForEntries = describeForEntry(now);
  std::erase_if(news.ForEntries.Crashes, [&](const ReportedCrash &refused) {
    return std::ranges::none_of(news.ForCores.Crashes, [&](const auto &crash) {
      return crash.Content == refused.Content;
    });
  });
  news.ForEntries.Cleared = news.ForCores.Cleared;
  return news;
}

} // namespace magnoliamill::fleet
