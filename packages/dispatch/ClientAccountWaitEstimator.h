// Estimates how long a new request of a client account would wait, from the
// rate at which its queued requests are started. Under load that rate is its
// share of the capacity.
#pragma once

#include "base/Time.h"

#include <cstdint>

namespace magnoliamill::dispatch {

class ClientAccountWaitEstimator {
public:
  /// A request was started; \p waiting requests of the same client account are
  /// still queued.
  void onStart(std::size_t waiting, base::MonoTime now) {
    // An interval without queued requests says nothing about the share.
    if (WasWaiting)
      addSample(static_cast<double>((now - LastStart).count()));
    LastStart = now;
    WasWaiting = waiting > 0;
  }

  /// Time until a new request behind \p waiting others starts; zero while there
  /// are no samples.
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
