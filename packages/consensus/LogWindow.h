// Keeps the most recent committed entries of a group in memory, for clients
// that follow the group by polling.
#pragma once

#include "consensus/Types.h"

#include <cstddef>
#include <deque>
#include <span>
#include <vector>

namespace magnoliamill::consensus {

class LogWindow {
public:
  /// Keeps the newest entries whose commands total at most \p limit bytes, and
  /// always at least the last entry.
  explicit LogWindow(std::size_t limit) : MaxBytes(limit) {}

  /// Drops all entries, because the state machine was replaced by a snapshot up
  /// to \p index or has just started from one.
  void restart(LogIndex index);
  /// Adds committed entries, in order. Entries that are already known are
  /// skipped; a gap drops everything before it.
  void add(std::span<const Entry> committed);

  /// Index of the last committed entry.
  LogIndex lastIndex() const { return Last; }
  /// Entries after this index are available. A reader that is further behind
  /// needs a snapshot.
  LogIndex baseIndex() const { return Last - Kept.size(); }

  struct Slice {
    /// True when the requested entries are no longer kept: the reader needs the
    /// current state of the state machine, which is that of index Commit.
    bool NeedsSnapshot = false;
    /// Empty when there are no new entries.
    std::vector<Entry> Entries;
    LogIndex Commit = 0;
  };
  /// Entries after index \p after, whose commands total at most \p limit bytes,
  /// but at least one entry if there is one.
  Slice readAfter(LogIndex after, std::size_t limit) const;

private:
  std::size_t MaxBytes;
  std::size_t Bytes = 0;
  LogIndex Last = 0;
  std::deque<Entry> Kept;
};

} // namespace magnoliamill::consensus
