// Decides the state of each target and when it is removed.
#include "ownership/internal/TargetPlanner.h"

#include <algorithm>

namespace magnoliamill::ownership::internal {

namespace {

/// A target that leaves by a date gets no more requests this long before it, in
/// milliseconds.
constexpr std::int64_t LeaveMarginMs = 10000;
/// A target counts as present if it has announced itself within this time.
constexpr base::Duration PresenceTimeout = std::chrono::milliseconds(1500);

bool matchesAnnouncement(const TargetView &target, const Announcement &it) {
  return target.Host == it.Host && target.Port == it.Port &&
         target.Slots == it.Slots && target.ChecksTokens == it.ChecksTokens &&
         target.CanCancel == it.CanCancel &&
         target.HonoursDeadlines == it.HonoursDeadlines &&
         (!it.Leaving || target.State != TargetState::Active);
}

bool ownsSlots(const View &view, const TargetView &target) {
  auto it = view.Slots.find(target.Service);
  return it != view.Slots.end() &&
         std::ranges::any_of(it->second, [&](const SlotView &slot) {
           return slot.Owner == target.Instance;
         });
}

} // namespace

bool mustLeaveNow(const PlanContext &context, const TargetView &target) {
  const auto rule = context.ruleFor(target);
  const bool IsDue =
      rule.LeaveByMs > 0 && context.WallMs >= rule.LeaveByMs - LeaveMarginMs;
  return rule.Leaving || IsDue ||
         !context.isAllowed(target.Service, target.Host);
}

void TargetPlanner::plan() {
  for (const auto &[instance, received] : Context.Announcements)
    planAnnounced(received);
  for (const auto &[instance, target] : Context.Ownership.Targets)
    planTarget(target);
}

void TargetPlanner::planAnnounced(const ReceivedAnnouncement &received) {
  const auto &targets = Context.Ownership.Targets;
  auto it = targets.find(received.Target.Instance);
  if (it != targets.end() && matchesAnnouncement(it->second, received.Target))
    return;
  // An old announcement must not add a target again that was removed.
  if (Context.Now > received.At + PresenceTimeout)
    return;
  if (Context.isAllowed(received.Target.Service, received.Target.Host))
    Context.Out.propose(received.Target.Instance.Value, {},
                        TargetUp{received.Target});
}

void TargetPlanner::planTarget(const TargetView &target) {
  if (isForgettable(target)) {
    Context.Out.propose(target.Instance.Value, target.DispatchToken,
                        TargetGone{target.Instance, target.DispatchToken});
    return;
  }
  const auto wanted = wantedState(target);
  if (wanted != target.State)
    Context.Out.propose(target.Instance.Value, {},
                        SetTargetState{target.Instance, target.State, wanted});
}

TargetState TargetPlanner::wantedState(const TargetView &target) const {
  const bool IsLost =
      Context.isLost(target) && !Context.isIsolated(dispatcherOf(target));
  if (IsLost || isSilentUnprobed(target))
    return TargetState::Lost;
  const bool StaysLost =
      target.State == TargetState::Lost &&
      (!Context.isReady(target) || hasSuccessor(Context.Ownership, target) ||
       Context.Now >
           Context.lastAnnouncedAt(target.Instance) + PresenceTimeout);
  if (StaysLost)
    return TargetState::Lost;
  return mustLeave(target) ? TargetState::Leaving : TargetState::Active;
}

bool TargetPlanner::mustLeave(const TargetView &target) const {
  if (mustLeaveNow(Context, target))
    return true;
  auto it = Context.Announcements.find(target.Instance);
  // A new leader keeps the state until the target announces itself again.
  if (it == Context.Announcements.end())
    return target.State == TargetState::Leaving;
  return it->second.Target.Leaving;
}

bool TargetPlanner::isSilentUnprobed(const TargetView &target) const {
  auto IsSilent = [&](const TargetView &it) {
    return Context.Now > Context.lastAnnouncedAt(it.Instance) +
                             Context.Config.UnprobedSilenceLimit;
  };
  if (target.ChecksTokens || !IsSilent(target))
    return false;
  // When most targets of a service are silent at once, it is more likely that
  // announcements don't arrive than that the targets have failed.
  std::size_t silent = 0;
  std::size_t all = 0;
  for (const auto &[instance, other] : Context.Ownership.Targets) {
    if (other.ChecksTokens || other.Service != target.Service)
      continue;
    ++all;
    silent += IsSilent(other) ? 1 : 0;
  }
  return silent == 1 || 2 * silent <= all;
}

bool TargetPlanner::isForgettable(const TargetView &target) const {
  if (target.State != TargetState::Lost ||
      ownsSlots(Context.Ownership, target) || Context.isReady(target))
    return false;
  return Context.Now > Context.lastAnnouncedAt(target.Instance) +
                           Context.Config.ForgetLostAfter;
}

} // namespace magnoliamill::ownership::internal
