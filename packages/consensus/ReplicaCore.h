// One replica of a Raft group as a state machine without I/O: it takes events
// and returns the actions to perform. Used for the settings group and for each
// data-centre group.
#pragma once

#include "base/Result.h"
#include "base/Time.h"
#include "consensus/Types.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace magnoliamill::consensus {

struct ReplicaConfig {
  ReplicaId Self;
  base::Duration HeartbeatInterval = std::chrono::milliseconds(100);
  base::Duration ElectionTimeoutMin = std::chrono::milliseconds(400);
  base::Duration ElectionTimeoutMax = std::chrono::milliseconds(700);
  /// Upper bound for the difference in rate of two clocks, per mille.
  std::uint32_t ClockDriftPerMille = 20;
  std::size_t MaxAppendBytes = std::size_t{256} * 1024;
  std::size_t MaxPendingProposals = 4096;
  std::uint64_t Seed = 1;
};

/// The durable state of a replica, as read from storage at start.
struct DurableState {
  TermNumber Term = 0;
  std::optional<ReplicaId> VotedFor;
  /// Index and term of the last entry that the snapshot covers.
  LogIndex SnapshotIndex = 0;
  TermNumber SnapshotTerm = 0;
  std::string SnapshotData;
  /// Membership as of the snapshot; in a new group, the initial membership.
  Membership Members;
  /// Entries after SnapshotIndex, without gaps.
  std::vector<Entry> Entries;
};

// ---- events ----
struct Tick {};
struct Receive {
  Message Received;
};
struct Propose {
  std::uint64_t ProposalId = 0;
  std::string Command;
};
/// Adds or removes one replica, promotes a learner, or replaces a voter by its
/// next incarnation. One change at a time.
struct ProposeMembership {
  std::uint64_t ProposalId = 0;
  Membership Next;
};
/// Requests the index up to which the state machine must have applied the log
/// before a linearizable read. Answered by a ReadOutcome.
struct RequestRead {
  std::uint64_t ReadId = 0;
};
/// Storage has synced the PersistRequest with this number.
struct Persisted {
  std::uint64_t PersistId = 0;
};
/// The state machine has taken a snapshot up to Index, so the log may be
/// compacted up to there.
struct SnapshotTaken {
  LogIndex Index = 0;
  std::string Data;
};
struct TransferLeadership {
  std::optional<ReplicaId> Preferred;
};
using Event =
    std::variant<Tick, Receive, Propose, ProposeMembership, RequestRead,
                 Persisted, SnapshotTaken, TransferLeadership>;

// ---- actions ----
/// Must be written and synced before any message in SendAfterPersist of the
/// same Actions is sent and before Persisted{PersistId} is reported.
struct PersistRequest {
  std::uint64_t PersistId = 0;
  TermNumber Term = 0;
  std::optional<ReplicaId> VotedFor;
  /// Entries after this index must be dropped before Append is written.
  std::optional<LogIndex> TruncateAfter;
  std::vector<Entry> Append;
  /// Set when a snapshot replaces the log up to its index.
  struct Snapshot {
    LogIndex Index = 0;
    TermNumber Term = 0;
    Membership Members;
    std::string Data;
  };
  std::optional<Snapshot> InstallSnapshot;
};
/// Replaces the state machine's state by this snapshot.
struct RestoreSnapshot {
  LogIndex Index = 0;
  std::string Data;
};
struct ProposalOutcome {
  std::uint64_t ProposalId = 0;
  /// The index at which the proposal was committed. After ProposalDropped it
  /// will never take effect; after ChangeOutcomeUnknown (leadership was lost)
  /// it may still be committed. Membership proposals that fail a check return
  /// its code.
  base::Result<LogIndex> Index = LogIndex(0);
};
struct ReadOutcome {
  std::uint64_t ReadId = 0;
  base::Result<LogIndex> Index = LogIndex(0);
};

struct Actions {
  std::optional<PersistRequest> Persist;
  /// Messages that may be sent at once.
  std::vector<Message> Send;
  /// Messages that may be sent only after Persist is synced, because they
  /// acknowledge its contents; without Persist, after all earlier requests are.
  std::vector<Message> SendAfterPersist;
  std::optional<RestoreSnapshot> Restore;
  /// Newly committed entries, in order; each is reported once.
  std::vector<Entry> Committed;
  std::vector<ProposalOutcome> Proposals;
  std::vector<ReadOutcome> Reads;
};

enum class Role { Follower, PreCandidate, Candidate, Leader };

class ReplicaCore {
public:
  ReplicaCore(ReplicaConfig config, DurableState restored, base::MonoTime now);
  ~ReplicaCore();
  ReplicaCore(ReplicaCore &&) noexcept;
  ReplicaCore &operator=(ReplicaCore &&) noexcept;

  /// Processes one event and returns the actions to perform.
  Actions step(const Event &event, base::MonoTime now);
  /// The latest time at which the next Tick is due.
  base::MonoTime nextWake() const;

  Role role() const;
  TermNumber term() const;
  /// The leader of the current term, if known.
  std::optional<ReplicaId> leader() const;
  LogIndex commitIndex() const;
  LogIndex lastIndex() const;
  LogIndex snapshotIndex() const;
  /// The membership in force: the latest one in the log, committed or not.
  const Membership &membership() const;
  /// False while the membership in force may still be replaced by an earlier
  /// one.
  bool isMembershipCommitted() const;
  /// True if the log of \p replica is known to match up to the commit index.
  bool isCaughtUp(const ReplicaId &replica) const;
  /// True only while no other leader can exist at \p now by this replica's own
  /// clock: a quorum answered a round that was sent less than the minimum
  /// election timeout ago, reduced by the clock drift, and an entry of this
  /// term is committed. A leader may grant leases and reads only while this
  /// holds.
  bool hasLeaderLease(base::MonoTime now) const;

private:
  struct State;
  std::unique_ptr<State> Internals;
};

} // namespace magnoliamill::consensus
