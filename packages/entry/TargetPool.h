// The targets known to an entry, with their requests in flight, latency and
// health. Chooses the target for requests to services without keys. Performs no
// I/O.
#pragma once

#include "base/Time.h"
#include "dispatch/LoadEstimate.h"
#include "dispatch/TargetHealth.h"
#include "entry/EvacuatedCentres.h"
#include "entry/TargetNotices.h"
#include "entry/TargetReach.h"
#include "fleet/View.h"
#include "gateway/TargetClient.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliamill::entry {

/// Exponential backoff for a target whose queue is full. Requests that the
/// target would reject, or whose connection it would reset, are refused by the
/// entry instead, where it is certain that they have not run.
class BusyBackoff {
public:
  bool isOpen(base::MonoTime now) const { return now >= Until; }
  base::MonoTime until() const { return Until; }

  /// The target refused a request because of load, or reset a connection
  /// immediately.
  void onBusy(base::MonoTime now) {
    if (!isOpen(now))
      return;
    Until = now + std::min(InitialBackoff * (1 << Doublings), MaxBackoff);
    Doublings = std::min(Doublings + 1, MaxDoublings);
  }
  void onAnswer() { Doublings = 0; }

private:
  /// A target completes two or three queued requests in this time.
  static constexpr base::Duration InitialBackoff =
      std::chrono::milliseconds(50);
  /// Bounds how long a target stays idle after it has emptied its queue.
  static constexpr base::Duration MaxBackoff = std::chrono::milliseconds(400);
  static constexpr int MaxDoublings = 3;

  base::MonoTime Until;
  int Doublings = 0;
};

/// Maximum number of concurrent requests of one entry at one target. A target
/// has capacity for about 15 requests, which many entries share. It resets
/// connections beyond its limit, and then it is unknown whether a request ran.
constexpr std::uint32_t MaxInFlight = 5;

/// A target with what this entry has measured of it.
struct PooledTarget {
  fleet::Target Description;
  gateway::TargetAddress Address;
  dispatch::TargetHealth Health;
  /// Requests that this entry has sent to the target and that are unanswered.
  std::uint32_t InFlight = 0;
  BusyBackoff Busy;
  /// By the reports in the answers that this entry got.
  dispatch::LoadEstimate Load;

  bool hasRoom(base::MonoTime now) const {
    return InFlight < MaxInFlight && Busy.isOpen(now);
  }
};

inline TargetGroup groupOf(const PooledTarget &target) {
  return {target.Description.DataCentre, target.Description.Service};
}

class TargetPool {
public:
  /// \p centre is the entry's data centre. \p seed seeds the random choice. A
  /// target that leaves gets requests for \p drain.
  TargetPool(std::string centre, std::uint64_t seed, base::Duration drain)
      : DataCentre(std::move(centre)), Random(seed), Notices(drain, seed) {}

  /// Replaces the targets by those of the view. Targets that remain keep their
  /// measurements.
  void updateAll(const fleet::View &view);
  /// Updates or removes the targets of \p instances according to the view.
  void update(const fleet::View &view,
              const std::vector<keyspace::TargetInstance> &instances);

  PooledTarget *find(const keyspace::TargetInstance &instance);
  /// The target, if the view lists it as ready; null otherwise.
  PooledTarget *findReady(const keyspace::TargetInstance &instance);
  /// Whether the target may get a request with a permit at \p now, according to
  /// the view, to the notices and to evacuations. A permit alone does not
  /// suffice: the core that granted it may have an older view.
  bool mayGetRequests(const keyspace::TargetInstance &instance,
                      base::MonoTime now) const;

  /// Until when the target gets requests only with a permit, because it warms
  /// up and its service has a limit for that; \p now if it does not.
  base::MonoTime warmsUpUntil(const PooledTarget &target,
                              base::MonoTime now) const;
  bool isWarmingUp(const PooledTarget &target, base::MonoTime now) const {
    return warmsUpUntil(target, now) > now;
  }
  /// When one of the targets of \p service that are open, but for their
  /// warm-up, and not in \p tried ends it; \p now if one of them is not warming
  /// up or if there is none.
  base::MonoTime
  findWarmUpEnd(std::string_view service,
                const std::vector<keyspace::TargetInstance> &tried,
                base::MonoTime now) const;

