// The replicated state of a data-centre group: targets, their dispatchers, the
// owner of each slot.
#pragma once

#include "base/Result.h"
#include "consensus/Types.h"
#include "ownership/Commands.h"
#include "ownership/View.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace magnoliamill::ownership {

/// Deterministic: equal logs give equal states on all VMs.
class StateMachine {
public:
  /// \p epoch is the group's epoch, given out by the settings group.
  explicit StateMachine(std::uint64_t epoch);

  /// Applies the command at \p index; entries come in order, each once. The
  /// outcome is in the form of encodeOutcome. Codes: Ok; GrantStale when what
  /// the command was decided from has changed; TargetNotAllowed when its target
  /// is unknown or may not take part; BadRequest when it can't be read. The
  /// view's index is that of the last command that changed something.
  std::string apply(consensus::LogIndex index, std::string_view command);
  std::string snapshot() const;
  /// Replaces the state. SnapshotDamaged leaves it as it was.
  base::Result<void> restore(std::string_view data);

  /// The present state, shared; built anew only after a change.
  ViewPtr viewNow() const;

private:
  View CurrentView;
  mutable ViewPtr CachedView;
};

} // namespace magnoliamill::ownership
