// Detects silent links, and does not mistake a pause of this process for one.
#pragma once

#include "base/Time.h"

namespace magnoliamill::peer::internal {

/// Queried at every heartbeat interval; does no I/O.
class SilenceDetector {
public:
  SilenceDetector(base::Duration interval, base::Duration limit,
                  base::MonoTime now)
      : Interval(interval), Limit(limit), Previous(now) {}

  /// True when nothing was received for longer than the limit; \p heard is when
  /// data last arrived. A check that runs late returns false: data that arrived
  /// while this process was paused or busy may not have been read yet.
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
