// The log of one replica in memory: the snapshot, the entries behind it and the
// memberships that the entries bring into force.
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
  /// Takes the snapshot and the entries out of \p restored.
  explicit RaftLog(DurableState &restored);

  LogIndex lastIndex() const { return BaseIndex + Entries.size(); }
  TermNumber lastTerm() const;
  /// The index before the first kept entry. It lies below the snapshot's index
  /// while entries are kept for replicas that lag a little.
  LogIndex baseIndex() const { return BaseIndex; }
  /// Nothing when \p index lies outside of the kept part.
  std::optional<TermNumber> termAt(LogIndex index) const;
  const Entry &at(LogIndex index) const;
  /// Entries from \p first on, at least one if there is one, up to \p limit.
  std::vector<Entry> read(LogIndex first, std::size_t limit) const;
  /// The first kept index that has the term of the entry at \p index.
  LogIndex firstIndexOfTermAt(LogIndex index) const;

  void append(Entry entry);
  void truncateAfter(LogIndex index);

  const Membership &membership() const { return Memberships.back().Members; }
  /// Where the membership in force was written.
  LogIndex membershipIndex() const { return Memberships.back().Index; }
  const Membership &membershipAt(LogIndex index) const;

  const std::shared_ptr<const SnapshotImage> &snapshot() const { return Image; }
  /// Takes a snapshot of the own state machine, cuts entries below it but keeps
  /// up to \p retained of them for replicas that lag.
  void compact(SnapshotImage image, std::size_t retained);
  /// Replaces the log up to the snapshot's index. Entries behind it stay only
  /// if the entry at that index was the same. True when entries were dropped.
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
  // Never empty: the first one is that of the snapshot or of the start.
  std::deque<MembershipAt> Memberships;
  std::shared_ptr<const SnapshotImage> Image;
};

} // namespace magnoliamill::consensus::internal
