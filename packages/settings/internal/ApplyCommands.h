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

ChangeOutcome applyCommand(ApplyContext to, const SetValue &set);
ChangeOutcome applyCommand(ApplyContext to, const DeleteValue &erase);
ChangeOutcome applyCommand(ApplyContext to, const BootstrapVms &boot);
ChangeOutcome applyCommand(ApplyContext to, const RegisterVm &add);
ChangeOutcome applyCommand(ApplyContext to, const RemoveVm &remove);
ChangeOutcome applyCommand(ApplyContext to, const AssignHomes &assign);
ChangeOutcome applyCommand(ApplyContext to, const BeginHomeMove &move);
ChangeOutcome applyCommand(ApplyContext to, const CancelHomeMove &move);
ChangeOutcome applyCommand(ApplyContext to, const FinishHomeMove &move);
ChangeOutcome applyCommand(ApplyContext to, const ReclaimHome &move);
ChangeOutcome applyCommand(ApplyContext to, const StartDataCentreGroup &start);

/// The outcome of a refused command.
ChangeOutcome refuse(base::ResultCode code, std::string message);

/// Checks a value against what is in force: names that are taken, fields that
/// are fixed, references. Empty when it may be written.
std::vector<Fault> checkInForce(const SettingsState &state,
                                const SettingsPath &path,
                                const TypedValue &value);

} // namespace magnoliamill::settings::internal
