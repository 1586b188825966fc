// Plans which targets get free stripes, and which stripes are transferred to
// targets that have too few. Adjacent stripes are placed on different targets,
// so that a busy range of adjacent keys is served by many targets, and the load
// of a lost target is spread over all others.
#pragma once

#include "base/Time.h"
#include "keyspace/StripeLoads.h"
#include "keyspace/Types.h"

#include <cstdint>
#include <span>
#include <vector>

namespace magnoliamill::keyspace {

/// A target that may be given stripes.
struct Candidate {
  /// Relative capacity, above 0.
  double Weight = 1;
  /// Stripes that it owns and keeps, plus those being transferred to it.
  std::uint32_t Count = 0;
  /// Maximum number of stripes that fit into an answer to its heartbeat.
  std::uint32_t Limit = KeyCount;
  /// Time until its next heartbeat, whose answer grants the stripes.
  base::Duration UntilHeartbeat{};
  /// Its load is known and not above its share, however many stripes it has.
  bool HasLowLoad = false;
};

/// A free stripe and the candidate it is assigned to.
struct Placement {
  std::uint32_t Stripe = 0;
  /// Index of the candidate.
  std::uint32_t Candidate = 0;
};

/// Assigns each stripe of \p free to a candidate. Prefers candidates whose next
/// heartbeat is due soon, as long as they stay near their quota. \p total is
/// the number of all stripes of the service.
std::vector<Placement> placeStripes(std::span<const std::uint32_t> free,
                                    std::span<const Candidate> candidates,
                                    std::uint32_t total);

/// The transfer of one stripe between two candidates, given by index.
struct Transfer {
  std::uint32_t From = 0;
  std::uint32_t To = 0;
};

/// The transfers that bring candidates far from their quota to the quota, and
/// candidates above their limit down to the limit. Empty if all are near their
/// quota.
std::vector<Transfer> planTransfers(std::span<const Candidate> candidates,
                                    std::uint32_t total);

/// A target with the load of its stripes.
struct LoadCandidate {
  Candidate Target;
  /// Requests per second of all stripes that count for it, and the variance of
  /// that measurement.
  double Load = 0;
  double Variance = 0;
  /// It has had too much load for some time, so that many transfers pay off.
  bool IsLasting = false;
  /// Stripes that may be transferred to other targets now, in ascending order.
  std::vector<std::uint32_t> Movable;
};

struct StripeTransfer {
  std::uint32_t Stripe = 0;
  /// Indices of the candidates.
  std::uint32_t From = 0;
  std::uint32_t To = 0;
  bool operator==(const StripeTransfer &) const = default;
};

struct LoadPlan {
  std::vector<StripeTransfer> Transfers;
  /// Indices of the candidates with more load than they can bear.
  std::vector<std::uint32_t> Overloaded;
};

/// At most \p most transfers that relieve candidates which have more load than
/// they can bear. Empty if there are none or no candidate has room.
LoadPlan planLoadTransfers(std::span<const LoadCandidate> candidates,
                           const StripeLoads &loads, std::size_t most);

/// The targets with their counts of stripes corrected by their loads, so that
/// planTransfers() and placeStripes() don't undo transfers by load. A target
/// with few but busy stripes counts as having more, up to its quota.
std::vector<Candidate> countByLoad(std::span<const LoadCandidate> candidates,
                                   std::uint32_t total);

/// The number of stripes for a service with \p targets targets, each of which
/// can be granted at most \p rows stripes.
std::uint32_t chooseStripeCount(std::size_t targets, std::size_t rows);

} // namespace magnoliamill::keyspace
