// Distributes the requests of a route among its services by their weights.
#pragma once

#include "routing/ConfigItems.h"

#include <cstdint>
#include <span>
#include <vector>

namespace magnoliamill::routing {

/// Smooth weighted round robin: after any number of choices, each service has
/// received its share to within one request.
class WeightedChoice {
public:
  /// Returns the index of the chosen share. At least one weight must be above
  /// 0. Restarts if the weights differ from those of the last call.
  std::size_t next(std::span<const Share> shares);

private:
  std::vector<std::uint32_t> Weights;
  // The sum is 0 between calls.
  std::vector<std::int64_t> Credits;
};

} // namespace magnoliamill::routing
