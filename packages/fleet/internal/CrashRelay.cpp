// Passes on what is new about requests under which targets ended.
#include "fleet/CrashRelay.h"

#include <algorithm>

namespace magnoliamill::fleet {

CrashRelay::News CrashRelay::merge(const dispatch::CrashReport &report,
                                   Source source, base::MonoTime now) {
  News news;
  news.ForCores = dispatch::mergeReport(report, now, Known);
  news.ForEntries = describeForEntry(now);
  std::erase_if(news.ForEntries.Crashes,
                [&](const dispatch::ReportedCrash &refused) {
                  return std::ranges::none_of(
                      news.ForCores.Crashes, [&](const auto &crash) {
                        return crash.Content == refused.Content;
                      });
                });
  news.ForEntries.Cleared = news.ForCores.Cleared;
  if (source == Source::Core)
    news.ForCores = {};
  return news;
}

} // namespace magnoliamill::fleet
