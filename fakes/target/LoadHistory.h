// Records the number of running requests over time, so that the load and health
// endpoints can report outdated values.
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <deque>

namespace magnoliamill::fakes {

class LoadHistory {
public:
  void record(base::MonoTime now, std::int64_t running);
  /// The number of requests that were running at \p time.
  std::int64_t runningAt(base::MonoTime time) const;

private:
  struct Sample {
    base::MonoTime Time;
    std::int64_t Running = 0;
  };
  std::deque<Sample> Samples;
};

} // namespace magnoliamill::fakes
