// The replication state that a leader keeps for one other replica.
#pragma once

#include "base/Time.h"
#include "consensus/internal/RaftLog.h"

#include <deque>
#include <memory>

namespace magnoliamill::consensus::internal {

enum class ProgressMode {
  /// Searches for the matching index, one request at a time.
  Probe,
  /// Sends entries without waiting for the replies.
  Replicate,
  /// Sends a snapshot, one chunk at a time.
  Snapshot
};

struct Progress {
  LogIndex Match = 0;
  LogIndex Next = 1;
  ProgressMode Mode = ProgressMode::Probe;
  bool ProbeSent = false;
  /// Last index of each request with entries that is not yet answered.
  std::deque<LogIndex> InFlight;
  /// The snapshot being sent; kept even if a newer one is taken meanwhile.
  std::shared_ptr<const SnapshotImage> Sending;
  std::uint64_t Offset = 0;
  /// The latest round that was answered, and the latest send time of an
  /// answered round by the leader's own clock.
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
