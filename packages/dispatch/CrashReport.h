// What VMs tell each other about requests under which targets ended.
#pragma once

#include "dispatch/RequestQuarantine.h"

#include <cstdint>
#include <string>
#include <vector>

namespace magnoliamill::dispatch {

/// A TargetCrash, with its age in place of a time on the sender's clock.
struct ReportedCrash {
  std::uint64_t Content = 0;
  std::string Target;
  base::Duration Age{};
};

/// What the sender knows, or has learned.
struct CrashReport {
  std::vector<ReportedCrash> Crashes;
  /// Requests that a target has answered.
  std::vector<std::uint64_t> Cleared;
  bool empty() const { return Crashes.empty() && Cleared.empty(); }
};

CrashReport makeReport(const std::vector<TargetCrash> &crashes,
                       base::MonoTime now);
/// Adds what \p report says to \p quarantine. Returns the part that was not
/// known.
CrashReport mergeReport(const CrashReport &report, base::MonoTime now,
                        RequestQuarantine &quarantine);

} // namespace magnoliamill::dispatch
