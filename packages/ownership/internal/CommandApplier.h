// Applies commands of the replicated log to the view.
#pragma once

#include "ownership/Commands.h"
#include "ownership/View.h"

namespace magnoliamill::ownership::internal {

/// Applies one command at one log index. A command whose preconditions no
/// longer hold leaves the view unchanged.
class CommandApplier {
public:
  CommandApplier(View &view, consensus::LogIndex index)
      : CurrentView(view), Index(index) {}

  CommandOutcome apply(const Command &command);

  CommandOutcome operator()(const BeginTerm &command);
  CommandOutcome operator()(const TargetUp &command);
  CommandOutcome operator()(const TargetGone &command);
  CommandOutcome operator()(const SetTargetState &command);
  CommandOutcome operator()(const SetDispatcher &command);
  CommandOutcome operator()(const BeginDispatchRelease &command);
  CommandOutcome operator()(const BeginRelease &command);
  CommandOutcome operator()(const AssignSlots &command);

private:
  TargetView *findTarget(const base::TargetInstanceId &instance);
  SlotView *findSlot(const base::SlotId &slot);
  SlotView &findOrCreateSlot(const base::SlotId &slot);
  bool assign(const SlotAssignment &assignment);
  bool ownsSlots(const TargetView &target) const;
  bool hasSuccessor(const TargetView &target) const;
  /// The new token of a target or slot that changes at this index.
  base::Token nextToken(base::Token previous, std::uint64_t HomeEpoch) const;

  View &CurrentView;
  consensus::LogIndex Index;
};

} // namespace magnoliamill::ownership::internal
