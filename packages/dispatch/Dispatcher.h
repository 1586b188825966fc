// Decides for the targets of this VM which request is started when and where,
// which are refused and which are tried again. No I/O: events in, actions out.
#pragma once

#include "base/Ids.h"
#include "base/Result.h"
#include "base/Time.h"
#include "dispatch/ClientAccountWaitEstimator.h"
#include "dispatch/ConcurrencyLimit.h"
#include "dispatch/FairQueue.h"
#include "dispatch/RequestInfo.h"
#include "dispatch/RetryBudget.h"
#include "dispatch/TargetHealth.h"
#include "ownership/View.h"
#include "protocol/Messages.h"
#include "settings/View.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace magnoliamill::dispatch {

/// How one attempt at a target ended.
struct AttemptOutcome {
  /// False only when it surely did not run.
  bool MayHaveRun = false;
  bool Answered = false;
  /// The target refused for load.
  bool Shed = false;
  /// Some of the answer went to the caller already: no further attempt.
  bool AnswerStarted = false;
  base::ResultCode Code = base::ResultCode::Ok;
  std::uint32_t RetryAfterMs = 0;
  base::Duration Latency{};
};

struct StartAttempt {
  base::RequestId Request;
  base::TargetInstanceId Target;
};

struct EndRequest {
  base::RequestId Request;
  protocol::RequestFailure Failure;
};

/// Nothing of the slot runs any more under this token.
struct DrainedSlot {
  base::SlotId Slot;
  base::Token Token;
};

/// Nothing runs any more at the target under this dispatch token.
struct DrainedTarget {
  base::TargetInstanceId Instance;
  base::Token DispatchToken;
};

struct DispatchActions {
  std::vector<StartAttempt> Start;
  /// Final refusals and losses. A request that was answered ends without one.
  std::vector<EndRequest> End;
  /// Attempts to break off: the caller went away or the deadline passed.
  std::vector<base::RequestId> Abort;
  /// Answers to drainSlot and drainTarget: nothing is in flight any more.
  std::vector<DrainedSlot> DrainedSlots;
  std::vector<DrainedTarget> DrainedTargets;
  /// Targets whose requests fail in a row: a hint for the grant's keeper.
  std::vector<base::TargetInstanceId> SuspectTargets;
};

struct DispatcherConfig {
  base::VmId Self;
  /// Whether a request may be written to the target now (lease and grant).
  /// Those that may not wait in their queue. Empty: always.
  std::function<bool(const base::TargetInstanceId &,
                     const std::optional<base::SlotId> &, base::MonoTime)>
      MayStart;
};

class Dispatcher {
public:
  explicit Dispatcher(DispatcherConfig config);

  DispatchActions setSettings(settings::ViewPtr view, base::MonoTime now);
  DispatchActions setOwnership(ownership::ViewPtr view, base::MonoTime now);
  DispatchActions submit(RequestInfo info, base::MonoTime now);
  DispatchActions finish(const base::RequestId &id,
                         const AttemptOutcome &outcome, base::MonoTime now);
  /// The caller went away.
  DispatchActions cancel(const base::RequestId &id, base::MonoTime now);
  /// Starts nothing of the slot under \p token any more; answered in
  /// DrainedSlots at once or when the last attempt has ended.
  DispatchActions drainSlot(const base::SlotId &slot, base::Token token);
  DispatchActions drainTarget(const base::TargetInstanceId &instance,
                              base::Token token);
  DispatchActions tick(base::MonoTime now);
  base::MonoTime nextWake(base::MonoTime now) const;

  /// Requests of \p slot that a target of this VM is running.
  std::uint32_t countInFlight(const base::SlotId &slot) const;
  std::uint32_t countInFlight(const base::TargetInstanceId &target) const;
  std::size_t countQueued() const;
  bool isIdle() const { return Running.empty() && countQueued() == 0; }

private:
  struct Target {
    ownership::TargetView View;
    ConcurrencyLimit Limit{1};
    TargetHealth Health;
    std::uint32_t InFlight = 0;
    // No start before this: the target asked for a pause.
    base::MonoTime PausedUntil{};
  };
  /// Requests that wait for the same targets: a keyed target's own, or all
  /// targets of a service without keys.
  struct Pool {
    explicit Pool(FairQueueConfig config) : Queue(std::move(config)) {}
    base::ServiceId Service;
    FairQueue Queue;
    std::vector<base::TargetInstanceId> Members;
    // Bounded by the client accounts that ever waited here; gone with the pool.
    std::map<base::ClientAccountId, ClientAccountWaitEstimator> WaitEstimators;
  };
  struct Attempt {
    RequestInfo Info;
    base::TargetInstanceId Target;
    std::string PoolName;
    // The target may have refused it only because too little time was left.
    bool StartedLate = false;
    std::uint32_t Tries = 1;
    bool Abandoned = false;
  };

  const settings::ServiceView *findService(const base::ServiceId &id) const;
  const ownership::SlotView *findSlot(const RequestInfo &info) const;
  /// The name of the pool that serves \p info now, empty when none does.
  std::string poolNameOf(const RequestInfo &info) const;
  static std::string poolNameOf(const ownership::TargetView &target,
                                bool keyed);
  Pool &findOrCreatePool(const std::string &name,
                         const base::ServiceId &service);
  base::Duration estimateWait(const Pool &pool, const RequestInfo &info) const;
  /// Whether the deadline comes before the target's usual answer.
  static bool wouldMissDeadline(const RequestInfo &info, const Target &target,
                                base::MonoTime now);
  bool isStartable(const RequestInfo &info, const Target &target,
                   base::MonoTime now) const;
  bool isAvailable(const Target &target, base::MonoTime now) const;
  Target *chooseTarget(const Pool &pool, base::MonoTime now);
  bool mayRetry(const Attempt &attempt, const AttemptOutcome &outcome,
                base::MonoTime now);
  void refuse(const RequestInfo &info, base::ResultCode code,
              std::string message, base::Duration delay,
              DispatchActions &actions) const;
  void startWaiting(base::MonoTime now, DispatchActions &actions);
  /// Mean latency of the slowest target of \p pool.
  base::Duration meanLatency(const Pool &pool) const;
  void expire(base::MonoTime now, DispatchActions &actions);
  void rejectMoved(DispatchActions &actions);
  void reportDrained(DispatchActions &actions);

  DispatcherConfig Config;
  settings::ViewPtr Settings;
  ownership::ViewPtr Ownership;
  std::map<base::TargetInstanceId, Target> Targets;
  std::map<std::string, Pool> Pools;
  // Invariant: one entry per attempt at a target that has not finished.
  std::unordered_map<base::RequestId, Attempt> Running;
  std::unordered_map<base::RequestId, std::uint32_t> TriesSoFar;
  std::map<base::ServiceId, RetryBudget> Budgets;
  std::map<base::SlotId, std::uint32_t> InFlightOfSlot;
  // What is being drained, and under which token; a newer token ends it.
  std::map<base::SlotId, base::Token> DrainingSlots;
  std::map<base::TargetInstanceId, base::Token> DrainingTargets;
  // The token under which DrainedSlots or DrainedTargets was last given.
  std::map<base::SlotId, base::Token> ReportedSlots;
  std::map<base::TargetInstanceId, base::Token> ReportedTargets;
};

} // namespace magnoliamill::dispatch
