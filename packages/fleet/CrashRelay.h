// Collects at a core under which requests targets have ended, and decides what
// the other cores and the entries are told. Performs no I/O.
#pragma once

#include "dispatch/RequestQuarantine.h"
#include "fleet/Frame.h"

namespace magnoliamill::fleet {

/// Adds what \p report says to \p quarantine. Returns the part that was not
/// known.
CrashReport mergeReport(const CrashReport &report, base::MonoTime now,
                        dispatch::RequestQuarantine &quarantine);
CrashReport makeReport(const std::vector<dispatch::TargetCrash> &crashes,
                       base::MonoTime now);

/// Cores tell each other all crashes. Entries are told only of requests that
/// are to be refused: most crashes concern requests that never come again.
class CrashRelay {
public:
  struct News {
    CrashReport ForCores;
    CrashReport ForEntries;
  };
  /// Returns what is passed on; nothing of what was known, so that reports
  /// don't go round in circles.
  News merge(const CrashReport &report, base::MonoTime now);

  /// For a core or an entry that has just connected.
  CrashReport describeForCore(base::MonoTime now) const {
    return makeReport(Known.list(now), now);
  }
  CrashReport describeForEntry(base::MonoTime now) const {
    return makeReport(Known.listRefused(now), now);
  }

private:
  dispatch::RequestQuarantine Known;
};

} // namespace magnoliamill::fleet
