// Until when targets count as warming up because of what their heartbeats don't
// say: their data centre was evacuated before, or a former leader has published
// it.
#pragma once

#include "base/Time.h"
#include "fleet/View.h"

#include <map>
#include <string>

namespace magnoliamill::fleet {

class WarmUpTimes {
public:
  /// \p known are the targets of the view that the leader had received.
  WarmUpTimes(const std::map<keyspace::TargetInstance, Target> &known,
              base::MonoTime now);

  void onEvacuationEnd(const std::string &centre, base::MonoTime now);
  /// The end of the target's warm-up: that of its heartbeat, unless another is
  /// later. \p time is the warm-up time of its service.
  base::MonoTime endOf(const Target &target, base::Duration time) const;

  /// Smaller changes of the end of a warm-up are not published.
  static constexpr base::Duration Tolerance = std::chrono::milliseconds(200);

private:
  /// Published by a former leader, which may have had an evacuation's end.
  std::map<keyspace::TargetInstance, base::MonoTime> Published;
  /// The end of the last evacuation of each data centre.
  std::map<std::string, base::MonoTime> EvacuationEnds;
};

} // namespace magnoliamill::fleet
