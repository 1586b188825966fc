// Assigns the slots of one service to targets.
#pragma once

#include "ownership/internal/PlanContext.h"

#include <map>
#include <vector>

namespace magnoliamill::ownership::internal {

/// Balances the number of slots per target with as few moves as possible: a
/// slot moves only when its owner is lost or leaving, when its home moves, or
/// when the slot counts of two targets differ by more than one.
class SlotPlanner {
public:
  SlotPlanner(PlanContext &context, const settings::ServiceView &service);

  void plan();
  /// Slots that are moving to another home and are free here.
  const std::vector<base::SlotId> &homesReleased() const {
    return HomesReleased;
  }

private:
  /// The slots of a target that may be assigned more.
  struct Share {
    std::uint32_t Count = 0;
    /// Slots that may be taken from it.
    std::vector<SlotExpectation> Movable;
  };
  using Shares = std::map<base::TargetInstanceId, Share>;

  void findReceivers();
  /// Adds the slot to the list that its state requires.
  void classifySlot(base::SlotNumber n);
  void classifyLocalSlot(const SlotExpectation &id, const SlotView &slot,
                         std::uint64_t HomeEpoch);
  /// Handles a slot whose home is, or will be, another data centre.
  void planForeignSlot(const SlotExpectation &id, const SlotView &slot,
                       bool IsMovingAway);
  void classifyOwnedSlot(const SlotExpectation &id, const SlotView &slot);
  void assignFree();
  void releaseLeaving();
  void releaseByDate();
  void releaseForBalance();

  /// True when no target here can hold a grant of the slot.
  bool isFree(const SlotExpectation &id, const SlotView &slot) const;
  bool isReleased(const SlotExpectation &id, const TargetView &owner) const;
  const TargetView *findTarget(const base::TargetInstanceId &instance) const;
  Shares::iterator pickLeastLoaded(const base::TargetInstanceId &preferred);
  Shares::iterator pickMostLoaded();
  /// Starts a planned move and counts the slot to its likely next owner.
  void release(const SlotExpectation &id);

  PlanContext &Context;
  const settings::ServiceView &Service;
  Shares Receivers;
  std::vector<SlotAssignment> FreeSlots;
  std::vector<SlotExpectation> LeavingSlots;
  std::map<base::TargetInstanceId, std::vector<SlotExpectation>>
      SlotsLeavingByDate;
  std::vector<base::SlotId> HomesReleased;
  /// Number of slots in planned moves that are under way.
  std::uint32_t PendingMoves = 0;
};

} // namespace magnoliamill::ownership::internal
