// How each command changes the state. All are deterministic.
#pragma once

#include "settings/Commands.h"
#include "settings/internal/SettingsState.h"

namespace magnoliamill::settings::internal {

/// What a command sees besides the state.
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

/// The outcome of a refused command.
ChangeOutcome refuse(base::ResultCode code, std::string message);

/// Checks a value against what is in force: names that are taken, fields that
/// are fixed, references. Empty when it may be written.
std::vector<Fault> checkAgainstState(const SettingsState &state,
                                     const SettingsPath &path,
                                     const TypedValue &value);

} // namespace magnoliamill::settings::internal
