// The log of one replica in memory: the snapshot, the entries after it and the
// memberships that these entries contain.
#pragma once

#include "consensus/ReplicaCore.h"

#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace magnoliamill::consensus::internal {

using SnapshotImage = PersistRequest::Snapshot;

class RaftLog {
public:
  /// Moves the snapshot and the entries out of \p restored.
  explicit RaftLog(DurableState &restored);

  LogIndex lastIndex() const { return BaseIndex + Entries.size(); }
  TermNumber lastTerm() const;
  /// The index before the first kept entry. It is lower than the snapshot's
  /// index while entries are kept for replicas that lag behind a little.
  LogIndex baseIndex() const { return BaseIndex; }
  /// The term of the entry at \p index; nothing if it is not in the kept part
  /// of the log.
  std::optional<TermNumber> termAt(LogIndex index) const;
  const Entry &at(LogIndex index) const;
  /// Entries from index \p first on whose commands total at most \p limit
  /// bytes, but at least one if there is one.
  std::vector<Entry> read(LogIndex first, std::size_t limit) const;
  /// The first kept index of the run of entries before \p index that have the
  /// same term.
  LogIndex firstIndexOfTermAt(LogIndex index) const;

  void append(Entry entry);
  void truncateAfter(LogIndex index);

  const Membership &membership() const { return Memberships.back().Members; }
  /// The index of the entry that contains the membership in force.
  LogIndex membershipIndex() const { return Memberships.back().Index; }
  const Membership &membershipAt(LogIndex index) const;

  const std::shared_ptr<const SnapshotImage> &snapshot() const { return Image; }
  /// Stores a snapshot of the replica's own state machine and drops the entries
  /// that it covers, except the last \p retained bytes of them, which are kept
  /// for replicas that lag behind.
  void compact(SnapshotImage image, std::size_t retained);
  /// Replaces the log up to the snapshot's index. Later entries are kept only
  /// if the entry at that index has the snapshot's term. Returns true if later
  /// entries were dropped.
  bool install(SnapshotImage image);

private:
  struct MembershipAt {
    LogIndex Index = 0;
    Membership Members;
  };

  void noteMembership(const Entry &entry);
  void discardUpTo(LogIndex index);

  LogIndex BaseIndex = 0;
  TermNumber BaseTerm = 0;
  std::deque<Entry> Entries;
  // Never empty: the first one is the snapshot's or the initial membership.
  std::deque<MembershipAt> Memberships;
  std::shared_ptr<const SnapshotImage> Image;
};

} // namespace magnoliamill::consensus::internal
