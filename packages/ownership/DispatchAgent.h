// A VM's part as dispatcher: its lease, the grants of its targets, and the
// check before each write.
#pragma once

#include "base/Ids.h"
#include "base/Result.h"
#include "base/Time.h"
#include "base/Token.h"
#include "ownership/Controller.h"
#include "ownership/View.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace magnoliamill::ownership {

// Events. ViewChanged is shared with the controller.

struct AgentTick {};
/// A reply to SendLeaseRequest; SentAtUs is the value of the request.
struct LeaseReplied {
  std::int64_t SentAtUs = 0;
  base::Duration Duration{};
  bool Granted = false;
};
/// A SendGrant ended. Body is the target's JSON, or an error when it did not
/// answer within GrantTimeout. A reply that comes later is dropped.
struct GrantReplied {
  base::TargetInstanceId Instance;
  std::uint64_t GrantId = 0;
  base::Result<std::string> Body;
};
/// Answer to DrainSlot: nothing of the slot is in flight to the target.
struct SlotDrained {
  base::SlotId Slot;
  base::Token Token;
};
/// Answer to DrainTarget: nothing is in flight to the target.
struct TargetDrained {
  base::TargetInstanceId Instance;
  base::Token DispatchToken;
};
/// A request to the target failed: it is asked at once whether it lives.
struct TargetFailed {
  base::TargetInstanceId Instance;
};
/// A request to the target was answered.
struct TargetAnswered {
  base::TargetInstanceId Instance;
};
/// The VM is to stop: all its targets are drained and handed over.
struct Stopping {};

using AgentEvent = std::variant<AgentTick, ViewChanged, LeaseReplied,
                                GrantReplied, SlotDrained, TargetDrained,
                                TargetFailed, TargetAnswered, Stopping>;

// Actions.

/// Becomes a protocol::LeaseRequest to the data-centre group's leader.
struct SendLeaseRequest {
  std::int64_t SentAtUs = 0;
  bool Leaving = false;
  std::string Report;
};
/// PUT /.mill/grants with Body to the target, with GrantTimeout. Written at
/// most once: a repeated grant could outlive the revocation that followed it.
struct SendGrant {
  base::TargetInstanceId Instance;
  std::uint64_t GrantId = 0;
  std::string Host;
  std::uint16_t Port = 0;
  std::string Body;
};
/// Dispatch starts nothing for the slot any more and answers SlotDrained when
/// nothing of it is in flight. Requests wait in their queue.
struct DrainSlot {
  base::SlotId Slot;
  base::TargetInstanceId Instance;
  base::Token Token;
};
/// The same for all requests to a target; answered by TargetDrained.
struct DrainTarget {
  base::TargetInstanceId Instance;
  base::Token DispatchToken;
};
/// The target does not answer and its grants have run out: what is in flight to
/// it ends as outcome unknown.
struct AbandonTarget {
  base::TargetInstanceId Instance;
};

struct AgentActions {
  std::optional<SendLeaseRequest> Lease;
  std::vector<SendGrant> Grants;
  std::vector<DrainSlot> DrainSlots;
  std::vector<DrainTarget> DrainTargets;
  std::vector<AbandonTarget> Abandon;
};

struct AgentConfig {
  base::VmId Vm;
  /// Unique for each run of the process, rising.
  std::uint64_t Incarnation = 0;
};

class DispatchAgent {
public:
  DispatchAgent(AgentConfig config, base::MonoTime now);
  ~DispatchAgent();
  DispatchAgent(DispatchAgent &&) noexcept;
  DispatchAgent &operator=(DispatchAgent &&) noexcept;

  AgentActions step(const AgentEvent &event, base::MonoTime now);
  /// When AgentTick is wanted next at the latest.
  base::MonoTime nextWake() const;

  /// True when a request may be written to the target now: the lease holds,
  /// this VM dispatches the target, the target owns \p slot and its grant of it
  /// is acknowledged and still valid. Asked immediately before each write.
  /// \p slot is empty for services without keys.
  bool mayWrite(const base::TargetInstanceId &instance,
                const std::optional<base::SlotId> &slot,
                base::MonoTime now) const;
  bool hasLease(base::MonoTime now) const;
  /// After Stopping: true when all targets are handed over, as far as the view
  /// tells.
  bool hasReleasedAllTargets() const;

private:
  struct State;
  std::unique_ptr<State> Self;
};

} // namespace magnoliamill::ownership
