// A VM's role as dispatcher: it holds the VM's lease, renews the grants of its
// targets, and checks before each write whether it is permitted.
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
/// The reply to SendLeaseRequest; SentAtUs is copied from the request.
struct LeaseReplied {
  std::int64_t SentAtUs = 0;
  base::Duration Duration{};
  bool Granted = false;
};
/// A SendGrant ended. Body is the target's JSON, or an error if it did not
/// answer within GrantTimeout. A later reply is dropped.
struct GrantReplied {
  base::TargetInstanceId Instance;
  std::uint64_t GrantId = 0;
  base::Result<std::string> Body;
};
/// Answer to DrainSlot: no request for the slot is in flight to the target.
struct SlotDrained {
  base::SlotId Slot;
  base::Token Token;
};
/// Answer to DrainTarget: no request is in flight to the target.
struct TargetDrained {
  base::TargetInstanceId Instance;
  base::Token DispatchToken;
};
/// A request to the target failed. The agent probes the target at once.
struct TargetFailed {
  base::TargetInstanceId Instance;
};
/// A request to the target was answered.
struct TargetAnswered {
  base::TargetInstanceId Instance;
};
/// The VM is shutting down: all its targets are drained and released.
struct Stopping {};

using AgentEvent = std::variant<AgentTick, ViewChanged, LeaseReplied,
                                GrantReplied, SlotDrained, TargetDrained,
                                TargetFailed, TargetAnswered, Stopping>;

// Actions.

/// Sent as a protocol::LeaseRequest to the data-centre group's leader.
struct SendLeaseRequest {
  std::int64_t SentAtUs = 0;
  bool Leaving = false;
  std::string Report;
};
/// PUT /.mill/grants with Body to the target, with GrantTimeout. Written at
/// most once: a repeated grant could arrive after a later one that revoked it.
struct SendGrant {
  base::TargetInstanceId Instance;
  std::uint64_t GrantId = 0;
  std::string Host;
  std::uint16_t Port = 0;
  std::string Body;
};
/// No more requests for the slot may be started; they wait in their queue.
/// Answered by SlotDrained once none is in flight.
struct DrainSlot {
  base::SlotId Slot;
  base::TargetInstanceId Instance;
  base::Token Token;
};
/// The same for all requests to a target. Answered by TargetDrained.
struct DrainTarget {
  base::TargetInstanceId Instance;
  base::Token DispatchToken;
};
/// The target does not answer and its grants have expired: requests in flight
/// to it end with an unknown outcome.
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
  /// Identifies one run of the process; greater for each later run.
  std::uint64_t Incarnation = 0;
};

class DispatchAgent {
public:
  DispatchAgent(AgentConfig config, base::MonoTime now);
  ~DispatchAgent();
  DispatchAgent(DispatchAgent &&) noexcept;
  DispatchAgent &operator=(DispatchAgent &&) noexcept;

  /// Processes one event and returns the actions that follow from it.
  AgentActions step(const AgentEvent &event, base::MonoTime now);
  /// The latest time for the next AgentTick.
  base::MonoTime nextWake() const;

  /// True when a request may be written to the target now: the lease is valid,
  /// this VM is the target's dispatcher, the target owns \p slot, and it has
  /// acknowledged a grant of the slot that is still valid. Must be called
  /// immediately before each write. \p slot is empty for services without keys.
  bool mayWrite(const base::TargetInstanceId &instance,
                const std::optional<base::SlotId> &slot,
                base::MonoTime now) const;
  bool hasLease(base::MonoTime now) const;
  /// True after Stopping once the view assigns no target to this VM any more.
  bool hasReleasedAllTargets() const;

private:
  struct State;
  std::unique_ptr<State> Self;
};

} // namespace magnoliamill::ownership
