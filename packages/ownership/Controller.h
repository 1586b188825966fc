// The controller of a data-centre group. On the group's leader it decides which
// VM dispatches to which target, which target owns which slot, and whether a
// lease is granted.
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

/// The replica has become leader and its state machine has applied an entry of
/// the new term (ReplicaCore::hasLeaderLease was true).
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
/// A VM requested a lease. Passed only while ReplicaCore::hasLeaderLease is
/// true.
struct LeaseRequested {
  base::VmId Vm;
  std::uint64_t Incarnation = 0;
  bool Leaving = false;
  DispatchReport Report;
};
struct ControllerTick {
  /// Unix time in milliseconds. Used only for targets that leave by a date.
  std::int64_t WallMs = 0;
};

using ControllerEvent =
    std::variant<BecameLeader, LostLeadership, ViewChanged, SettingsChanged,
                 Announced, LeaseRequested, ControllerTick>;

struct ControllerActions {
  /// To be proposed to the data-centre group, in this order. The outcome need
  /// not be awaited: the controller acts on the view and repeats lost
  /// proposals.
  std::vector<Command> Propose;
  /// Answer to LeaseRequested: the granted duration, or empty if refused.
  std::optional<base::Duration> LeaseGranted;
  /// Why an announcement was refused (TargetNotAllowed, NotLeader,
  /// RateLimited).
  std::optional<base::Error> AnnouncementRefused;
  /// Slots that are moving to another home and have been released here. To be
  /// reported to the settings group; repeated until the settings change.
  std::vector<base::SlotId> HomesReleased;
};

struct ControllerConfig {
  base::DataCentreId DataCentre;
  /// Limit on the slots of one service that are being moved at a time by
  /// planned moves.
  std::uint32_t MaxPlannedMoves = 8;
  /// The same limit for slots of targets that must be emptied within seconds.
  std::uint32_t MaxLeavingMoves = 64;
  /// Limit on the targets whose dispatcher is being changed at a time by
  /// planned moves.
  std::uint32_t MaxPlannedDispatcherMoves = 4;
  /// A proposal without effect is repeated after this time.
  base::Duration ProposalRetry = std::chrono::milliseconds(300);
  /// A lost target that does not announce itself is removed after this time.
  base::Duration ForgetLostAfter = std::chrono::seconds(10);
  /// A target that does not check tokens can't be probed by grants; it counts
  /// as lost when it has not announced itself for this long.
  base::Duration UnprobedSilenceLimit = std::chrono::milliseconds(1500);
};

class Controller {
public:
  explicit Controller(ControllerConfig config);
  ~Controller();
  Controller(Controller &&) noexcept;
  Controller &operator=(Controller &&) noexcept;

  /// Processes one event and returns the actions that follow from it.
  ControllerActions step(const ControllerEvent &event, base::MonoTime now);
  /// The latest time for the next ControllerTick.
  base::MonoTime nextWake() const;

private:
  struct State;
  std::unique_ptr<State> Self;
};

} // namespace magnoliamill::ownership
