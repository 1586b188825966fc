// Decides for the targets of this VM which request is started when and where,
// which are refused and which are tried again. No I/O: events in, actions out.
#pragma once

#include "base/Ids.h"
#include "base/Result.h"
#include "base/Time.h"
#include "dispatch/ConcurrencyLimit.h"
#include "dispatch/FairQueue.h"
#include "dispatch/RequestInfo.h"
#include "dispatch/RetryBudget.h"
#include "dispatch/TargetHealth.h"
#include "ownership/View.h"
#include "protocol/Messages.h"
#include "settings/View.h"

#include <cstdint>
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

struct DispatchActions {
  std::vector<StartAttempt> Start;
  /// Final refusals and losses. A request that was answered ends without one.
  std::vector<EndRequest> End;
  /// Attempts to break off: the caller went away or the deadline passed.
  std::vector<base::RequestId> Abandon;
  /// Slots under release with nothing in flight any more.
  std::vector<base::SlotId> Drained;
  /// Targets whose requests fail in a row: a hint for the grant's keeper.
  std::vector<base::TargetInstanceId> Suspect;
};

class Dispatcher {
public:
  explicit Dispatcher(base::VmId self);

  DispatchActions setSettings(settings::ViewPtr view, base::MonoTime now);
  DispatchActions setOwnership(ownership::ViewPtr view, base::MonoTime now);
  DispatchActions submit(RequestInfo info, base::MonoTime now);
  DispatchActions finish(const base::RequestId &id,
                         const AttemptOutcome &outcome, base::MonoTime now);
  /// The caller went away.
  DispatchActions cancel(const base::RequestId &id, base::MonoTime now);
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
  };
  struct Attempt {
    RequestInfo Info;
    base::TargetInstanceId Target;
    std::string PoolName;
    std::uint32_t Tries = 1;
    bool Abandoned = false;
  };

  const settings::ServiceView *findService(const base::ServiceId &id) const;
  const ownership::SlotView *findSlot(const RequestInfo &info) const;
  /// The name of the pool that serves \p info now, empty when none does.
  std::string poolNameOf(const RequestInfo &info) const;
  static std::string poolNameOf(const ownership::TargetView &target,
                                bool keyed);
  Pool &poolNamed(const std::string &name, const base::ServiceId &service);
  base::Duration estimateWait(const Pool &pool, const RequestInfo &info) const;
  bool isStartable(const RequestInfo &info) const;
  Target *chooseTarget(const Pool &pool, base::MonoTime now);
  bool mayRetry(const Attempt &attempt, const AttemptOutcome &outcome,
                base::MonoTime now);
  void refuse(const RequestInfo &info, base::ResultCode code,
              std::string message, base::Duration retryAfter,
              DispatchActions &actions) const;
  void startWaiting(base::MonoTime now, DispatchActions &actions);
  void expire(base::MonoTime now, DispatchActions &actions);
  void bounceMoved(DispatchActions &actions);
  void reportDrained(DispatchActions &actions);

  base::VmId Self;
  settings::ViewPtr Settings;
  ownership::ViewPtr Ownership;
  std::map<base::TargetInstanceId, Target> Targets;
  std::map<std::string, Pool> Pools;
  // Invariant: one entry per attempt at a target that has not finished.
  std::unordered_map<base::RequestId, Attempt> Running;
  std::unordered_map<base::RequestId, std::uint32_t> TriesSoFar;
  std::map<base::ServiceId, RetryBudget> Budgets;
  std::map<base::SlotId, std::uint32_t> InFlightOfSlot;
  std::map<base::SlotId, base::Token> ReportedDrained;
};

} // namespace magnoliamill::dispatch
