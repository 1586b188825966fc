// The bounded audit trail.
#pragma once

#include "settings/StateMachine.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace magnoliamill::settings::internal {

/// Audit entries in log order, bounded by count and size.
class BoundedAuditLog {
public:
  /// Appends \p entry, then drops the oldest ones while there are more than
  /// \p entries or they take more than \p bytes. The newest entry always stays.
  void add(AuditEntry entry, std::size_t entries, std::size_t bytes);

  const std::deque<AuditEntry> &entries() const { return Entries; }
  /// Log index of the newest entry that was dropped; 0 when none was.
  consensus::LogIndex droppedUpTo() const { return DroppedUpTo; }
  void setDroppedUpTo(consensus::LogIndex index) { DroppedUpTo = index; }

private:
  std::deque<AuditEntry> Entries;
  std::size_t Bytes = 0;
  consensus::LogIndex DroppedUpTo = 0;
};

/// Operators' changes and the system's own have separate limits, so that moving
/// many slots does not displace the operators' changes.
struct AuditTrail {
  BoundedAuditLog Operators;
  BoundedAuditLog System;

  /// The matching entries of both logs in ascending order of index.
  std::vector<AuditEntry> query(const AuditQuery &query) const;
};

} // namespace magnoliamill::settings::internal
