// Limits the permits for a target that warms up: counts grants in a sliding
// window. Answers the load of a rush of requests at a target that was just
// started. Performs no I/O.
#pragma once

#include "base/Time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace magnoliamill::admission {

/// What a deployment allows beyond the warm-up rate of a service.
struct WarmUpBound {
  double Overrun = 1;
  double Slack = 0;

  /// The permits that one core may grant in any second for a target of a
  /// service with this warm-up rate; 0 without a limit.
  std::uint32_t countPermits(double PerSecond) const {
    if (PerSecond <= 0)
      return 0;
    const double bound = PerSecond * Overrun + Slack;
    return static_cast<std::uint32_t>(
        std::clamp(bound / SharingCores, 1.0, MaxPermits));
  }

private:
  /// Two cores may issue permits for a target at the same time: after one was
  /// replaced, or while entries disagree about the list of cores.
  static constexpr double SharingCores = 2;
  /// No target gets as many; bounds the memory for the grants of one second.
  static constexpr double MaxPermits = 10'000;
};

class WarmUpLimit {
public:
  /// At most \p permits in any second until \p until; 0 for no limit.
  void set(std::uint32_t permits, base::MonoTime until) {
    Permits = permits;
    Until = until;
    trim();
  }

  bool isLimiting(base::MonoTime now) const {
    return Permits > 0 && now < Until;
  }
  /// When there is room for a request behind \p ahead others; \p now if there
  /// is at present.
  base::MonoTime opensAt(base::MonoTime now, std::size_t ahead = 0) const {
    if (!isLimiting(now))
      return now;
    // A request may follow the one that is Permits before it after a window.
    const auto windows = static_cast<std::int64_t>(ahead / Permits);
    const std::size_t index = Grants.size() + ahead % Permits;
    const auto first =
        index < Permits ? now : std::max(now, Grants[index - Permits] + Window);
    return std::min(first + windows * Window, Until);
  }
  bool isOpen(base::MonoTime now) const { return opensAt(now) <= now; }
  /// Counted also while the target is warm, since it may become cold at any
  /// moment.
  void onGranted(base::MonoTime now) {
    Grants.push_back(now);
    trim();
  }
  /// Whether all grants are so old that they limit nothing.
  bool isIdle(base::MonoTime now) const {
    return Grants.empty() || Grants.back() + Window <= now;
  }

private:
  static constexpr base::Duration Window = std::chrono::seconds(1);

  /// Only the newest grants decide when there is room.
  void trim() {
    while (Grants.size() > Permits)
      Grants.pop_front();
  }

  std::uint32_t Permits = 0;
  base::MonoTime Until{};
  /// The times of the newest grants, at most Permits.
  std::deque<base::MonoTime> Grants;
};

} // namespace magnoliamill::admission
