// Issues permits to send a request to a target: counts its slots and keeps the
// rate that it named for all entries, queues by urgency, and refuses at once
// what would be answered too late. Answers the load of more requests than slots
// or than the rate. Performs no I/O.
#pragma once

#include "admission/WarmUpLimit.h"
#include "base/Time.h"
#include "dispatch/FairQueue.h"
#include "dispatch/LoadEstimate.h"
#include "dispatch/RateLimiter.h"
#include "dispatch/TargetHealth.h"
#include "keyspace/Types.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace magnoliamill::admission {

/// Identifies a request for a permit and the permit itself.
struct PermitId {
  /// The link on which the entry asked.
  std::uint64_t Requester = 0;
  std::uint64_t Number = 0;
  auto operator<=>(const PermitId &) const = default;
};

struct PermitRequest {
  std::string Service;
  /// The holder of the request's key. Not set for services without keys: then
  /// any target of the service in DataCentre.
  std::optional<keyspace::TargetInstance> Holder;
  std::string DataCentre;
  bool IsUrgent = false;
  /// Priority of the route; 0 is the highest.
  std::uint32_t Priority = 0;
  /// If false, the request is refused rather than queued.
  bool MayWait = true;
  /// Time until the answer is late.
  base::Duration LatencyObjective{};
  /// Time until the answer is of no use.
  base::Duration Timeout{};
  /// Hash of what the request contains; 0 if the entry does not send it.
  std::uint64_t Content = 0;
};

enum class PermitDecision : std::uint8_t {
  Granted,
  /// A second answer follows.
  Queued,
  Refused,
  /// This place does not know the target, or the service has none here.
  Unknown,
};

struct PermitAnswer {
  PermitId Id;
  PermitDecision Decision = PermitDecision::Unknown;
  /// Set when granted.
  keyspace::TargetInstance Target;
  /// When refused: time until there is room again.
  base::Duration RetryAfter{};
  /// When granted: the target warms up and has a limit. When refused: that
  /// limit is the reason.
  bool IsWarmUp = false;
  /// When granted: age of the load report by which the target was chosen, if
  /// there was one.
  std::optional<base::Duration> ReportAge{};
};

enum class PermitUse : std::uint8_t {
  /// The target answered the request.
  Answered,
  /// The target failed, or refused the request.
  Failed,
  /// The request was not sent, or the caller left.
  Abandoned,
};

/// What the issuer needs to know of a target.
struct PermitTarget {
  keyspace::TargetInstance Instance;
  std::string Service;
  std::string DataCentre;
  std::uint32_t Slots = 1;
  /// Permits in any second until WarmUntil; 0 for no limit.
  std::uint32_t WarmUpPermits = 0;
  base::MonoTime WarmUntil{};
};

class PermitIssuer {
public:
  using Answers = std::vector<PermitAnswer>;

  /// \p seed spreads the times at which refused callers return.
  explicit PermitIssuer(std::uint64_t seed) : Random(seed) {}

  /// Adds or updates a target that takes new requests. Returns the answers to
  /// requests that waited for a target of its former data centre, if it was the
  /// last one there.
  Answers put(const PermitTarget &target);
  /// The target takes no more requests. Those that wait for it are answered
  /// with Unknown.
  Answers remove(const keyspace::TargetInstance &instance);
  /// Removes all targets that are not in \p kept, which is sorted.
  Answers removeAllExcept(std::span<const keyspace::TargetInstance> kept);

  /// The target answered under permit \p id: it takes \p limit requests a
  /// second from all entries, or any number. Must be called before release().
  /// Returns the target if that is new.
  std::optional<keyspace::TargetInstance> limitRate(const PermitId &id,
                                                    std::optional<double> limit,
                                                    base::MonoTime now);
  /// The target reported \p load with its answer under permit \p id. Must be
  /// called before release(). Returns the target if it has more requests of
  /// other senders than slots, at most once in CrowdedInterval.
  std::optional<keyspace::TargetInstance>
  reportLoad(const PermitId &id, const dispatch::TargetLoad &load,
             base::MonoTime now);
  Answers request(const PermitId &id, const PermitRequest &request,
                  base::MonoTime now);
  /// Ends a permit or the wait for one. \p latency is the time the target took
  /// to answer.
  Answers release(const PermitId &id, PermitUse use, base::Duration latency,
                  base::MonoTime now);
  /// The target of a permit that is not ended; not set without one.
  std::optional<keyspace::TargetInstance> targetOf(const PermitId &id) const;
  /// Ends all permits and waits of a requester whose link was lost.
  Answers releaseAll(std::uint64_t requester, base::MonoTime now);
  /// Grants permits that the targets' limits allow by now, refuses requests
  /// whose time has run out while they waited, and ends permits that were not
  /// released in time.
  Answers tick(base::MonoTime now);

