// The most recent committed entries, for those who follow a group by pulling.
#pragma once

#include "consensus/Types.h"

#include <cstddef>
#include <deque>
#include <span>
#include <vector>

namespace magnoliamill::consensus {

class LogWindow {
public:
  /// Keeps entries up to \p limit in sum of their commands, always at least
  /// the last one.
  explicit LogWindow(std::size_t limit) : MaxBytes(limit) {}

  /// The state machine was replaced by a snapshot up to \p index (also at
  /// start): older entries are forgotten.
  void restart(LogIndex index);
  /// Committed entries, in order and without gaps.
  void add(std::span<const Entry> committed);

  /// The last committed index.
  LogIndex lastIndex() const { return Last; }
  /// Entries after this index can be had; who has less needs a snapshot.
  LogIndex baseIndex() const { return Last - Kept.size(); }

  struct Slice {
    /// True when the window no longer reaches back: the asker needs the present
    /// state of the state machine, which stands at Commit.
    bool NeedsSnapshot = false;
    /// Empty when there is nothing new.
    std::vector<Entry> Entries;
    LogIndex Commit = 0;
  };
  /// Entries after \p after, up to \p limit but at least one if there is
  /// one.
  Slice readAfter(LogIndex after, std::size_t limit) const;

private:
  std::size_t MaxBytes;
  std::size_t Bytes = 0;
  LogIndex Last = 0;
  std::deque<Entry> Kept;
};

} // namespace magnoliamill::consensus
