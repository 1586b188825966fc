// Schedules requests to the targets of this VM: when and at which target each
// is started, refused or retried. No I/O: takes events and returns actions.
#pragma once

#include "base/Ids.h"
#include "base/Result.h"
#include "base/Time.h"
#include "dispatch/ClientAccountWaitEstimator.h"
#include "dispatch/ConcurrencyLimit.h"
#include "dispatch/FairQueue.h"
#include "dispatch/RateLimiter.h"
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

/// The outcome of one attempt at a target.
struct AttemptOutcome {
  /// False only if the request certainly did not run.
  bool MayHaveRun = false;
  bool Answered = false;
  /// The target refused the request because of its load.
  bool Shed = false;
  /// Part of the answer was already sent to the caller, so a retry is not
  /// possible.
  bool AnswerStarted = false;
  /// False if targets have ended under the request.
  bool MayRetry = true;
  base::ResultCode Code = base::ResultCode::Ok;
  std::uint32_t RetryAfterMs = 0;
  /// Requests per second that the target takes, if its answer or refusal names
  /// a limit.
  std::optional<double> RateLimit;
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

/// No request of the slot is running under this token any more.
struct DrainedSlot {
  base::SlotId Slot;
  base::Token Token;
};

/// No request is running at the target under this dispatch token any more.
struct DrainedTarget {
  base::TargetInstanceId Instance;
  base::Token DispatchToken;
};

struct DispatchActions {
  std::vector<StartAttempt> Start;
  /// Requests that finally failed. An answered request has no entry here.
  std::vector<EndRequest> End;
  /// Attempts to abort, because the caller disconnected or the deadline passed.
  std::vector<base::RequestId> Abort;
  /// Completions of drainSlot and drainTarget: nothing is in flight any more.
  std::vector<DrainedSlot> DrainedSlots;
  std::vector<DrainedTarget> DrainedTargets;
  /// Targets with several failed requests in a row: a hint for the holder of
  /// the target's grant.
  std::vector<base::TargetInstanceId> SuspectTargets;
};

struct DispatcherConfig {
  base::VmId Self;
  /// Whether the lease and the grant allow a request to be written to the
  /// target now. Other requests stay queued. If empty, always allowed.
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
  /// The caller disconnected.
  DispatchActions cancel(const base::RequestId &id, base::MonoTime now);
  /// Stops starting requests of the slot under \p token. Reported in
  /// DrainedSlots at once or when the last attempt has ended.
  DispatchActions drainSlot(const base::SlotId &slot, base::Token token);
  /// The same for all requests to a target; reported in DrainedTargets.
  DispatchActions drainTarget(const base::TargetInstanceId &instance,
                              base::Token token);
  DispatchActions tick(base::MonoTime now);
  base::MonoTime nextWake(base::MonoTime now) const;

  /// Requests of \p slot that are running at a target of this VM.
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
    // No request is started before this time, because the target shed load.
    base::MonoTime PausedUntil{};
    RateLimiter Rate;
  };
  /// The queue of requests for the same set of targets: a single target of a
  /// keyed service, or all targets of a service without keys.
  struct Pool {
    explicit Pool(FairQueueConfig config) : Queue(std::move(config)) {}
    base::ServiceId Service;
    FairQueue Queue;
    std::vector<base::TargetInstanceId> Members;
    // One entry per client account that had a request started here; deleted
    // with the pool.
    std::map<base::ClientAccountId, ClientAccountWaitEstimator> WaitEstimators;
  };
  struct Attempt {
    RequestInfo Info;
    base::TargetInstanceId Target;
    std::string PoolName;
    // Started so late that the target may refuse it for lack of time only.
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
  base::Duration estimateWait(const Pool &pool, const RequestInfo &info,
                              base::MonoTime now) const;
  /// Whether the deadline is before the time at which the target usually
  /// answers.
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
  // The slots and targets being drained and their tokens. A newer token in the
  // ownership view ends the draining.
  std::map<base::SlotId, base::Token> DrainingSlots;
  std::map<base::TargetInstanceId, base::Token> DrainingTargets;
  // The last token that was reported in DrainedSlots or DrainedTargets.
  std::map<base::SlotId, base::Token> ReportedSlots;
  std::map<base::TargetInstanceId, base::Token> ReportedTargets;
};

} // namespace magnoliamill::dispatch