  /// The median of the mean times that the service's targets take to answer;
  /// zero if none has answered.
  base::Duration typicalServiceTime(const std::string &service) const;
  /// Interval in which reportLoad() returns the same target once, which bounds
  /// the log lines of a crowded target.
  static constexpr base::Duration CrowdedInterval = std::chrono::seconds(10);

  std::size_t countGranted() const { return Granted.size(); }
  std::size_t countWaiting() const { return Waiting.size(); }

private:
  struct Target {
    PermitTarget Description;
    dispatch::TargetHealth Health;
    dispatch::RateLimiter Rate;
    WarmUpLimit WarmUp;
    dispatch::LoadEstimate Load;
    std::uint32_t InUse = 0;
    /// When reportLoad() returned the target last.
    std::optional<base::MonoTime> CrowdedAt;
  };
  /// Targets that serve the same requests: the holder of keys, or all targets
  /// of a service in a data centre.
  struct Pool {
    explicit Pool(bool keyed) : IsKeyed(keyed), Queue(makeQueueConfig()) {}
    bool IsKeyed;
    dispatch::FairQueue Queue;
    std::vector<keyspace::TargetInstance> Members;
  };
  struct Permit {
    keyspace::TargetInstance Target;
    std::string PoolName;
    base::MonoTime Expiry;
  };
  /// What the targets of a pool that may be used have room for, by their
  /// reports.
  struct Capacity {
    /// Requests that they complete at their usual speeds.
    double PerMicrosecond = 0;
    /// Requests that wait at the targets.
    double Excess = 0;
    /// Their speed relative to the usual one.
    double Speed = 1;
    /// Mean time of a request at the usual speed.
    base::Duration MeanTime{};

    /// Time until \p count requests have ended.
    base::Duration timeFor(double count) const;
  };
  struct Waiter {
    std::string PoolName;
    PermitId Id;
    base::MonoTime Deadline;
  };

  static dispatch::FairQueueConfig makeQueueConfig();
  static std::string poolNameOf(const keyspace::TargetInstance &instance);
  static std::string poolNameOf(const std::string &service,
                                const std::string &centre);
  /// The pool that serves \p request; null if there is none.
  Pool *findPool(const PermitRequest &request, std::string &name);
  Target *chooseTarget(const Pool &pool, base::MonoTime now);
  static std::uint32_t limitOf(const Pool &pool, const Target &target);
  /// Whether a permit for \p target may be granted now.
  static bool hasRoom(const Pool &pool, const Target &target,
                      base::MonoTime now);
  base::Duration expectedAnswer(const Target &target, base::MonoTime now) const;
  /// Not set if no target of the pool reports its load.
  std::optional<Capacity> findCapacity(const Pool &pool,
                                       base::MonoTime now) const;
  base::Duration meanServiceTime(const Target &target) const;
  base::Duration meanServiceTime(const Pool &pool) const;
  /// Time until a request that is queued now would start.
  base::Duration estimateWait(const Pool &pool, bool IsUrgent,
                              base::MonoTime now) const;
  static std::size_t countAhead(const Pool &pool, bool IsUrgent);
  /// The wait behind \p ahead others for room at targets that all warm up;
  /// zero if one of them has no limit at present.
  base::Duration findWarmUpWait(const Pool &pool, std::size_t ahead,
                                base::MonoTime now) const;
  /// Time from the start of a request to its answer, if it starts after
  /// \p wait.
  base::Duration estimateWork(const Pool &pool, base::Duration wait,
                              base::MonoTime now) const;
  /// When the holder of keys may be used again, if its requests have failed and
  /// one is on its way already; requests without keys go to other targets.
  std::optional<base::MonoTime> findEjectionEnd(const Pool &pool,
                                                base::MonoTime now) const;
  void grant(const std::string &name, const PermitId &id, Target &target,
             base::MonoTime deadline, base::MonoTime now, Answers &answers);
  void refuse(const PermitId &id, base::Duration wait, Answers &answers,
              bool IsWarmUp = false);
  /// Grants permits to waiting requests while the pool has room.
  void serve(const std::string &name, base::MonoTime now, Answers &answers);
  void removeFrom(const std::string &name,
                  const keyspace::TargetInstance &instance, Answers &answers);

  std::map<keyspace::TargetInstance, Target> Targets;
  /// The grants of targets that were removed, for as long as they count: the
  /// view may list a target again soon.
  std::map<keyspace::TargetInstance, WarmUpLimit> RemovedLimits;
  std::map<std::string, Pool> Pools;
  std::map<PermitId, Permit> Granted;
  std::map<base::RequestId, Waiter> Waiting;
  std::map<std::string, dispatch::TargetHealth> Services;
  std::mt19937_64 Random;
};

} // namespace magnoliamill::admission
