// Decides which VM dispatches to which target.
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
  /// Takes all targets from a VM that reaches none of them.
  void planIsolatedVms();
  void countTargets();
  /// Gives a target that nobody may dispatch to any more to a new VM.
  void assignDispatcher(const TargetView &target);
  /// Evens the number of targets per VM out, few at a time.
  void planBalance();
  bool needsDispatcher(const TargetView &target) const;
  bool isHandingOver(const TargetView &target) const;
  bool isReleased(const TargetView &target) const;
  std::optional<LeaseHolderId> pickLeastLoaded() const;

  PlanContext &Context;
  /// Number of targets per VM that may be given more.
  std::map<LeaseHolderId, std::uint32_t> TargetCounts;
  std::uint32_t PendingMoves = 0;
};

} // namespace magnoliamill::ownership::internal
