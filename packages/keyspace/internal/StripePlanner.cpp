// Plans placements and transfers by weighted quotas.
#include "keyspace/StripePlanner.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <queue>
#include <tuple>

namespace magnoliamill::keyspace {
namespace {

/// A target may exceed its quota by this factor if its heartbeat is due sooner
/// than those of others, because its keys are then served again earlier.
constexpr double MaxEarlyExcess = 1.15;
/// A target below this fraction of its quota receives stripes from others.
constexpr double LowThreshold = 0.75;
/// A target above this fraction of its quota gives stripes to others. Both
/// thresholds tolerate noise in the measured speeds, because each transfer
/// interrupts service for its keys.
constexpr double HighThreshold = 1.3;
/// Fraction of the rows of an answer that is used while all targets are
/// available. The rest is reserved for the stripes of lost targets.
constexpr double UsedRowShare = 0.6;
constexpr std::uint32_t MinStripes = 256;
constexpr std::uint32_t MaxStripes = 32768;

std::vector<double> computeQuotas(std::span<const Candidate> candidates,
                                  std::uint32_t total) {
  double sum = 0;
  for (const Candidate &candidate : candidates)
    sum += candidate.Weight;
  std::vector<double> quotas;
  for (const Candidate &candidate : candidates)
    quotas.push_back(total * candidate.Weight / sum);
  return quotas;
}

/// The candidate with the lowest ratio of stripes to quota. Returns one at its
/// limit only if all are.
std::uint32_t findLeastLoaded(std::span<const Candidate> candidates,
                              std::span<const double> counts,
                              std::span<const double> quotas) {
  const auto IsFull = [&](std::uint32_t i) {
    return counts[i] >= candidates[i].Limit;
  };
  std::uint32_t best = 0;
  for (std::uint32_t i = 1; i < counts.size(); ++i) {
    if (IsFull(i) != IsFull(best)
            ? IsFull(best)
            : counts[i] * quotas[best] < counts[best] * quotas[i])
      best = i;
  }
  return best;
}

/// Transfers stripes above the candidates' limits to the least loaded
/// candidates.
void transferAboveLimits(std::span<const Candidate> candidates,
                         std::span<const double> quotas,
                         std::vector<double> &counts,
                         std::vector<Transfer> &transfers) {
  for (std::uint32_t from = 0; from < candidates.size(); ++from) {
    while (counts[from] > candidates[from].Limit) {
      const std::uint32_t to = findLeastLoaded(candidates, counts, quotas);
      if (to == from || counts[to] >= candidates[to].Limit)
        return;
      --counts[from];
      ++counts[to];
      transfers.push_back({from, to});
    }
  }
}

std::vector<double> currentCounts(std::span<const Candidate> candidates) {
  std::vector<double> counts;
  for (const Candidate &candidate : candidates)
    counts.push_back(candidate.Count);
  return counts;
}

/// Places many stripes evenly. Adjacent ones get different targets, because the
/// least loaded target is no longer that after it got one.
std::vector<Placement> placeEvenly(std::span<const std::uint32_t> free,
                                   std::span<const Candidate> candidates,
                                   std::span<const double> quotas) {
  struct Load {
    bool IsFull;
    double Ratio;
    std::uint32_t Candidate;
    bool operator>(const Load &other) const {
      return std::tie(IsFull, Ratio, Candidate) >
             std::tie(other.IsFull, other.Ratio, other.Candidate);
    }
  };
  auto counts = currentCounts(candidates);
  const auto measure = [&](std::uint32_t i) {
    return Load{counts[i] >= candidates[i].Limit, counts[i] / quotas[i], i};
  };
  std::priority_queue<Load, std::vector<Load>, std::greater<>> queue;
  for (std::uint32_t i = 0; i < candidates.size(); ++i)
    queue.push(measure(i));
  std::vector<Placement> placements;
  placements.reserve(free.size());
  for (std::uint32_t stripe : free) {
    const std::uint32_t chosen = queue.top().Candidate;
    queue.pop();
    ++counts[chosen];
    queue.push(measure(chosen));
    placements.push_back({stripe, chosen});
  }
  return placements;
}

} // namespace

std::vector<Placement> placeStripes(std::span<const std::uint32_t> free,
                                    std::span<const Candidate> candidates,
                                    std::uint32_t total) {
  std::vector<Placement> placements;
  if (candidates.empty() || free.empty())
    return placements;
  const auto quotas = computeQuotas(candidates, total);
  // A few stripes, such as those of one lost target, go to the targets that can
  // be granted them soonest. Many, as at the start, are distributed evenly.
  if (free.size() * 4 > total)
    return placeEvenly(free, candidates, quotas);
  auto counts = currentCounts(candidates);
  std::vector<std::uint32_t> order(candidates.size());
  std::iota(order.begin(), order.end(), 0U);
  std::ranges::sort(
      order, {}, [&](std::uint32_t i) { return candidates[i].UntilHeartbeat; });
  std::size_t turn = 0;
  for (std::uint32_t stripe : free) {
    // Adjacent stripes go to different targets: the next in turn with capacity.
    const auto HasCapacity = [&](std::uint32_t i) {
      return counts[i] + 1 <= quotas[i] * MaxEarlyExcess &&
             counts[i] < candidates[i].Limit;
    };
    std::size_t n = 0;
    while (n < order.size() && !HasCapacity(order[(turn + n) % order.size()]))
      ++n;
    std::uint32_t chosen = 0;
    if (n < order.size()) {
      chosen = order[(turn + n) % order.size()];
      // Rotates among the third of the candidates with the earliest heartbeats.
      turn = (turn + n + 1) % (order.size() / 3 + 1);
    } else {
      chosen = findLeastLoaded(candidates, counts, quotas);
    }
    ++counts[chosen];
    placements.push_back({stripe, chosen});
  }
  return placements;
}

std::vector<Transfer> planTransfers(std::span<const Candidate> candidates,
                                    std::uint32_t total) {
  std::vector<Transfer> transfers;
  if (candidates.size() < 2)
    return transfers;
  const auto quotas = computeQuotas(candidates, total);
  auto counts = currentCounts(candidates);
  transferAboveLimits(candidates, quotas, counts, transfers);
  for (std::uint32_t from = 0; from < candidates.size(); ++from) {
    if (counts[from] <= quotas[from] * HighThreshold ||
        candidates[from].HasLowLoad)
      continue;
    while (counts[from] > quotas[from] + 1) {
      const std::uint32_t to = findLeastLoaded(candidates, counts, quotas);
      if (to == from)
        break;
      --counts[from];
      ++counts[to];
      transfers.push_back({from, to});
    }
  }
  for (std::uint32_t to = 0; to < candidates.size(); ++to) {
    if (counts[to] >= quotas[to] * LowThreshold)
      continue;
    while (counts[to] + 1 <= quotas[to]) {
      std::uint32_t from = 0;
      for (std::uint32_t i = 1; i < candidates.size(); ++i)
        if (counts[i] - quotas[i] > counts[from] - quotas[from])
          from = i;
      if (from == to || counts[from] <= quotas[from])
        break;
      --counts[from];
      ++counts[to];
      transfers.push_back({from, to});
    }
  }
  return transfers;
}

std::uint32_t chooseStripeCount(std::size_t targets, std::size_t rows) {
  const double most = static_cast<double>(targets * rows) * UsedRowShare;
  std::uint32_t count = MinStripes;
  while (count < MaxStripes && count * 2 <= most)
    count *= 2;
  return count;
}

} // namespace magnoliamill::keyspace
