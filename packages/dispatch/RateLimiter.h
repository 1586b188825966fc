// Limits the requests that a target gets to the rate that it named. Performs no
// I/O.
#pragma once

#include "base/Time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace magnoliamill::dispatch {

/// Spaces requests evenly, with a short burst after an idle time. Without a
/// limit it is always open.
class RateLimiter {
public:
  /// Sets the target's limit in requests per second, or none; this sender gets
  /// an equal share of it. The first request after a limit was introduced waits
  /// for \p phase (0 to 1) of the time between two: many senders should not
  /// start together.
  void setLimit(std::optional<double> limit, base::MonoTime now,
                std::uint32_t SenderCount = 1, double phase = 1) {
    const bool IsNew = !Interval;
    Interval.reset();
    if (!limit)
      return;
    Interval = std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(SenderCount /
                                      std::max(*limit, MinPerSecond)));
    const auto first = std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double, base::Duration::period>(*Interval) *
        phase);
    if (IsNew)
      FullAt = std::max(FullAt, now + BurstTime + first);
    FullAt = std::min(FullAt, now + BurstTime + *Interval);
  }

  bool isLimited() const { return Interval.has_value(); }
  /// Time between two requests; zero without a limit.
  base::Duration interval() const {
    return Interval.value_or(base::Duration::zero());
  }
  /// When the next request may be sent; \p now if it may be at present.
  base::MonoTime opensAt(base::MonoTime now) const {
    return Interval ? std::max(now, FullAt - BurstTime) : now;
  }
  bool isOpen(base::MonoTime now) const { return opensAt(now) <= now; }
  /// A request is sent.
  void onSent(base::MonoTime now) {
    if (Interval)
      FullAt = std::max(FullAt, now) + *Interval;
  }

private:
  /// Requests that were not sent for this long may be made up for at once.
  static constexpr base::Duration BurstTime = std::chrono::milliseconds(250);
  /// Even a target that takes none gets a request now and then: only its answer
  /// tells that it takes more.
  static constexpr double MinPerSecond = 0.25;

  std::optional<base::Duration> Interval;
  /// When all requests sent so far fit the rate without a burst.
  base::MonoTime FullAt{};
};

/// The time that a request waits for the rates of the targets that could get
/// it.
class RateWait {
public:
  explicit RateWait(base::MonoTime now) : Now(now) {}

  void add(const RateLimiter &rate) {
    HasUnlimited = HasUnlimited || !rate.isLimited();
    First = std::min(First, rate.opensAt(Now));
    if (rate.isLimited())
      PerSecond += 1 / std::chrono::duration<double>(rate.interval()).count();
  }
  /// The wait behind \p ahead others; zero if a target has no limit.
  base::Duration behind(std::size_t ahead) const {
    if (HasUnlimited || PerSecond == 0)
      return base::Duration::zero();
    return First - Now +
           std::chrono::duration_cast<base::Duration>(
               std::chrono::duration<double>(static_cast<double>(ahead) /
                                             PerSecond));
  }

private:
  base::MonoTime Now;
  bool HasUnlimited = false;
  base::MonoTime First = base::MonoTime::max();
  double PerSecond = 0;
};

} // namespace magnoliamill::dispatch
