// The state machine of the settings group: tree, versions, change ids, audit
// trail, homes and epochs. Without I/O, clocks and randomness: equal logs give
// equal states and equal snapshots.
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

/// Bounds of the state. Part of the replicated state machine: equal on all VMs.
struct StateLimits {
  /// A change id is remembered for this many log entries. One applied entry
  /// leaves at most one id, so this also bounds their count.
  std::uint64_t ChangeIdWindow = 20000;
  std::size_t AuditEntries = 20000;
  std::size_t AuditBytes = 8u << 20;
  std::size_t MaxPaths = 50000;
  /// Slots of all services together.
  std::uint64_t MaxTotalSlots = 1000000;
  bool operator==(const StateLimits &) const = default;
};

struct StoredValue {
  std::string Path;
  /// JSON text; secrets are redacted.
  std::string Value;
  /// Log index of the change that wrote it; never used twice.
  std::uint64_t Version = 0;
};

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
  /// Only paths at or below it.
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

  /// Applies the committed command at \p index and returns the outcome in the
  /// form of encodeOutcome. Indexes rise; one that is not higher than
  /// appliedIndex() changes nothing and is answered with ProposalDropped.
  std::string apply(consensus::LogIndex index, std::string_view command);
  /// Notes an entry that holds no command (no-op, membership).
  void skip(consensus::LogIndex index);
  consensus::LogIndex appliedIndex() const;

  /// Equal states give equal snapshots.
  std::string snapshot() const;
  /// Replaces the state. Fails with SnapshotDamaged;
  /// a snapshot older than what is applied is refused with ProposalDropped. On
  /// failure the state is unchanged.
  base::Result<void> restore(std::string_view data);

  /// The settings in force. The same pointer until something changes, so its
  /// Index may be lower than appliedIndex().
  ViewPtr viewNow() const;

  /// Fails with PathUnknown or PathInvalid.
  base::Result<StoredValue> get(std::string_view path) const;
  /// Paths at or below \p prefix in order; values are left empty.
  std::vector<StoredValue> list(std::string_view prefix) const;
  /// Entries in ascending order of index.
  std::vector<AuditEntry> audit(const AuditQuery &query) const;
  /// Entries up to this index may have left the audit trail; 0 when none have.
  consensus::LogIndex auditDroppedUpTo() const;

private:
  struct State;
  std::unique_ptr<State> Self;
};

/// The entry as JSON: {"index","when_ms","when","who","action","path","old",
/// "new","change_id","code","name","message"}; old and new are JSON values.
std::string renderAuditEntry(const AuditEntry &entry);

} // namespace magnoliamill::settings
