// Applies commands of the replicated log to the view.
#include "ownership/internal/CommandApplier.h"

#include <algorithm>

namespace magnoliamill::ownership::internal {

using base::ResultCode;

namespace {

constexpr CommandOutcome Stale{ResultCode::GrantStale, 0};
constexpr CommandOutcome NotAllowed{ResultCode::TargetNotAllowed, 0};
constexpr CommandOutcome Unchanged{ResultCode::Ok, 0};
constexpr CommandOutcome ChangedOne{ResultCode::Ok, 1};

CommandOutcome makeOutcome(std::uint32_t count) {
  return count == 0 ? Stale : CommandOutcome{ResultCode::Ok, count};
}

/// Copies the announced properties to \p target. True if one of them changed;
/// the clock is not counted and not copied.
bool updateFromAnnouncement(TargetView &target, const Announcement &it) {
  const bool same = target.Host == it.Host && target.Port == it.Port &&
                    target.Slots == it.Slots &&
                    target.ChecksTokens == it.ChecksTokens &&
                    target.CanCancel == it.CanCancel &&
                    target.HonoursDeadlines == it.HonoursDeadlines;
  target.Host = it.Host;
  target.Port = it.Port;
  target.Slots = it.Slots;
  target.ChecksTokens = it.ChecksTokens;
  target.CanCancel = it.CanCancel;
  target.HonoursDeadlines = it.HonoursDeadlines;
  return !same;
}

} // namespace

CommandOutcome CommandApplier::apply(const Command &command) {
  if (std::holds_alternative<BeginTerm>(command.Body)) {
    if (command.Term <= CurrentView.ControllerTerm)
      return Stale;
    CurrentView.ControllerTerm = command.Term;
  } else if (command.Term != CurrentView.ControllerTerm) {
    return Stale;
  }
  auto outcome = std::visit(*this, command.Body);
  if (outcome.Changed > 0)
    CurrentView.Index = Index;
  return outcome;
}

CommandOutcome CommandApplier::operator()(const BeginTerm &) {
  return ChangedOne;
}

CommandOutcome CommandApplier::operator()(const TargetUp &command) {
  const auto &it = command.Target;
  auto *known = findTarget(it.Instance);
  if (known != nullptr &&
      (known->Service != it.Service || known->Name != it.Name))
    return NotAllowed;
  if (known != nullptr) {
    bool IsChanged = updateFromAnnouncement(*known, it);
    if (it.Leaving && known->State == TargetState::Active) {
      known->State = TargetState::Leaving;
      IsChanged = true;
    }
    if (IsChanged)
      known->AnnouncedClockMs = it.ClockMs;
    return IsChanged ? ChangedOne : Unchanged;
  }
  // The target was restarted. The grants of its earlier run must expire before
  // its slots move.
  for (auto &[instance, other] : CurrentView.Targets)
    if (other.Service == it.Service && other.Name == it.Name)
      other.State = TargetState::Lost;
  auto &target = CurrentView.Targets[it.Instance];
  target.Instance = it.Instance;
  target.Name = it.Name;
  target.Service = it.Service;
  target.AnnouncedClockMs = it.ClockMs;
  updateFromAnnouncement(target, it);
  target.State = it.Leaving ? TargetState::Leaving : TargetState::Active;
  return ChangedOne;
}

CommandOutcome CommandApplier::operator()(const TargetGone &command) {
  auto *target = findTarget(command.Instance);
  if (target == nullptr || target->DispatchToken != command.ExpectedToken ||
      ownsSlots(*target))
    return Stale;
  CurrentView.Targets.erase(command.Instance);
  return ChangedOne;
}

CommandOutcome CommandApplier::operator()(const SetTargetState &command) {
  auto *target = findTarget(command.Instance);
  if (target == nullptr || target->State != command.Expected)
    return Stale;
  if (command.Expected == command.State)
    return Unchanged;
  if (command.Expected == TargetState::Lost && hasSuccessor(*target))
    return NotAllowed;
  target->State = command.State;
  return ChangedOne;
}

CommandOutcome CommandApplier::operator()(const SetDispatcher &command) {
  auto *target = findTarget(command.Instance);
  if (target == nullptr || target->DispatchToken != command.ExpectedToken)
    return Stale;
  target->Dispatcher = command.Vm;
  target->DispatcherIncarnation = command.Incarnation;
  target->DispatcherReleasing = false;
  target->DispatchToken = nextToken(target->DispatchToken, 0);
  auto slots = CurrentView.Slots.find(target->Service);
  if (slots == CurrentView.Slots.end())
    return ChangedOne;
  for (auto &slot : slots->second)
    if (slot.Owner == target->Instance)
      slot.Token = nextToken(slot.Token, 0);
  return ChangedOne;
}

CommandOutcome CommandApplier::operator()(const BeginDispatchRelease &command) {
  auto *target = findTarget(command.Instance);
  if (target == nullptr || target->DispatchToken != command.ExpectedToken ||
      target->Dispatcher.empty())
    return Stale;
  if (target->DispatcherReleasing)
    return Unchanged;
  target->DispatcherReleasing = true;
  return ChangedOne;
}

CommandOutcome CommandApplier::operator()(const BeginRelease &command) {
  std::uint32_t count = 0;
  for (const auto &it : command.Slots) {
    auto *slot = findSlot(it.Slot);
    if (slot == nullptr || slot->Token != it.ExpectedToken ||
        slot->Owner.empty() || slot->Releasing)
      continue;
    slot->Releasing = true;
    ++count;
  }
  return makeOutcome(count);
}

CommandOutcome CommandApplier::operator()(const AssignSlots &command) {
  std::uint32_t count = 0;
  for (const auto &it : command.Slots)
    count += assign(it) ? 1 : 0;
  return makeOutcome(count);
}

bool CommandApplier::assign(const SlotAssignment &assignment) {
  const auto *known = findSlot(assignment.Slot);
  const auto present = known == nullptr ? base::Token{} : known->Token;
  if (present != assignment.ExpectedToken)
    return false;
  if (!assignment.NewOwner.empty()) {
    const auto *target = findTarget(assignment.NewOwner);
    if (target == nullptr || target->Service != assignment.Slot.Service ||
        target->State != TargetState::Active)
      return false;
  }
  findOrCreateSlot(assignment.Slot) = {
      assignment.NewOwner, nextToken(present, assignment.HomeEpoch), false};
  return true;
}

TargetView *CommandApplier::findTarget(const base::TargetInstanceId &instance) {
  auto it = CurrentView.Targets.find(instance);
  return it == CurrentView.Targets.end() ? nullptr : &it->second;
}

SlotView *CommandApplier::findSlot(const base::SlotId &slot) {
  auto it = CurrentView.Slots.find(slot.Service);
  if (it == CurrentView.Slots.end() || slot.Slot >= it->second.size())
    return nullptr;
  return &it->second[slot.Slot];
}

SlotView &CommandApplier::findOrCreateSlot(const base::SlotId &slot) {
  auto &slots = CurrentView.Slots[slot.Service];
  if (slots.size() <= slot.Slot)
    slots.resize(slot.Slot + std::size_t{1});
  return slots[slot.Slot];
}

bool CommandApplier::ownsSlots(const TargetView &target) const {
  auto it = CurrentView.Slots.find(target.Service);
  return it != CurrentView.Slots.end() &&
         std::ranges::any_of(it->second, [&](const SlotView &slot) {
           return slot.Owner == target.Instance;
         });
}

bool CommandApplier::hasSuccessor(const TargetView &target) const {
  return std::ranges::any_of(CurrentView.Targets, [&](const auto &entry) {
    const auto &other = entry.second;
    return other.Instance != target.Instance &&
           other.Service == target.Service && other.Name == target.Name &&
           other.State != TargetState::Lost;
  });
}

base::Token CommandApplier::nextToken(base::Token previous,
                                      std::uint64_t HomeEpoch) const {
  return {std::max({previous.Epoch, HomeEpoch, CurrentView.Epoch}), Index};
}

} // namespace magnoliamill::ownership::internal
