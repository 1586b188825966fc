// Implements smooth weighted round robin.
#include "routing/WeightedChoice.h"

#include <algorithm>

namespace magnoliamill::routing {

std::size_t WeightedChoice::next(std::span<const Share> shares) {
  if (shares.size() == 1)
    return 0;
  const bool IsSame = std::ranges::equal(
      Weights, shares, {}, {}, [](const Share &share) { return share.Weight; });
  if (!IsSame) {
    Weights.clear();
    for (const Share &share : shares)
      Weights.push_back(share.Weight);
    Credits.assign(shares.size(), 0);
  }
  std::int64_t total = 0;
  for (std::size_t i = 0; i < Weights.size(); ++i) {
    Credits[i] += Weights[i];
    total += Weights[i];
  }
  const auto best = std::ranges::max_element(Credits);
  *best -= total;
  return static_cast<std::size_t>(best - Credits.begin());
}

} // namespace magnoliamill::routing