  /// The target, if the view lists it as ready and its data centre is not
  /// evacuated or still serves keys; null otherwise.
  PooledTarget *findServing(const keyspace::TargetInstance &instance,
                            base::MonoTime now);

  EvacuatedCentres &evacuated() { return Evacuated; }
  const EvacuatedCentres &evacuated() const { return Evacuated; }

  /// An answer of the target to this entry reported its load.
  void onLoad(const keyspace::TargetInstance &instance,
              const dispatch::TargetLoad &load, base::MonoTime now);

  /// What targets told about themselves. Decides on each request, also on those
  /// for which choose() is not called.
  TargetNotices &notices() { return Notices; }
  const TargetNotices &notices() const { return Notices; }
  /// Which targets this VM can connect to.
  TargetReach &reach() { return Reach; }
  const TargetReach &reach() const { return Reach; }

  /// The time from which some ready target of \p service may get requests
  /// according to the notices; \p now if there is no ready target.
  base::MonoTime opensAt(std::string_view service, base::MonoTime now) const {
    return findOpening(service, now, &TargetNotices::opensAt);
  }
  /// The same for requests without a permit.
  base::MonoTime opensWithoutPermit(std::string_view service,
                                    base::MonoTime now) const {
    return findOpening(service, now, &TargetNotices::opensWithoutPermit);
  }

  /// The ready target of \p service with the lowest expected latency for a
  /// request without a permit, excluding those in \p tried, those that warm up
  /// with a limit and those that may get no requests; null if there is none. A
  /// target in another data centre must be faster by CrossDataCentreFactor.
  /// Targets that leave come after the others, and those that failed or refused
  /// requests recently come last.
  /// Where targets report their load, the best of a few that are drawn at
  /// random is chosen, because other entries choose by the same reports.
  PooledTarget *choose(std::string_view service,
                       const std::vector<keyspace::TargetInstance> &tried,
                       base::MonoTime now);

  bool isReachable(const PooledTarget &target, base::MonoTime now) const {
    return Reach.isReachable(target.Description.Instance, groupOf(target), now);
  }
  /// Whether this VM can connect to some ready target of \p service; true if
  /// there is no ready target.
  bool isReachable(std::string_view service, base::MonoTime now) const;
  /// A random target of \p group; null if it has none.
  PooledTarget *pickMember(const TargetGroup &group);

  /// The data centres that have ready targets of \p service which may get
  /// requests: the entry's own first, the others in a random order.
  std::vector<std::string> listDataCentres(std::string_view service,
                                           base::MonoTime now);

private:
  /// Order of preference of targets, the best first.
  enum class Rank : std::uint8_t { Normal, Leaving, Avoided };

  void put(const fleet::Target &target);
  void updateWarmUpLimits(const fleet::View &view);
  void remove(const keyspace::TargetInstance &instance);
  using Opening = base::MonoTime (TargetNotices::*)(
      const keyspace::TargetInstance &, base::MonoTime) const;
  base::MonoTime findOpening(std::string_view service, base::MonoTime now,
                             Opening opening) const;
  /// \p DefaultUs is assumed for a target that has not answered yet.
  double expectedLatencyUs(const PooledTarget &target, double DefaultUs,
                           base::MonoTime now) const;
  /// Chooses among \p candidates, of which some report their load.
  PooledTarget *chooseEvenly(const std::vector<PooledTarget *> &candidates,
                             base::MonoTime now);
  Rank rankOf(const PooledTarget &target, base::MonoTime now) const;
  bool mayGetRequests(const PooledTarget &target, base::MonoTime now) const;
  /// The same for requests of services without keys.
  bool mayChoose(const PooledTarget &target, base::MonoTime now) const {
    return mayGetRequests(target, now) &&
           !Evacuated.isEvacuated(target.Description.DataCentre);
  }

  std::string DataCentre;
  std::mt19937_64 Random;
  TargetNotices Notices;
  EvacuatedCentres Evacuated;
  TargetReach Reach;
  std::map<keyspace::TargetInstance, PooledTarget> Targets;
  std::map<std::string, std::vector<PooledTarget *>, std::less<>> ByService;
  /// The services whose targets have a limit while they warm up.
  std::set<std::string, std::less<>> WarmUpLimited;
};

} // namespace magnoliamill::entry
