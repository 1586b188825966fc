// Converts and merges reports on crashes.
#include "dispatch/CrashReport.h"

namespace magnoliamill::dispatch {

CrashReport mergeReport(const CrashReport &report, base::MonoTime now,
                        RequestQuarantine &quarantine) {
  CrashReport news;
  for (const auto &crash : report.Crashes)
    if (quarantine.add({crash.Content, crash.Target, now - crash.Age}, now))
      news.Crashes.push_back(crash);
  for (const auto content : report.Cleared)
    if (quarantine.clear(content))
      news.Cleared.push_back(content);
  return news;
}

CrashReport makeReport(const std::vector<TargetCrash> &crashes,
                       base::MonoTime now) {
  CrashReport report;
  for (const auto &crash : crashes)
    report.Crashes.push_back({crash.Content, crash.Target, now - crash.At});
  return report;
}

} // namespace magnoliamill::dispatch
