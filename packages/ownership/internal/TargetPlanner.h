// Decides the state of each target (active, leaving, lost) and when it is
// removed.
#pragma once

#include "ownership/internal/PlanContext.h"

namespace magnoliamill::ownership::internal {

class TargetPlanner {
public:
  explicit TargetPlanner(PlanContext &context) : Context(context) {}
  void plan();

private:
  void planTarget(const TargetView &target);
  void planAnnounced(const ReceivedAnnouncement &received);
  TargetState wantedState(const TargetView &target) const;
  bool mustLeave(const TargetView &target) const;
  /// True when a target that can't be probed by grants has stopped announcing
  /// itself.
  bool isSilentUnprobed(const TargetView &target) const;
  bool isForgettable(const TargetView &target) const;

  PlanContext &Context;
};

/// True when the target must give up its slots now, because the operator asked
/// for it or the settings no longer allow the target.
bool mustLeaveNow(const PlanContext &context, const TargetView &target);

} // namespace magnoliamill::ownership::internal
