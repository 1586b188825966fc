// Plans transfers by the load of single stripes.
#include "keyspace/StripePlanner.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <optional>

namespace magnoliamill::keyspace {
namespace {

/// A target gives stripes away only above this multiple of its share of the
/// load: if all targets are overloaded, transfers help none.
constexpr double MaxShareFactor = 1.3;
/// The same if it is not known how much targets can serve: half of the capacity
/// is commonly free.
constexpr double MaxUnknownShareFactor = 2.0;
/// Fraction of its capacity that a target can bear. Above, requests wait longer
/// than they are worked on.
constexpr double MaxUtilization = 0.95;
/// A target that gives or gets stripes is afterwards at most at this fraction
/// of what it can bear, so that noise doesn't cause further transfers.
constexpr double RelievedShare = 0.9;
/// The load has to exceed the bound by this many standard deviations.
constexpr double NoiseDeviations = 2.0;
/// Utilization that a target may have more than another if its heartbeat is due
/// a second sooner, because the stripe is then served again earlier.
constexpr double UtilizationPerSecond = 0.1;

double toSeconds(base::Duration time) {
  return std::chrono::duration<double>(time).count();
}

/// A stripe that can be transferred.
struct Piece {
  std::uint32_t Stripe = 0;
  double Load = 0;
};

class Planner {
public:
  Planner(std::span<const LoadCandidate> candidates, const StripeLoads &loads,
          std::size_t most)
      : Candidates(candidates), Loads(loads), Most(most) {
    double weights = 0;
    double total = 0;
    for (const auto &candidate : candidates) {
      weights += candidate.Target.Weight;
      total += candidate.Load;
    }
    const double work = toSeconds(loads.WorkTime);
    for (const auto &candidate : candidates) {
      const double weight = candidate.Target.Weight;
      const double share = total * weight / weights;
      State state;
      state.Bound = work > 0 ? std::max(share * MaxShareFactor,
                                        weight / work * MaxUtilization)
                             : share * MaxUnknownShareFactor;
      state.Load = candidate.Load;
      state.Count = candidate.Target.Count;
      States.push_back(std::move(state));
    }
  }

  LoadPlan plan() {
    std::vector<std::uint32_t> givers;
    for (std::uint32_t i = 0; i < States.size(); ++i) {
      const double noise = std::sqrt(Candidates[i].Variance) * NoiseDeviations;
      States[i].IsOverloaded = States[i].Load - noise > States[i].Bound;
      if (States[i].IsOverloaded)
        givers.push_back(i);
    }
    std::ranges::sort(givers, std::greater<>(), [this](std::uint32_t i) {
      return States[i].Load - States[i].Bound;
    });
    if (!givers.empty())
      for (std::uint32_t i = 0; i < States.size(); ++i)
        listPieces(i);
    for (const std::uint32_t giver : givers)
      while (excessOf(giver) > 0 && countLeft() > 0 && relieve(giver)) {
      }
    Result.Overloaded = std::move(givers);
    return std::move(Result);
  }

private:
  struct State {
    double Load = 0;
    /// The load that it can bear.
    double Bound = 0;
    std::uint32_t Count = 0;
    bool IsOverloaded = false;
    /// Stripes whose own load is certain, by descending load.
    std::vector<Piece> Busy;
    /// The others, each with their mean load. Taken from the end.
    std::vector<std::uint32_t> Ordinary;
    double OrdinaryLoad = 0;
  };

  std::size_t countLeft() const { return Most - Result.Transfers.size(); }
  double excessOf(std::uint32_t i) const {
    return States[i].Load - States[i].Bound * RelievedShare;
  }

  /// Which of many stripes with few requests were measured to be busy is
  /// chance, so that they count with their mean.
  void listPieces(std::uint32_t i) {
    State &state = States[i];
    double sum = 0;
    std::vector<std::uint32_t> ordinary;
    for (const std::uint32_t stripe : Candidates[i].Movable) {
      const double load = Loads.ByStripe[stripe].PerSecond;
      if (load >= Loads.MinCertain) {
        state.Busy.push_back({stripe, load});
        continue;
      }
      ordinary.push_back(stripe);
      sum += load;
    }
    std::ranges::sort(state.Busy, std::greater<>(), &Piece::Load);
    if (!ordinary.empty())
      state.OrdinaryLoad = sum / static_cast<double>(ordinary.size());
    // Alternates between both halves, so that stripes that are adjacent there
    // are not taken together.
    const std::size_t half = (ordinary.size() + 1) / 2;
    for (std::size_t n = 0; n < half; ++n) {
      state.Ordinary.push_back(ordinary[n]);
      if (half + n < ordinary.size())
        state.Ordinary.push_back(ordinary[half + n]);
    }
  }

  /// The candidate that can bear \p load best; none if it would be too much for
  /// all.
  std::optional<std::uint32_t> findReceiver(std::uint32_t giver,
                                            double load) const {
    std::optional<std::uint32_t> best;
    double lowest = std::numeric_limits<double>::max();
    for (std::uint32_t i = 0; i < States.size(); ++i) {
      const State &state = States[i];
      if (i == giver || state.IsOverloaded || excessOf(i) + load > 0 ||
          state.Count >= Candidates[i].Target.Limit)
        continue;
      const double rank =
          (state.Load + load) / state.Bound +
          toSeconds(Candidates[i].Target.UntilHeartbeat) * UtilizationPerSecond;
      if (rank < lowest) {
        lowest = rank;
        best = i;
      }
    }
    return best;
  }

