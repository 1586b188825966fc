// The commands in the log of the settings group and their outcomes, with their
// JSON encoding.
#pragma once

#include "base/Ids.h"
#include "base/Result.h"
#include "consensus/Types.h"
#include "settings/Fault.h"
#include "settings/View.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace magnoliamill::settings {

/// Who requested a change, under which id and when.
struct ChangeOrigin {
  /// 1 to 128 printable characters. In the form "INDEX~REST", INDEX is the
  /// settings index that the client had seen when it created the id. A resend
  /// that arrives after the window of remembered ids is then always rejected
  /// with ChangeIdExpired; without INDEX, only its expected version is checked.
  std::string ChangeId;
  /// "admin", "team/NAME" or "system".
  std::string Who;
  /// Wall clock of the proposer in milliseconds since 1970; only for the audit
  /// trail.
  std::int64_t WhenMs = 0;
};

/// Writes a value for an operator. ExpectedVersion 0 requires that the path
/// does not exist yet; otherwise it is the version that the operator read.
/// There is no unconditional write.
struct SetValue {
  ChangeOrigin Origin;
  std::string Path;
  /// JSON text.
  std::string Value;
  std::uint64_t ExpectedVersion = 0;
};

/// Deletes a value for an operator. ExpectedVersion must be the path's version.
struct DeleteValue {
  ChangeOrigin Origin;
  std::string Path;
  std::uint64_t ExpectedVersion = 0;
};

/// Registers the VMs listed as seeds. Only the first such command in the life
/// of the settings group takes effect.
struct BootstrapVms {
  std::int64_t WhenMs = 0;
  std::vector<VmView> Vms;
};

/// Registers the addresses of a VM, proposed by the VM when it starts. Has no
/// effect when they are unchanged.
struct RegisterVm {
  std::int64_t WhenMs = 0;
  VmView Vm;
};

/// Removes a VM from the settings; has no effect when it is not registered.
struct RemoveVm {
  std::int64_t WhenMs = 0;
  base::VmId Vm;
};

/// Assigns the initial homes of all slots of a keyed service that has none yet.
struct AssignHomes {
  std::int64_t WhenMs = 0;
  base::ServiceId Service;
  /// One per slot.
  std::vector<base::DataCentreId> Homes;
};

/// Starts or redirects the move of a slot's home. Epoch is the slot's epoch
/// that the decision was based on; the command is refused if it has changed
/// since.
struct BeginHomeMove {
  std::int64_t WhenMs = 0;
  base::SlotId Slot;
  std::uint64_t Epoch = 0;
  base::DataCentreId To;
};

/// Cancels a move that has not been confirmed; the slot keeps its home.
struct CancelHomeMove {
  std::int64_t WhenMs = 0;
  base::SlotId Slot;
  std::uint64_t Epoch = 0;
};

/// Completes a move: the old home confirms that nobody there owns or serves the
/// slot any more. The destination becomes the slot's home, and the log index
/// its new epoch.
struct FinishHomeMove {
  std::int64_t WhenMs = 0;
  base::SlotId Slot;
  std::uint64_t Epoch = 0;
  base::DataCentreId From;
};

/// Moves a slot away from a data centre that an operator has declared gone
/// (/admin/data_centres/DC), without waiting for its confirmation.
struct ReclaimHome {
  std::int64_t WhenMs = 0;
  base::SlotId Slot;
  std::uint64_t Epoch = 0;
  base::DataCentreId To;
};

/// Starts a data-centre group with the log index as its epoch. ExpectedEpoch is
/// the epoch of the group that it replaces, 0 for the first group. Of two
/// concurrent starts only one succeeds.
struct StartDataCentreGroup {
  std::int64_t WhenMs = 0;
  base::DataCentreId DataCentre;
  std::vector<consensus::ReplicaId> Members;
  std::uint64_t ExpectedEpoch = 0;
};

using Command =
    std::variant<SetValue, DeleteValue, BootstrapVms, RegisterVm, RemoveVm,
                 AssignHomes, BeginHomeMove, CancelHomeMove, FinishHomeMove,
                 ReclaimHome, StartDataCentreGroup>;

std::string encodeCommand(const Command &command);
/// Fails with ValueInvalid (or JsonMalformed) when \p text is not a command.
base::Result<Command> decodeCommand(std::string_view text);

/// The outcome of a command.
struct ChangeOutcome {
  base::ResultCode Code = base::ResultCode::Ok;
  std::string Message;
  std::string Path;
  /// The path's version after an accepted change (0 after a delete), or the
  /// current one after VersionConflict.
  std::uint64_t Version = 0;
  /// Log index at which the change was decided; for a resend, that of the first
  /// attempt.
  consensus::LogIndex Index = 0;
  std::string ChangeId;
  /// Set when the value was rejected: with ValueInvalid or ValueTooLarge.
  std::vector<Fault> Faults;

  bool accepted() const { return Code == base::ResultCode::Ok; }
  bool operator==(const ChangeOutcome &) const = default;
};

/// The JSON text that StateMachine::apply() returns and that
/// protocol::ProposeReply carries.
std::string encodeOutcome(const ChangeOutcome &outcome);
/// Fails with ValueInvalid (or JsonMalformed) when \p text is not an outcome.
base::Result<ChangeOutcome> decodeOutcome(std::string_view text);

/// The response body of the control API for an outcome. Accepted: {"path",
/// "version","index","change_id"}; otherwise {"code","name","message","path",
/// "current_version","index","change_id","faults":[{"code","name","path",
/// "message"}]}, where "faults" is left out when there are none.
std::string renderOutcome(const ChangeOutcome &outcome);

/// The settings index in a change id of the form "INDEX~REST"; nothing for ids
/// of another form.
std::optional<consensus::LogIndex> creationIndexOf(std::string_view id);

} // namespace magnoliamill::settings
