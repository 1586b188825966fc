// What a leader knows about one other replica.
#pragma once

#include "base/Time.h"
#include "consensus/internal/RaftLog.h"

#include <deque>
#include <memory>

namespace magnoliamill::consensus::internal {

enum class ProgressMode {
  /// The matching index is looked for, one request at a time.
  Probe,
  /// Entries are sent ahead of the replies.
  Replicate,
  /// A snapshot is under way, one chunk at a time.
  Snapshot
};

struct Progress {
  LogIndex Match = 0;
  LogIndex Next = 1;
  ProgressMode Mode = ProgressMode::Probe;
  bool ProbeSent = false;
  /// Last index of each request that is sent ahead and not yet answered.
  std::deque<LogIndex> InFlight;
  /// The snapshot under way; kept also when a newer one is taken.
  std::shared_ptr<const SnapshotImage> Sending;
  std::uint64_t Offset = 0;
  /// The latest round that was answered, and when it was sent by own clock.
  std::uint64_t AckedRound = 0;
  base::MonoTime ContactSentAt = base::MonoTime::min();

  void noteMatch(LogIndex index) {
    Match = std::max(Match, index);
    Next = std::max(Next, Match + 1);
    while (!InFlight.empty() && InFlight.front() <= Match)
      InFlight.pop_front();
  }

  void startProbe(LogIndex next) {
    Mode = ProgressMode::Probe;
    Next = next;
    ProbeSent = false;
    InFlight.clear();
    Sending.reset();
  }

  void startReplicate() {
    Mode = ProgressMode::Replicate;
    Next = Match + 1;
    InFlight.clear();
    Sending.reset();
  }

  void startSnapshot(std::shared_ptr<const SnapshotImage> image) {
    Mode = ProgressMode::Snapshot;
    InFlight.clear();
    Sending = std::move(image);
    Offset = 0;
  }
};

} // namespace magnoliamill::consensus::internal
