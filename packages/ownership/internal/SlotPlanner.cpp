// Assigns the slots of one service to targets.
#include "ownership/internal/SlotPlanner.h"

#include "ownership/internal/OwnedSlots.h"
#include "ownership/internal/TargetPlanner.h"

#include <algorithm>
#include <tuple>

namespace magnoliamill::ownership::internal {

SlotPlanner::SlotPlanner(PlanContext &context,
                         const settings::ServiceView &service)
    : Context(context), Service(service) {}

void SlotPlanner::plan() {
  findReceivers();
  for (base::SlotNumber n = 0; n < Service.Slots; ++n)
    classifySlot(n);
  assignFree();
  // Count the slots of moves under way to the targets with the fewest slots,
  // which will receive them.
  for (std::uint32_t n = 0; n < PendingMoves && !Receivers.empty(); ++n)
    ++pickLeastLoaded({})->second.Count;
  releaseLeaving();
  releaseByDate();
  releaseForBalance();
}

void SlotPlanner::findReceivers() {
  for (const auto &[instance, target] : Context.Ownership.Targets) {
    const bool IsReceiver =
        target.Service == Service.Id && target.State == TargetState::Active &&
        Context.isReady(target) && !mustLeaveNow(Context, target) &&
        Context.ruleFor(target).LeaveByMs == 0;
    if (IsReceiver)
      Receivers[instance] = {};
  }
}

void SlotPlanner::classifySlot(base::SlotNumber n) {
  static const SlotView Unknown;
  const base::SlotId number{Service.Id, n};
  const auto *known = findSlot(Context.Ownership, number);
  const auto &slot = known == nullptr ? Unknown : *known;
  const SlotExpectation id{number, slot.Token};
  if (const auto owner = Context.Out.findAssigned(id)) {
    if (auto it = Receivers.find(*owner); it != Receivers.end())
      ++it->second.Count;
    return;
  }
  auto homes = Context.Settings.Homes.find(Service.Id);
  if (homes == Context.Settings.Homes.end() || n >= homes->second.size())
    return;
  const auto &home = homes->second[n];
  const bool IsHere = home.Home == Context.Config.DataCentre;
  if (IsHere && !home.MovingTo)
    classifyLocalSlot(id, slot, home.Epoch);
  else
    planForeignSlot(id, slot, IsHere);
}

void SlotPlanner::classifyLocalSlot(const SlotExpectation &id,
                                    const SlotView &slot,
                                    std::uint64_t HomeEpoch) {
  if (isFree(id, slot))
    FreeSlots.push_back({id.Slot, id.ExpectedToken, slot.Owner, HomeEpoch});
  else if (slot.Releasing || Context.Out.isReleasing(id))
    ++PendingMoves;
  else if (!slot.Owner.empty())
    classifyOwnedSlot(id, slot);
}

void SlotPlanner::classifyOwnedSlot(const SlotExpectation &id,
                                    const SlotView &slot) {
  if (auto it = Receivers.find(slot.Owner); it != Receivers.end()) {
    ++it->second.Count;
    it->second.Movable.push_back(id);
    return;
  }
  const auto *owner = findTarget(slot.Owner);
  if (owner == nullptr || owner->State == TargetState::Lost)
    return; // Its dispatcher releases the slot once the grants have expired.
  if (owner->State == TargetState::Leaving || mustLeaveNow(Context, *owner))
    LeavingSlots.push_back(id);
  else if (Context.ruleFor(*owner).LeaveByMs > 0)
    SlotsLeavingByDate[slot.Owner].push_back(id);
}

void SlotPlanner::planForeignSlot(const SlotExpectation &id,
                                  const SlotView &slot, bool IsMovingAway) {
  if (!slot.Owner.empty()) {
    if (isFree(id, slot))
      Context.Out.assign({id.Slot, id.ExpectedToken, {}, 0});
    else if (!slot.Releasing)
      Context.Out.release(id);
  } else if (IsMovingAway && isFree(id, slot)) {
    HomesReleased.push_back(id.Slot);
  }
}

bool SlotPlanner::isFree(const SlotExpectation &id,
                         const SlotView &slot) const {
  if (!slot.Owner.empty()) {
    const auto *owner = findTarget(slot.Owner);
    return owner != nullptr && isReleased(id, *owner) &&
           !Context.isIsolated(dispatcherOf(*owner));
  }
  if (slot.Token.Index != 0)
    return true;
  // A group that lost its state does not know which target was granted the
  // slot, so it waits until every earlier lease and grant has expired.
  return Context.Now > Context.Leases.termStart() +
                           maxLocalDuration(LeaseDuration) +
                           maxLocalDuration(GrantTtl);
}

bool SlotPlanner::isReleased(const SlotExpectation &id,
                             const TargetView &owner) const {
  const auto *report = Context.findDispatcherReport(owner);
  return report != nullptr && std::ranges::find(report->ReleasedSlots, id) !=
                                  report->ReleasedSlots.end();
}

const TargetView *
SlotPlanner::findTarget(const base::TargetInstanceId &instance) const {
  auto it = Context.Ownership.Targets.find(instance);
  return it == Context.Ownership.Targets.end() ? nullptr : &it->second;
}

SlotPlanner::Shares::iterator
SlotPlanner::pickLeastLoaded(const base::TargetInstanceId &preferred) {
  const auto *former = findTarget(preferred);
  auto rank = [&](const auto &entry) {
    const auto *target = findTarget(entry.first);
    // Among targets with equal counts, prefer the former owner, then the
    // restarted process of the former owner.
    const bool IsSame = entry.first == preferred;
    const bool IsRestart =
        former != nullptr && target != nullptr && former->Name == target->Name;
    return std::tuple(entry.second.Count, !IsSame, !IsRestart);
  };
  return std::ranges::min_element(Receivers, {}, rank);
}

SlotPlanner::Shares::iterator SlotPlanner::pickMostLoaded() {
  return std::ranges::max_element(Receivers, {}, [](const auto &entry) {
    return entry.second.Movable.empty() ? 0 : entry.second.Count;
  });
}

void SlotPlanner::assignFree() {
  if (Receivers.empty())
    return;
  for (auto &assignment : FreeSlots) {
    auto receiver = pickLeastLoaded(assignment.NewOwner);
    ++receiver->second.Count;
    assignment.NewOwner = receiver->first;
    Context.Out.assign(assignment);
  }
}

void SlotPlanner::release(const SlotExpectation &id) {
  ++PendingMoves;
  Context.Out.release(id);
  if (!Receivers.empty())
    ++pickLeastLoaded({})->second.Count;
}

void SlotPlanner::releaseLeaving() {
  // Release the slots even when no target can take them over: a leaving target
  // receives no requests.
  for (const auto &id : LeavingSlots)
    if (PendingMoves < Context.Config.MaxLeavingMoves)
      release(id);
}

void SlotPlanner::releaseByDate() {
  for (const auto &[instance, slots] : SlotsLeavingByDate) {
    const auto *target = findTarget(instance);
    if (Receivers.empty() || target == nullptr)
      return;
    const auto left = Context.ruleFor(*target).LeaveByMs - Context.WallMs;
    const auto share = left / (static_cast<std::int64_t>(slots.size()) + 1);
    auto &last =
        Context.LastEvacuation.try_emplace(instance, Context.Now).first->second;
    if (PendingMoves >= Context.Config.MaxPlannedMoves ||
        Context.Now < last + std::chrono::milliseconds(share))
      continue;
    last = Context.Now;
    release(slots.front());
  }
}

void SlotPlanner::releaseForBalance() {
  while (!Receivers.empty() && PendingMoves < Context.Config.MaxPlannedMoves) {
    auto most = pickMostLoaded();
    const auto least = pickLeastLoaded({});
    if (most->second.Movable.empty() ||
        most->second.Count < least->second.Count + 2)
      return;
    const auto id = most->second.Movable.back();
    most->second.Movable.pop_back();
    --most->second.Count;
    release(id);
  }
}

} // namespace magnoliamill::ownership::internal