  void transfer(const Piece &piece, std::uint32_t from, std::uint32_t to) {
    Result.Transfers.push_back({piece.Stripe, from, to});
    States[from].Load -= piece.Load;
    States[to].Load += piece.Load;
    --States[from].Count;
    ++States[to].Count;
  }

  /// Returns false if nothing helps.
  bool relieve(std::uint32_t giver) {
    if (giveBusy(giver))
      return true;
    // Keys that are busy for a few seconds only have cooled down before many
    // transfers have paid off.
    if (!Candidates[giver].IsLasting)
      return false;
    const std::size_t all = countOrdinary(giver, excessOf(giver));
    const bool IsEnough = all <= States[giver].Ordinary.size();
    const auto swap = findSwap(giver);
    if (swap && (!IsEnough || swap->Count + 1 < all))
      return giveBySwap(giver, *swap);
    return giveOrdinary(giver, all) > 0;
  }

  /// Transfers the least busy stripe that relieves the target, or else the
  /// busiest one that another target can bear.
  bool giveBusy(std::uint32_t giver) {
    auto &busy = States[giver].Busy;
    const auto relieving = std::ranges::partition_point(
        busy, [excess = excessOf(giver)](const Piece &piece) {
          return piece.Load >= excess;
        });
    const auto TryGive = [&](auto it) {
      const auto to = findReceiver(giver, it->Load);
      if (!to)
        return false;
      transfer(*it, giver, *to);
      busy.erase(it);
      return true;
    };
    for (auto it = relieving; it != busy.begin();)
      if (TryGive(--it))
        return true;
    for (auto it = relieving; it != busy.end(); ++it)
      if (TryGive(it))
        return true;
    return false;
  }

  /// The number of ordinary stripes that together have \p load; KeyCount if it
  /// would be more.
  std::size_t countOrdinary(std::uint32_t i, double load) const {
    const double one = States[i].OrdinaryLoad;
    if (load > one * KeyCount)
      return KeyCount;
    return load <= 0 ? 0 : static_cast<std::size_t>(std::ceil(load / one));
  }

  /// The target that can bear the giver's busiest stripe once it has given
  /// Count ordinary stripes away.
  struct Swap {
    std::uint32_t Receiver = 0;
    std::size_t Count = 0;
  };
  std::optional<Swap> findSwap(std::uint32_t giver) const {
    if (States[giver].Busy.empty())
      return std::nullopt;
    const double load = States[giver].Busy.front().Load;
    std::optional<Swap> best;
    for (std::uint32_t i = 0; i < States.size(); ++i) {
      if (i == giver || States[i].IsOverloaded ||
          States[i].Bound <= States[giver].Bound)
        continue;
      const auto count = countOrdinary(i, excessOf(i) + load);
      if (count <= States[i].Ordinary.size() && count < countLeft() &&
          (!best || count < best->Count))
        best = {i, count};
    }
    return best;
  }

  bool giveBySwap(std::uint32_t giver, const Swap &swap) {
    const std::size_t given = giveOrdinary(swap.Receiver, swap.Count);
    if (given < swap.Count)
      return given > 0;
    auto &busy = States[giver].Busy;
    transfer(busy.front(), giver, swap.Receiver);
    busy.erase(busy.begin());
    return true;
  }

  /// Returns how many of \p count ordinary stripes found a receiver.
  std::size_t giveOrdinary(std::uint32_t giver, std::size_t count) {
    State &state = States[giver];
    std::size_t given = 0;
    if (state.OrdinaryLoad <= 0)
      return given;
    while (given < count && countLeft() > 0 && !state.Ordinary.empty()) {
      const auto to = findReceiver(giver, state.OrdinaryLoad);
      if (!to)
        break;
      transfer({state.Ordinary.back(), state.OrdinaryLoad}, giver, *to);
      state.Ordinary.pop_back();
      ++given;
    }
    return given;
  }

  std::span<const LoadCandidate> Candidates;
  const StripeLoads &Loads;
  std::size_t Most;
  std::vector<State> States;
  LoadPlan Result;
};

} // namespace

LoadPlan planLoadTransfers(std::span<const LoadCandidate> candidates,
                           const StripeLoads &loads, std::size_t most) {
  if (candidates.size() < 2)
    return {};
  return Planner(candidates, loads, most).plan();
}

std::vector<Candidate> countByLoad(std::span<const LoadCandidate> candidates,
                                   std::uint32_t total) {
  double weights = 0;
  double loads = 0;
  for (const auto &candidate : candidates) {
    weights += candidate.Target.Weight;
    loads += candidate.Load;
  }
  std::vector<Candidate> counted;
  for (const auto &candidate : candidates) {
    Candidate target = candidate.Target;
    const double quota = total * target.Weight / weights;
    const double busy = loads > 0 ? candidate.Load / loads * total : 0;
    target.HasLowLoad = busy <= quota * MaxShareFactor;
    if (target.Count < quota)
      target.Count = std::max(
          target.Count, static_cast<std::uint32_t>(std::min(busy, quota)));
    counted.push_back(target);
  }
  return counted;
}

} // namespace magnoliamill::keyspace
