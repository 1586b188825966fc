// Limits the concurrent requests to one target: at most its slots, fewer while
// the target is new or sheds load.
#pragma once

#include <algorithm>
#include <cstdint>

namespace magnoliamill::dispatch {

/// Additive increase on success, multiplicative decrease when the target sheds
/// load. A new target starts at 1; until it first sheds, the limit grows by 1
/// per success, which doubles it per round trip (slow start).
class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(std::uint32_t slots) : Slots(slots) {}

  std::uint32_t value() const {
    return std::clamp<std::uint32_t>(static_cast<std::uint32_t>(Limit), 1,
                                     Slots);
  }

  void onSuccess() {
    double step = SlowStart ? 1.0 : 1.0 / Limit;
    Limit = std::min<double>(Slots, Limit + step);
  }

  /// The target refused a request because of its load, or answered only after a
  /// timeout.
  void onShed() {
    SlowStart = false;
    Limit = std::max(1.0, Limit * DecreaseFactor);
  }

  void setSlots(std::uint32_t slots) {
    Slots = std::max<std::uint32_t>(1, slots);
    Limit = std::min<double>(Limit, Slots);
  }

private:
  static constexpr double DecreaseFactor = 0.7;

  std::uint32_t Slots;
  // Invariant: 1 <= Limit <= Slots.
  double Limit = 1.0;
  bool SlowStart = true;
};

} // namespace magnoliamill::dispatch
