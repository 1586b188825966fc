// Decides on the state of each target: active, leaving, lost, gone.
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
  bool isSilentUnprobed(const TargetView &target) const;
  bool isForgettable(const TargetView &target) const;

  PlanContext &Context;
};

/// True when the target is to be empty now, by the operators' word, its own, or
/// because the settings no longer let it serve.
bool mustLeaveNow(const PlanContext &context, const TargetView &target);

} // namespace magnoliamill::ownership::internal
