// The commands of the settings group's log and their outcomes, with JSON
// codecs.
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

/// Who asked for a change and under which id.
struct ChangeOrigin {
  /// 1 to 128 characters. "INDEX~REST" names the settings index that the
  /// client had seen when it made the id; with it a resend that comes after the
  /// window of remembered ids is refused with ChangeIdExpired for certain.
  /// Without it, such a resend is judged by its expected version alone.
  std::string ChangeId;
  /// "admin", "team/NAME" or "system".
  std::string Who;
  /// Wall clock of the proposer, milliseconds since 1970; for the audit only.
  std::int64_t WhenMs = 0;
};

/// An operator's write. ExpectedVersion has no "any": 0 says that the path must
/// not exist, otherwise it is the version that was read.
struct SetValue {
  ChangeOrigin Origin;
  std::string Path;
  /// JSON text.
  std::string Value;
  std::uint64_t ExpectedVersion = 0;
};

struct DeleteValue {
  ChangeOrigin Origin;
  std::string Path;
  std::uint64_t ExpectedVersion = 0;
};

/// The VMs known at the first start, from the seeds. Takes effect only once in
/// the life of the settings group, later ones have no effect.
struct BootstrapVms {
  std::int64_t WhenMs = 0;
  std::vector<VmView> Vms;
};

/// A VM that starts registers its own addresses; equal ones change nothing.
struct RegisterVm {
  std::int64_t WhenMs = 0;
  VmView Vm;
};

struct RemoveVm {
  std::int64_t WhenMs = 0;
  base::VmId Vm;
};

/// First homes of all slots of a keyed service that has none yet.
struct AssignHomes {
  std::int64_t WhenMs = 0;
  base::ServiceId Service;
  /// One per slot.
  std::vector<base::DataCentreId> Homes;
};

/// Starts (or redirects) the move of a slot's home. Epoch is the slot's epoch
/// that the decision was made on; another one refuses the command.
struct BeginHomeMove {
  std::int64_t WhenMs = 0;
  base::SlotId Slot;
  std::uint64_t Epoch = 0;
  base::DataCentreId To;
};

/// Ends a move that has not been confirmed: the slot stays at home.
struct CancelHomeMove {
  std::int64_t WhenMs = 0;
  base::SlotId Slot;
  std::uint64_t Epoch = 0;
};

/// The old home's word that nobody there owns or serves the slot any more.
/// The slot's new home is where it was moving to; its epoch is the log index.
struct FinishHomeMove {
  std::int64_t WhenMs = 0;
  base::SlotId Slot;
  std::uint64_t Epoch = 0;
  base::DataCentreId From;
};

/// Takes a slot from a data centre that an operator declared gone
/// (/admin/data_centres/DC), without its confirmation.
struct ReclaimHome {
  std::int64_t WhenMs = 0;
  base::SlotId Slot;
  std::uint64_t Epoch = 0;
  base::DataCentreId To;
};

/// Starts a data-centre group; its epoch is the log index. ExpectedEpoch is the
/// epoch of the group that it replaces, 0 for the first: of two equal starts
/// one wins.
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

/// What became of a command.
struct ChangeOutcome {
  base::ResultCode Code = base::ResultCode::Ok;
  std::string Message;
  std::string Path;
  /// The path's version after an accepted change (0 after a delete), or the
  /// present one after VersionConflict.
  std::uint64_t Version = 0;
  /// Where in the log the change was decided; for a resend, the first place.
  consensus::LogIndex Index = 0;
  std::string ChangeId;
  /// Set with ValueInvalid.
  std::vector<Fault> Faults;

  bool accepted() const { return Code == base::ResultCode::Ok; }
  bool operator==(const ChangeOutcome &) const = default;
};

/// The JSON that apply() returns and that protocol::ProposeReply carries.
std::string encodeOutcome(const ChangeOutcome &outcome);
base::Result<ChangeOutcome> decodeOutcome(std::string_view text);

/// The body of the control API for an outcome. Accepted: {"path","version",
/// "index","change_id"}; otherwise {"code","name","message",
/// "current_version","change_id","faults":[{"code","name","path","message"}]}.
std::string renderOutcome(const ChangeOutcome &outcome);

/// The settings index in a change id of the form "INDEX~REST".
std::optional<consensus::LogIndex> creationIndexOf(std::string_view id);

} // namespace magnoliamill::settings
