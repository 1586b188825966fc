// The load that a target reports with its answers.
#pragma once

#include <cstdint>

namespace magnoliamill::dispatch {

struct TargetLoad {
  /// Requests that run.
  std::uint32_t Running = 0;
  /// Requests in the target's own queue.
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 1;
  /// How long work takes on the target's machine at this moment, in percent of
  /// the usual time.
  std::uint32_t SlownessPercent = 100;
  bool operator==(const TargetLoad &) const = default;
};

} // namespace magnoliamill::dispatch
