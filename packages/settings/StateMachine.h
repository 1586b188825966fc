// The replicated state machine of the settings group: tree, versions, change
// ids, audit trail, homes and epochs. It uses no I/O, clocks or randomness, so
// that equal logs yield equal states and equal snapshots.
#pragma once

#include "base/Result.h"
#include "consensus/Types.h"
#include "settings/Commands.h"
#include "settings/View.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliamill::settings {

/// Limits of the state. They are part of the replicated state machine and must
/// be equal on all VMs.
struct StateLimits {
  /// A change id is remembered for this many log entries. An entry adds at most
  /// one id, so this also bounds the number of ids.
  std::uint64_t ChangeIdWindow = 20000;
  std::size_t AuditEntries = 20000;
  std::size_t AuditBytes = 8u << 20;
  std::size_t MaxPaths = 50000;
  /// Total number of slots of all services.
  std::uint64_t MaxTotalSlots = 1000000;
  bool operator==(const StateLimits &) const = default;
};

struct StoredValue {
  std::string Path;
  /// JSON text; secrets are redacted.
  std::string Value;
  /// Log index of the change that wrote it, and therefore never reused.
  std::uint64_t Version = 0;
};

/// A change recorded in the audit trail, accepted or rejected.
struct AuditEntry {
  consensus::LogIndex Index = 0;
  std::int64_t WhenMs = 0;
  std::string Who;
  /// "set", "delete", or the name of an internal command.
  std::string Action;
  std::string Path;
  /// JSON texts with secrets redacted; empty where there is no value.
  std::string OldValue;
  std::string NewValue;
  std::string ChangeId;
  base::ResultCode Code = base::ResultCode::Ok;
  std::string Message;
  bool operator==(const AuditEntry &) const = default;
};

struct AuditQuery {
  /// Only entries whose path is at or below this one.
  std::string Prefix;
  /// Only entries with a higher index.
  consensus::LogIndex After = 0;
  std::size_t Limit = 1000;
};

class StateMachine {
public:
  explicit StateMachine(StateLimits limits = {});
  ~StateMachine();
  StateMachine(StateMachine &&) noexcept;
  StateMachine &operator=(StateMachine &&) noexcept;

  /// Applies the committed command at \p index and returns its outcome as
  /// encoded by encodeOutcome(). If \p index is not higher than appliedIndex(),
  /// changes nothing and returns ProposalDropped.
  std::string apply(consensus::LogIndex index, std::string_view command);
  /// Advances appliedIndex() past an entry without a command (no-op, membership
  /// change).
  void skip(consensus::LogIndex index);
  consensus::LogIndex appliedIndex() const;

  /// Serializes the state; equal states yield equal snapshots.
  std::string snapshot() const;
  /// Replaces the state by a snapshot. Fails with SnapshotDamaged, or with
  /// ProposalDropped when the snapshot is older than the applied state. On
  /// failure the state is unchanged.
  base::Result<void> restore(std::string_view data);

  /// The current settings. Returns the same pointer until something changes, so
  /// its Index may be lower than appliedIndex().
  ViewPtr viewNow() const;

  /// The value at \p path. Fails with PathUnknown or PathInvalid.
  base::Result<StoredValue> get(std::string_view path) const;
  /// The paths at or below \p prefix in ascending order, without their values.
  std::vector<StoredValue> list(std::string_view prefix) const;
  /// The matching entries in ascending order of index.
  std::vector<AuditEntry> audit(const AuditQuery &query) const;
  /// Entries up to this index may have been dropped from the audit trail; 0
  /// when none have.
  consensus::LogIndex auditDroppedUpTo() const;

private:
  struct State;
  std::unique_ptr<State> Self;
};

/// Formats the entry as JSON:
/// {"index","when_ms","when","who","action","path","old",
/// "new","change_id","code","name","message"}; old and new are JSON values.
std::string renderAuditEntry(const AuditEntry &entry);

} // namespace magnoliamill::settings
