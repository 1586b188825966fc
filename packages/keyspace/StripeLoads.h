// The measured load of each stripe of one service.
#pragma once

#include "base/Time.h"

#include <vector>

namespace magnoliamill::keyspace {

struct StripeLoads {
  struct Load {
    /// Requests per second.
    float PerSecond = 0;
    /// Variance of PerSecond if requests arrive at random.
    float Variance = 0;
  };
  std::vector<Load> ByStripe;
  /// The measured load of one stripe is mostly noise below this.
  double MinCertain = 0;
  /// The mean time that a request occupies a slot; zero if it is not known.
  base::Duration WorkTime{};
};

} // namespace magnoliamill::keyspace
