// Tracks the outstanding write requests to the storage and the index up to
// which the replica's own log is synced.
#pragma once

#include "consensus/Types.h"

#include <algorithm>
#include <deque>

namespace magnoliamill::consensus::internal {

class PersistTracker {
public:
  explicit PersistTracker(LogIndex stable) : Stable(stable) {}

  /// Everything up to this index is synced.
  LogIndex stableIndex() const { return Stable; }
  bool isIdle() const { return Outstanding.empty(); }
  std::uint64_t lastNumber() const { return LastNumber; }

  /// Assigns a number to a request after which the log ends at \p last.
  std::uint64_t start(LogIndex last) {
    Outstanding.push_back({++LastNumber, last});
    return LastNumber;
  }

  void noteTruncation(LogIndex index) {
    // A request that was started before the truncation says nothing about the
    // entries that replace the dropped ones.
    for (Request &it : Outstanding)
      it.Last = std::min(it.Last, index);
    Stable = std::min(Stable, index);
  }

  void noteDone(std::uint64_t number) {
    while (!Outstanding.empty() && Outstanding.front().Number <= number) {
      Stable = std::max(Stable, Outstanding.front().Last);
      Outstanding.pop_front();
    }
  }

private:
  struct Request {
    std::uint64_t Number = 0;
    LogIndex Last = 0;
  };

  LogIndex Stable;
  std::uint64_t LastNumber = 0;
  std::deque<Request> Outstanding;
};

} // namespace magnoliamill::consensus::internal
