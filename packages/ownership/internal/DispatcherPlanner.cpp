// Assigns targets to the VMs that dispatch to them.
#include "ownership/internal/DispatcherPlanner.h"

#include <algorithm>

namespace magnoliamill::ownership::internal {

namespace {
/// How long a VM that reached none of its targets is assigned no others.
constexpr base::Duration IsolatedVmAvoidance = std::chrono::seconds(10);
} // namespace

void DispatcherPlanner::plan() {
  planIsolatedVms();
  countTargets();
  for (const auto &[instance, target] : Context.Ownership.Targets)
    if (needsDispatcher(target))
      assignDispatcher(target);
  planBalance();
}

void DispatcherPlanner::planIsolatedVms() {
  for (const auto &holder : Context.Leases.listCandidates(Context.Now)) {
    if (!Context.isIsolated(holder))
      continue;
    Context.Leases.avoid(holder, Context.Now + IsolatedVmAvoidance);
    for (const auto &[instance, target] : Context.Ownership.Targets)
      if (dispatcherOf(target) == holder)
        Context.Out.propose(
            instance.Value, target.DispatchToken,
            BeginDispatchRelease{target.Instance, target.DispatchToken});
  }
}

void DispatcherPlanner::countTargets() {
  for (const auto &holder : Context.Leases.listCandidates(Context.Now))
    TargetCounts[holder] = 0;
  for (const auto &[instance, target] : Context.Ownership.Targets) {
    auto holder = dispatcherOf(target);
    const auto pending =
        Context.Out.findDispatcher(instance.Value, target.DispatchToken);
    if (pending)
      holder = {pending->Vm, pending->Incarnation};
    const bool IsLeaving = isHandingOver(target);
    if (!pending && IsLeaving)
      ++PendingMoves;
    const bool IsKept = pending || (!IsLeaving && !needsDispatcher(target));
    if (auto it = TargetCounts.find(holder); it != TargetCounts.end() && IsKept)
      ++it->second;
  }
}

bool DispatcherPlanner::isHandingOver(const TargetView &target) const {
  return target.DispatcherReleasing ||
         Context.Out.isHandingOver(target.Instance.Value, target.DispatchToken);
}

bool DispatcherPlanner::isReleased(const TargetView &target) const {
  const auto *report = Context.findDispatcherReport(target);
  const ReleasedTarget id{target.Instance, target.DispatchToken};
  return report != nullptr && std::ranges::find(report->ReleasedTargets, id) !=
                                  report->ReleasedTargets.end();
}

bool DispatcherPlanner::needsDispatcher(const TargetView &target) const {
  return target.Dispatcher.empty() || isReleased(target) ||
         !Context.Leases.mayHoldLease(dispatcherOf(target), Context.Now);
}

std::optional<LeaseHolderId> DispatcherPlanner::pickLeastLoaded() const {
  auto it = std::ranges::min_element(
      TargetCounts, {}, [](const auto &entry) { return entry.second; });
  if (it == TargetCounts.end())
    return std::nullopt;
  return it->first;
}

void DispatcherPlanner::assignDispatcher(const TargetView &target) {
  const auto &name = target.Instance.Value;
  if (Context.Out.findDispatcher(name, target.DispatchToken))
    return;
  const auto next = pickLeastLoaded();
  if (!next)
    return;
  ++TargetCounts[*next];
  // A VM that has not released the target itself gets no new lease before its
  // view shows the change.
  if (!target.Dispatcher.empty() && !isReleased(target))
    Context.Leases.beginRevocation(dispatcherOf(target), target.Instance,
                                   target.DispatchToken);
  Context.Out.propose(name, target.DispatchToken,
                      SetDispatcher{target.Instance, target.DispatchToken,
                                    next->Vm, next->Incarnation});
}

void DispatcherPlanner::planBalance() {
  for (const auto &[instance, target] : Context.Ownership.Targets) {
    if (TargetCounts.empty() ||
        PendingMoves >= Context.Config.MaxPlannedDispatcherMoves)
      return;
    auto holder = TargetCounts.find(dispatcherOf(target));
    const auto least = *pickLeastLoaded();
    const bool IsOverloaded = holder != TargetCounts.end() &&
                              holder->second >= TargetCounts[least] + 2;
    if (!IsOverloaded || isHandingOver(target) || needsDispatcher(target) ||
        Context.Out.findDispatcher(instance.Value, target.DispatchToken))
      continue;
    --holder->second;
    ++TargetCounts[least];
    ++PendingMoves;
    Context.Out.propose(
        instance.Value, target.DispatchToken,
        BeginDispatchRelease{target.Instance, target.DispatchToken});
  }
}

} // namespace magnoliamill::ownership::internal
