// The bounded audit trail.
#pragma once

#include "settings/StateMachine.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace magnoliamill::settings::internal {

/// Entries of one kind, oldest first, bounded by count and bytes.
class BoundedAuditLog {
public:
  void add(AuditEntry entry, std::size_t entries, std::size_t bytes);

  const std::deque<AuditEntry> &entries() const { return Entries; }
  /// Index of the newest entry that was dropped.
  consensus::LogIndex droppedUpTo() const { return DroppedUpTo; }
  void setDroppedUpTo(consensus::LogIndex index) { DroppedUpTo = index; }

private:
  std::deque<AuditEntry> Entries;
  std::size_t Bytes = 0;
  consensus::LogIndex DroppedUpTo = 0;
};

/// Operators' changes and the system's own are bounded apart, so that a large
/// move of slots does not push the operators' changes out.
struct AuditTrail {
  BoundedAuditLog Operators;
  BoundedAuditLog System;

  std::vector<AuditEntry> query(const AuditQuery &query) const;
};

} // namespace magnoliamill::settings::internal
