// The replicated state of a data-centre group: its targets, their dispatchers,
// and the owner of each slot.
#pragma once

#include "base/Result.h"
#include "consensus/Types.h"
#include "ownership/Commands.h"
#include "ownership/View.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace magnoliamill::ownership {

/// Deterministic: the same log gives the same state on all VMs.
class StateMachine {
public:
  /// \p epoch is the group's epoch, assigned by the settings group.
  explicit StateMachine(std::uint64_t epoch);

  /// Applies the command at \p index. Must be called in log order, once for
  /// each entry. Returns the outcome as encoded by encodeOutcome. Codes: Ok;
  /// GrantStale when a precondition no longer holds or its target is unknown;
  /// TargetNotAllowed when its target may not take part; BadRequest when it
  /// can't be parsed. The view's index is that of the last command with an
  /// effect.
  std::string apply(consensus::LogIndex index, std::string_view command);
  std::string snapshot() const;
  /// Replaces the state. Fails with SnapshotDamaged and leaves the state
  /// unchanged if \p data can't be parsed.
  base::Result<void> restore(std::string_view data);

  /// The current state. The copy is shared between callers until the next
  /// change.
  ViewPtr viewNow() const;

private:
  View CurrentView;
  mutable ViewPtr CachedView;
};

} // namespace magnoliamill::ownership
