// Tells a silent link from a process that was itself paused.
#pragma once

#include "base/Time.h"

namespace magnoliamill::peer::internal {

/// Asked at every heartbeat interval. A decision without I/O.
class SilenceDetector {
public:
  SilenceDetector(base::Duration interval, base::Duration limit,
                  base::MonoTime now)
      : Interval(interval), Limit(limit), Previous(now) {}

  /// True when nothing was heard for longer than the limit. A check that comes
  /// late is passed over: what arrived while this process was paused or busy
  /// has not been read yet.
  bool isSilent(base::MonoTime heard, base::MonoTime now) {
    bool IsLate = now - Previous > Interval + Limit / 2;
    Previous = now;
    return !IsLate && now - heard > Limit;
  }

private:
  const base::Duration Interval;
  const base::Duration Limit;
  base::MonoTime Previous;
};

} // namespace magnoliamill::peer::internal
