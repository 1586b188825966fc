// How fast a client account's waiting requests are started, which under load is
// its share of the capacity. Tells how long a new one would wait.
#pragma once

#include "base/Time.h"

#include <cstdint>

namespace magnoliamill::dispatch {

class ClientAccountWaitEstimator {
public:
  /// A request was started; \p waiting of the same client account wait on.
  void onStart(std::size_t waiting, base::MonoTime now) {
    // A gap during which nobody waited says nothing about the share.
    if (WasWaiting)
      addSample(static_cast<double>((now - LastStart).count()));
    LastStart = now;
    WasWaiting = waiting > 0;
  }

  /// Time until a new request behind \p waiting others starts; zero when
  /// nothing is known.
  base::Duration estimateWait(std::size_t waiting) const {
    return base::Duration(
        static_cast<std::int64_t>(MeanGapUs * static_cast<double>(waiting)));
  }

private:
  static constexpr double SmoothingFactor = 0.05;

  void addSample(double gap) {
    MeanGapUs =
        MeanGapUs == 0 ? gap : MeanGapUs + (gap - MeanGapUs) * SmoothingFactor;
  }

  base::MonoTime LastStart{};
  bool WasWaiting = false;
  double MeanGapUs = 0;
};

} // namespace magnoliamill::dispatch
