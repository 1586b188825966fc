// Applies commands to the state, deterministically.
#pragma once

#include "settings/Commands.h"
#include "settings/internal/SettingsState.h"

namespace magnoliamill::settings::internal {

/// The state to change and the log index of the command.
struct ApplyContext {
  SettingsState &State;
  consensus::LogIndex Index = 0;
};

ChangeOutcome applyCommand(ApplyContext context, const SetValue &set);
ChangeOutcome applyCommand(ApplyContext context, const DeleteValue &erase);
ChangeOutcome applyCommand(ApplyContext context, const BootstrapVms &boot);
ChangeOutcome applyCommand(ApplyContext context, const RegisterVm &add);
ChangeOutcome applyCommand(ApplyContext context, const RemoveVm &remove);
ChangeOutcome applyCommand(ApplyContext context, const AssignHomes &assign);
ChangeOutcome applyCommand(ApplyContext context, const BeginHomeMove &move);
ChangeOutcome applyCommand(ApplyContext context, const CancelHomeMove &move);
ChangeOutcome applyCommand(ApplyContext context, const FinishHomeMove &move);
ChangeOutcome applyCommand(ApplyContext context, const ReclaimHome &move);
ChangeOutcome applyCommand(ApplyContext context,
                           const StartDataCentreGroup &start);

/// Builds the outcome of a refused command.
ChangeOutcome refuse(base::ResultCode code, std::string message);

/// Checks a value against the current settings: names already in use, fields
/// that cannot change, references. Returns no faults when it may be written.
std::vector<Fault> checkAgainstState(const SettingsState &state,
                                     const SettingsPath &path,
                                     const TypedValue &value);

} // namespace magnoliamill::settings::internal
