// The targets as one entry sees them: requests in flight, speed, health.
// Chooses the target of a request of a service without keys. Without I/O.
#pragma once

#include "base/Time.h"
#include "dispatch/TargetHealth.h"
#include "fleet/View.h"
#include "gateway/TargetClient.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliamill::entry {

/// Whether a target takes requests at present. Answers the load of a target
/// whose queue is full: what would be turned away, or reset with its
/// connection, is refused here, where it surely has not run.
class BusyBackoff {
public:
  bool isOpen(base::MonoTime now) const { return now >= Until; }
  base::MonoTime until() const { return Until; }

  /// The target refused a request for load, or reset a connection at once.
  void onBusy(base::MonoTime now) {
    if (!isOpen(now))
      return;
    Until = now + std::min(InitialBackoff * (1 << Doublings), MaxBackoff);
    Doublings = std::min(Doublings + 1, MaxDoublings);
  }
  void onAnswer() { Doublings = 0; }

private:
  /// A target works off two or three requests of its queue in this time.
  static constexpr base::Duration InitialBackoff =
      std::chrono::milliseconds(50);
  /// A target that has worked off its queue must not stay empty for long.
  static constexpr base::Duration MaxBackoff = std::chrono::milliseconds(400);
  static constexpr int MaxDoublings = 3;

  base::MonoTime Until;
  int Doublings = 0;
};

/// Requests of one entry at one target. Answers the load of many entries over
/// few places: a target has room for about 15 requests, and resets connections
/// beyond its limit, after which nobody knows whether a request ran.
constexpr std::uint32_t MaxInFlight = 5;

struct PooledTarget {
  fleet::Target Description;
  gateway::TargetAddress Address;
  dispatch::TargetHealth Health;
  /// Requests of this entry at the target.
  std::uint32_t InFlight = 0;
  BusyBackoff Busy;

  bool hasRoom(base::MonoTime now) const {
    return InFlight < MaxInFlight && Busy.isOpen(now);
  }
};

class TargetPool {
public:
  /// \p centre is that of the entry.
  TargetPool(std::string centre, std::uint64_t seed)
      : DataCentre(std::move(centre)), Random(seed) {}

  /// Takes the targets of the view; those that stay keep what was learned.
  void updateAll(const fleet::View &view);
  /// Takes those of \p instances as the view has them.
  void update(const fleet::View &view,
              const std::vector<keyspace::TargetInstance> &instances);

  PooledTarget *find(const keyspace::TargetInstance &instance);

  /// The ready target of \p service with the least expected time, not one of
  /// \p tried; null when there is none. A target in another data centre has to
  /// be faster by CrossDataCentreFactor.
  PooledTarget *choose(std::string_view service,
                       const std::vector<keyspace::TargetInstance> &tried,
                       base::MonoTime now);

private:
  void put(const fleet::Target &target);
  void remove(const keyspace::TargetInstance &instance);
  double expectedLatencyUs(const PooledTarget &target) const;

  std::string DataCentre;
  std::mt19937_64 Random;
  std::map<keyspace::TargetInstance, PooledTarget> Targets;
  std::map<std::string, std::vector<PooledTarget *>, std::less<>> ByService;
};

} // namespace magnoliamill::entry
