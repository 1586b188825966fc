// Rates the health of one target, mainly by the dispatcher's own requests to
// it.
#pragma once

#include "base/Time.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace magnoliamill::dispatch {

/// Ejects a target for an increasing time after consecutive failures. Probes
/// are only a hint: a failed probe counts only if no request succeeded
/// recently, and a successful probe alone never brings a target back.
class TargetHealth {
public:
  void onSuccess(base::Duration latency, base::MonoTime now) {
    FailuresInRow = 0;
    EjectedUntil.reset();
    LastSuccess = now;
    double us = static_cast<double>(latency.count());
    MeanLatencyUs = MeanLatencyUs == 0 ? us
                                       : MeanLatencyUs + (us - MeanLatencyUs) *
                                                             SmoothingFactor;
  }

  void onFailure(base::MonoTime now) {
    ++FailuresInRow;
    if (FailuresInRow < FailuresToEject)
      return;
    auto doublings = std::min(FailuresInRow - FailuresToEject, MaxDoublings);
    EjectedUntil = now + InitialEjection * (1 << doublings);
  }

  void onProbe(bool healthy, base::MonoTime now) {
    if (healthy || now - LastSuccess < ProbeIgnoredAfterSuccess)
      return;
    onFailure(now);
  }

  bool isEjected(base::MonoTime now) const {
    return EjectedUntil && now < *EjectedUntil;
  }
  std::optional<base::MonoTime> ejectedUntil() const { return EjectedUntil; }
  /// Exponentially weighted mean latency; zero before the first answer.
  base::Duration meanLatency() const {
    return base::Duration(static_cast<std::int64_t>(MeanLatencyUs));
  }

private:
  static constexpr double SmoothingFactor = 0.1;
  static constexpr std::uint32_t FailuresToEject = 3;
  static constexpr std::uint32_t MaxDoublings = 4;
  static constexpr base::Duration InitialEjection =
      std::chrono::milliseconds(200);
  static constexpr base::Duration ProbeIgnoredAfterSuccess =
      std::chrono::seconds(5);

  std::uint32_t FailuresInRow = 0;
  std::optional<base::MonoTime> EjectedUntil;
  base::MonoTime LastSuccess{};
  double MeanLatencyUs = 0;
};

} // namespace magnoliamill::dispatch
