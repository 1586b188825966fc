// When the targets of evacuated data centres give up their stripes: a share
// with each answer to a heartbeat, so that few keys are without a holder at a
// time. Performs no I/O.
#pragma once

#include "base/Time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace magnoliamill::keyspace {

class EvacuationSchedule {
public:
  /// \p time is how long stripes move before the rest is revoked.
  explicit EvacuationSchedule(base::Duration time) : Time(time) {}

  /// Sets the evacuated data centres. The time of those that are new begins.
  void update(const std::set<std::string> &centres, base::MonoTime now);
  bool isEvacuated(const std::string &centre) const {
    return Centres.contains(centre);
  }
  /// True if the targets of the data centre hold nothing any more.
  bool isOver(const std::string &centre, base::MonoTime now) const;
  /// The share of its stripes, 0 to 1, that a target of the data centre gives
  /// up with the answer to a heartbeat at \p now.
  double shareDue(const std::string &centre, base::MonoTime now) const;
  /// The data centres whose time has passed since the last call.
  std::vector<std::string> takeOver(base::MonoTime now);

private:
  struct Evacuation {
    base::MonoTime End;
    /// takeOver() has returned it.
    bool IsTaken = false;
  };

  base::Duration Time;
  std::map<std::string, Evacuation> Centres;
};

} // namespace magnoliamill::keyspace
