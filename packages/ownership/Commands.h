// The commands of a data-centre group. Each names what it was decided from
// (the term of the leader, the token of what it changes), so that a duplicate
// or a deposed leader's command has no effect.
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

/// A new leader makes its term the one in force before it decides anything.
struct BeginTerm {};

/// A target announced itself, or announced changed properties.
struct TargetUp {
  Announcement Target;
};

/// Forgets a target that owns nothing.
struct TargetGone {
  base::TargetInstanceId Instance;
  base::Token ExpectedToken;
};

struct SetTargetState {
  base::TargetInstanceId Instance;
  TargetState Expected = TargetState::Active;
  TargetState State = TargetState::Active;
};

/// Gives a target to a dispatcher; it and its slots get new tokens.
struct SetDispatcher {
  base::TargetInstanceId Instance;
  /// The dispatch token that the decision was taken from.
  base::Token ExpectedToken;
  base::VmId Vm;
  std::uint64_t Incarnation = 0;
};

/// Asks the dispatcher to stop and hand the target over.
struct BeginDispatchRelease {
  base::TargetInstanceId Instance;
  base::Token ExpectedToken;
};

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
  /// Empty: the slot has no owner in this data centre any more.
  base::TargetInstanceId NewOwner;
  std::uint64_t HomeEpoch = 0;
};

/// Gives slots to new owners under new tokens. Each slot is checked for
/// itself.
struct AssignSlots {
  std::vector<SlotAssignment> Slots;
};

using CommandBody =
    std::variant<BeginTerm, TargetUp, TargetGone, SetTargetState, SetDispatcher,
                 BeginDispatchRelease, BeginRelease, AssignSlots>;

struct Command {
  /// Term of the leader that decided it.
  std::uint64_t Term = 0;
  CommandBody Body;
};

std::string encodeCommand(const Command &command);
/// Errors: JsonMalformed, MissingField, WrongType, OutOfRange, UnknownField.
base::Result<Command> parseCommand(std::string_view text);

/// What a command did. Ok with Changed 0: it was in force already.
struct CommandOutcome {
  base::ResultCode Code = base::ResultCode::Ok;
  /// Number of targets or slots that it changed.
  std::uint32_t Changed = 0;
};

/// {"code":0,"changed":1}
std::string encodeOutcome(const CommandOutcome &outcome);
base::Result<CommandOutcome> parseOutcome(std::string_view text);

} // namespace magnoliamill::ownership
