// The decisions of a data-centre group's leader: who dispatches to which
// target, which target owns which slot, when a lease is granted.
#pragma once

#include "base/Ids.h"
#include "base/Result.h"
#include "base/Time.h"
#include "ownership/Announcement.h"
#include "ownership/Commands.h"
#include "ownership/DispatchReport.h"
#include "ownership/View.h"
#include "settings/View.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace magnoliamill::ownership {

// Events.

/// Given when the replica leads and its state machine has applied an entry of
/// its own term (ReplicaCore::hasLeaderLease held).
struct BecameLeader {
  std::uint64_t Term = 0;
};
struct LostLeadership {};
struct ViewChanged {
  ViewPtr Ownership;
};
struct SettingsChanged {
  settings::ViewPtr Settings;
};
struct Announced {
  Announcement Target;
};
/// A lease request. Passed only while ReplicaCore::hasLeaderLease holds.
struct LeaseRequested {
  base::VmId Vm;
  std::uint64_t Incarnation = 0;
  bool Leaving = false;
  DispatchReport Report;
};
struct ControllerTick {
  /// Milliseconds since 1970, for leaving by a date only.
  std::int64_t WallMs = 0;
};

using ControllerEvent =
    std::variant<BecameLeader, LostLeadership, ViewChanged, SettingsChanged,
                 Announced, LeaseRequested, ControllerTick>;

struct ControllerActions {
  /// To be proposed to the data-centre group, in this order. Nobody waits for
  /// the outcome: what counts is the view; lost proposals are repeated.
  std::vector<Command> Propose;
  /// Answer to LeaseRequested: the duration granted, or empty for a refusal.
  std::optional<base::Duration> LeaseGranted;
  /// Why an announcement was refused (TargetNotAllowed, NotLeader).
  std::optional<base::Error> AnnouncementRefused;
  /// Slots that move to another home and are released here; to be told to the
  /// settings group. Repeated until the settings change.
  std::vector<base::SlotId> HomesReleased;
};

struct ControllerConfig {
  base::DataCentreId DataCentre;
  /// Slots of one service that may be without a settled owner at a time because
  /// of planned moves.
  std::uint32_t MaxPlannedMoves = 8;
  /// The same for slots of targets that have to be empty within seconds.
  std::uint32_t MaxLeavingMoves = 64;
  /// Targets whose dispatcher may be changing at a time because of planned
  /// moves.
  std::uint32_t MaxPlannedDispatcherMoves = 4;
  /// A proposal that had no effect is repeated after this time.
  base::Duration ProposalRetry = std::chrono::milliseconds(300);
  /// A lost target that does not announce itself is forgotten after this time.
  base::Duration ForgetLostAfter = std::chrono::seconds(10);
  /// A target that can't be probed by grants counts as lost when it has not
  /// announced itself for this long.
  base::Duration UnprobedSilenceLimit = std::chrono::milliseconds(1500);
};

class Controller {
public:
  explicit Controller(ControllerConfig config);
  ~Controller();
  Controller(Controller &&) noexcept;
  Controller &operator=(Controller &&) noexcept;

  ControllerActions step(const ControllerEvent &event, base::MonoTime now);
  /// When ControllerTick is wanted next at the latest.
  base::MonoTime nextWake() const;

private:
  struct State;
  std::unique_ptr<State> Self;
};

} // namespace magnoliamill::ownership
