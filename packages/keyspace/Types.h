// Types for key ownership: keys, stripes (ranges of keys), the targets that
// hold them, and assignments of stripes to targets.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace magnoliamill::keyspace {

/// The keys of a service are the numbers 0 to KeyCount - 1.
constexpr std::uint32_t KeyCount = 65536;

/// The log index of the assignment that gave a stripe to its owner. Increases
/// with each assignment of the stripe.
using FencingToken = std::uint64_t;

/// Names a heartbeat of a target instance.
struct SentHeartbeat {
  /// Address of the sender.
  std::string Address;
  /// Increases with each heartbeat.
  std::uint64_t Number = 0;
  bool operator==(const SentHeartbeat &) const = default;
};

/// One run of a target's process. A later run with the same id has no state of
/// the earlier one.
struct TargetInstance {
  std::string Id;
  /// Unix time of the start, in milliseconds.
  std::uint64_t StartedAtMs = 0;
  auto operator<=>(const TargetInstance &) const = default;
};

/// First and last key, both inclusive.
struct KeyRange {
  std::uint32_t First = 0;
  std::uint32_t Last = 0;
  auto operator<=>(const KeyRange &) const = default;
};

/// Keys that a target holds, or for which it still processes requests.
struct HeldRange {
  KeyRange Keys;
  FencingToken Token = 0;
};

/// Keys that a target has released, with the handover data that lets their next
/// holder serve them at full speed immediately.
struct ReleasedRange {
  KeyRange Keys;
  std::string Handover;
};

/// Keys granted to a target: one row of an answer to a heartbeat.
struct GrantRow {
  KeyRange Keys;
  FencingToken Token = 0;
  std::string Handover;
  bool operator==(const GrantRow &) const = default;
};

/// The keys of stripe \p stripe of \p count. The keys of a service are divided
/// into stripes, contiguous ranges of equal size, which are the unit of
/// ownership. KeyCount and \p count are powers of two.
inline KeyRange rangeOfStripe(std::uint32_t stripe, std::uint32_t count) {
  const std::uint32_t size = KeyCount / count;
  return {stripe * size, stripe * size + size - 1};
}

inline std::uint32_t stripeOfKey(std::uint32_t key, std::uint32_t count) {
  return key / (KeyCount / count);
}

/// Assigns stripes of one service to targets. Replicated as a log entry.
struct KeyAssignment {
  struct Move {
    std::uint32_t Stripe = 0;
    /// Index into Owners.
    std::uint32_t Owner = 0;
    /// The stripe's token when the move was planned. The move is ignored if the
    /// stripe has been reassigned since.
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

/// An answer to the heartbeat may grant its sender stripes that it didn't
/// report. Earlier heartbeats, even if they arrive later, don't show which of
/// its stripes the target has released. Replicated as a log entry before the
/// answer is sent.
struct GrantRecord {
  std::string Service;
  TargetInstance Instance;
  SentHeartbeat Heartbeat;
  bool operator==(const GrantRecord &) const = default;
};

} // namespace magnoliamill::keyspace
