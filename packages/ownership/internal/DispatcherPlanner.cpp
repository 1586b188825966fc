// Decides which VM dispatches to which target.
#include "ownership/internal/DispatcherPlanner.h"

#include <algorithm>

namespace magnoliamill::ownership::internal {

namespace {
/// How long a VM that reached none of its targets is given no other ones.
constexpr base::Duration AvoidCutOff = std::chrono::seconds(10);
} // namespace

void DispatcherPlanner::plan() {
  planCutOff();
  countLoads();
  for (const auto &[instance, target] : Context.Ownership.Targets)
    if (isFree(target))
      planTarget(target);
  planBalance();
}

void DispatcherPlanner::planCutOff() {
  for (const auto &holder : Context.Leases.listCandidates(Context.Now)) {
    if (!Context.isCutOff(holder))
      continue;
    Context.Leases.avoid(holder, Context.Now + AvoidCutOff);
    for (const auto &[instance, target] : Context.Ownership.Targets)
      if (dispatcherOf(target) == holder)
        Context.Out.propose(
            instance.Value, target.DispatchToken,
            BeginDispatchRelease{target.Instance, target.DispatchToken});
  }
}

void DispatcherPlanner::countLoads() {
  for (const auto &holder : Context.Leases.listCandidates(Context.Now))
    Loads[holder] = 0;
  for (const auto &[instance, target] : Context.Ownership.Targets) {
    auto holder = dispatcherOf(target);
    const auto pending =
        Context.Out.findDispatcher(instance.Value, target.DispatchToken);
    if (pending)
      holder = {pending->Vm, pending->Incarnation};
    const bool IsLeaving = isHandingOver(target);
    if (!pending && IsLeaving)
      ++Moving;
    const bool IsKept = pending || (!IsLeaving && !isFree(target));
    if (auto it = Loads.find(holder); it != Loads.end() && IsKept)
      ++it->second;
  }
}

bool DispatcherPlanner::isHandingOver(const TargetView &target) const {
  return target.DispatcherReleasing ||
         Context.Out.isHandingOver(target.Instance.Value, target.DispatchToken);
}

bool DispatcherPlanner::isRelieved(const TargetView &target) const {
  const auto *report = Context.reportOn(target);
  const RelievedTarget id{target.Instance, target.DispatchToken};
  return report != nullptr &&
         std::ranges::find(report->Relieved, id) != report->Relieved.end();
}

bool DispatcherPlanner::isFree(const TargetView &target) const {
  return target.Dispatcher.empty() || isRelieved(target) ||
         !Context.Leases.mayBeHeld(dispatcherOf(target), Context.Now);
}

std::optional<LeaseHolderId> DispatcherPlanner::pickLeastLoaded() const {
  auto it = std::ranges::min_element(
      Loads, {}, [](const auto &entry) { return entry.second; });
  if (it == Loads.end())
    return std::nullopt;
  return it->first;
}

void DispatcherPlanner::planTarget(const TargetView &target) {
  const auto &name = target.Instance.Value;
  if (Context.Out.findDispatcher(name, target.DispatchToken))
    return;
  const auto next = pickLeastLoaded();
  if (!next)
    return;
  ++Loads[*next];
  // A VM that has not given the target up by its own word gets no new lease
  // before it knows of the change.
  if (!target.Dispatcher.empty() && !isRelieved(target))
    Context.Leases.beginTaking(dispatcherOf(target), target.Instance,
                               target.DispatchToken);
  Context.Out.propose(name, target.DispatchToken,
                      SetDispatcher{target.Instance, target.DispatchToken,
                                    next->Vm, next->Incarnation});
}

void DispatcherPlanner::planBalance() {
  for (const auto &[instance, target] : Context.Ownership.Targets) {
    if (Loads.empty() || Moving >= Context.Config.MaxPlannedDispatcherMoves)
      return;
    auto holder = Loads.find(dispatcherOf(target));
    const auto least = *pickLeastLoaded();
    const bool IsCrowded =
        holder != Loads.end() && holder->second >= Loads[least] + 2;
    if (!IsCrowded || isHandingOver(target) || isFree(target) ||
        Context.Out.findDispatcher(instance.Value, target.DispatchToken))
      continue;
    --holder->second;
    ++Loads[least];
    ++Moving;
    Context.Out.propose(
        instance.Value, target.DispatchToken,
        BeginDispatchRelease{target.Instance, target.DispatchToken});
  }
}

} // namespace magnoliamill::ownership::internal
