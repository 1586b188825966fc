// The requests for each stripe of a keyed service, as counted by one entry.
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace magnoliamill::fleet {

/// Requests of one service that an entry received in one interval.
struct StripeLoad {
  struct Count {
    std::uint32_t Stripe = 0;
    std::uint32_t Requests = 0;
    bool operator==(const Count &) const = default;
  };

  std::string Service;
  /// The number of stripes by which the requests were counted.
  std::uint32_t StripeCount = 0;
  base::Duration Interval{};
  /// For all stripes together.
  std::uint32_t Requests = 0;
  /// The busiest stripes, a bounded number.
  std::vector<Count> Busiest;
  bool operator==(const StripeLoad &) const = default;
};

using StripeLoadReport = std::vector<StripeLoad>;

} // namespace magnoliamill::fleet
