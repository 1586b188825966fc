// Assigns targets to the VMs that dispatch to them.
#pragma once

#include "ownership/internal/PlanContext.h"

#include <map>
#include <optional>
#include <vector>

namespace magnoliamill::ownership::internal {

class DispatcherPlanner {
public:
  explicit DispatcherPlanner(PlanContext &context) : Context(context) {}
  void plan();

private:
  /// Asks a VM that reaches none of its targets to release them all.
  void planIsolatedVms();
  void countTargets();
  /// Assigns a target without a dispatcher to the VM with the fewest targets.
  void assignDispatcher(const TargetView &target);
  /// Balances the number of targets per VM, with a limit on concurrent moves.
  void planBalance();
  /// True when no VM may dispatch to the target any more.
  bool needsDispatcher(const TargetView &target) const;
  bool isHandingOver(const TargetView &target) const;
  bool isReleased(const TargetView &target) const;
  std::optional<LeaseHolderId> pickLeastLoaded() const;

  PlanContext &Context;
  /// Number of targets of each VM that may be assigned more.
  std::map<LeaseHolderId, std::uint32_t> TargetCounts;
  std::uint32_t PendingMoves = 0;
};

} // namespace magnoliamill::ownership::internal
