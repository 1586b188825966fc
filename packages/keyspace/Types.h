// Keys, stripes of keys, and the targets that hold them.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace magnoliamill::keyspace {

/// Keys of a service are the numbers below this.
constexpr std::uint32_t KeyCount = 65536;

/// Rises with every assignment of a stripe: the log index that made it.
using FencingToken = std::uint64_t;

/// One run of a target's process. A later run under the same id knows nothing
/// of the earlier one.
struct TargetInstance {
  std::string Id;
  /// Unix time of the start, in milliseconds.
  std::uint64_t StartedAtMs = 0;
  auto operator<=>(const TargetInstance &) const = default;
};

/// First and last key, both included.
struct KeyRange {
  std::uint32_t First = 0;
  std::uint32_t Last = 0;
  auto operator<=>(const KeyRange &) const = default;
};

/// Keys that a target holds, or still works on.
struct HeldRange {
  KeyRange Keys;
  FencingToken Token = 0;
};

/// Keys that a target has released, and what their next holder needs to serve
/// them at full speed at once.
struct ReleasedRange {
  KeyRange Keys;
  std::string Handover;
};

/// Keys that a target is to hold.
struct GrantRow {
  KeyRange Keys;
  FencingToken Token = 0;
  std::string Handover;
  bool operator==(const GrantRow &) const = default;
};

/// The keys of a service are divided into stripes of equal size, the unit of
/// ownership. Both numbers are powers of two.
inline KeyRange rangeOfStripe(std::uint32_t stripe, std::uint32_t count) {
  const std::uint32_t size = KeyCount / count;
  return {stripe * size, stripe * size + size - 1};
}

inline std::uint32_t stripeOfKey(std::uint32_t key, std::uint32_t count) {
  return key / (KeyCount / count);
}

/// Gives stripes of one service to targets. Replicated.
struct KeyAssignment {
  struct Move {
    std::uint32_t Stripe = 0;
    /// Index into Owners.
    std::uint32_t Owner = 0;
    /// The stripe's token when the move was decided: the move is void when the
    /// stripe was assigned in between.
    FencingToken Expected = 0;
    std::string Handover;
    bool operator==(const Move &) const = default;
  };

  std::string Service;
  /// Fixed by the first assignment of the service.
  std::uint32_t StripeCount = 0;
  std::vector<TargetInstance> Owners;
  std::vector<Move> Moves;
  bool operator==(const KeyAssignment &) const = default;
};

} // namespace magnoliamill::keyspace
