// Plans which targets get free stripes, and which stripes are transferred to
// targets that have too few. Adjacent stripes are placed on different targets,
// so that a busy range of adjacent keys is served by many targets, and the load
// of a lost target is spread over all others.
#pragma once

#include "base/Time.h"
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

/// The number of stripes for a service with \p targets targets, each of which
/// can be granted at most \p rows stripes.
std::uint32_t chooseStripeCount(std::size_t targets, std::size_t rows);

} // namespace magnoliamill::keyspace
