// The commands of a data-centre group's replicated log. Each command carries
// its preconditions (the leader's term, the current token of what it changes),
// so that a duplicate or a command of a deposed leader has no effect.
#pragma once

#include "base/Ids.h"
#include "base/Result.h"
#include "base/Token.h"
#include "ownership/Announcement.h"
#include "ownership/View.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace magnoliamill::ownership {

/// Makes the term of a new leader the current one. Precedes all its other
/// commands.
struct BeginTerm {};

/// Adds a target, or updates the properties that it announced.
struct TargetUp {
  Announcement Target;
};

/// Removes a target that owns no slots.
struct TargetGone {
  base::TargetInstanceId Instance;
  base::Token ExpectedToken;
};

/// Changes a target's state if it is still \c Expected.
struct SetTargetState {
  base::TargetInstanceId Instance;
  TargetState Expected = TargetState::Active;
  TargetState State = TargetState::Active;
};

/// Assigns a target to a dispatcher. The target and its slots get new tokens.
struct SetDispatcher {
  base::TargetInstanceId Instance;
  /// The target's dispatch token when the command was decided.
  base::Token ExpectedToken;
  base::VmId Vm;
  std::uint64_t Incarnation = 0;
};

/// Asks the dispatcher to stop sending to the target and to release it.
struct BeginDispatchRelease {
  base::TargetInstanceId Instance;
  base::Token ExpectedToken;
};

/// A slot and the token that it must still have for the command to apply.
struct SlotExpectation {
  base::SlotId Slot;
  base::Token ExpectedToken;
  auto operator<=>(const SlotExpectation &) const = default;
};

/// Starts the planned handover of slots.
struct BeginRelease {
  std::vector<SlotExpectation> Slots;
};

struct SlotAssignment {
  base::SlotId Slot;
  base::Token ExpectedToken;
  /// Empty when the slot is to have no owner in this data centre.
  base::TargetInstanceId NewOwner;
  std::uint64_t HomeEpoch = 0;
};

/// Assigns slots to new owners under new tokens. Each slot is checked
/// separately.
struct AssignSlots {
  std::vector<SlotAssignment> Slots;
};

using CommandBody =
    std::variant<BeginTerm, TargetUp, TargetGone, SetTargetState, SetDispatcher,
                 BeginDispatchRelease, BeginRelease, AssignSlots>;

struct Command {
  /// Term of the leader that issued it.
  std::uint64_t Term = 0;
  CommandBody Body;
};

std::string encodeCommand(const Command &command);
/// Errors: JsonMalformed, MissingField, WrongType, OutOfRange, UnknownField.
base::Result<Command> parseCommand(std::string_view text);

/// The effect of a command. Ok with Changed 0: the state was already as wanted.
struct CommandOutcome {
  base::ResultCode Code = base::ResultCode::Ok;
  /// Number of targets or slots that were changed.
  std::uint32_t Changed = 0;
};

/// {"code":0,"changed":1}
std::string encodeOutcome(const CommandOutcome &outcome);
base::Result<CommandOutcome> parseOutcome(std::string_view text);

} // namespace magnoliamill::ownership
