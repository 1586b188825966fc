// The replicated log of one group as a state machine without I/O: events in,
// actions out. Used for the settings group and for each data-centre group.
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
  /// Bound for the rate difference of two clocks, in parts of a thousand.
  std::uint32_t ClockDriftPerMille = 20;
  std::size_t MaxAppendBytes = std::size_t{256} * 1024;
  std::size_t MaxPendingProposals = 4096;
  std::uint64_t Seed = 1;
};

/// What survives a restart, as read back from storage.
struct DurableState {
  TermNumber Term = 0;
  std::optional<ReplicaId> VotedFor;
  /// State of the log below the first kept entry.
  LogIndex SnapshotIndex = 0;
  TermNumber SnapshotTerm = 0;
  std::string SnapshotData;
  /// Membership as of the snapshot; the start membership of a new group.
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
/// Asks for the index that a linearizable read has to wait for.
struct RequestRead {
  std::uint64_t ReadId = 0;
};
/// Storage has synced everything of the PersistRequest with this number.
struct Persisted {
  std::uint64_t PersistId = 0;
};
/// The state machine has written its snapshot up to Index: the log may be cut.
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
/// To be written and synced before any of the messages in SendAfterPersist of
/// the same Actions leave, and before Persisted{PersistId} is given back.
struct PersistRequest {
  std::uint64_t PersistId = 0;
  TermNumber Term = 0;
  std::optional<ReplicaId> VotedFor;
  /// Entries after this index are to be dropped before Append is written.
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
/// The state machine is to be replaced by this snapshot.
struct RestoreSnapshot {
  LogIndex Index = 0;
  std::string Data;
};
struct ProposalOutcome {
  std::uint64_t ProposalId = 0;
  /// The index at which it was committed. ProposalDropped: it will never take
  /// effect. ChangeOutcomeUnknown: leadership was lost, it may still commit.
  base::Result<LogIndex> Index = LogIndex(0);
};
struct ReadOutcome {
  std::uint64_t ReadId = 0;
  base::Result<LogIndex> Index = LogIndex(0);
};

struct Actions {
  std::optional<PersistRequest> Persist;
  /// Messages that may leave at once.
  std::vector<Message> Send;
  /// Messages that must wait for Persist (they promise what it holds).
  std::vector<Message> SendAfterPersist;
  std::optional<RestoreSnapshot> Restore;
  /// Newly committed entries in order, each handed out once.
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

  Actions step(const Event &event, base::MonoTime now);
  /// When Tick is wanted next at the latest.
  base::MonoTime nextWake() const;

  Role role() const;
  TermNumber term() const;
  /// The leader of the present term, when known.
  std::optional<ReplicaId> leader() const;
  LogIndex commitIndex() const;
  LogIndex lastIndex() const;
  LogIndex snapshotIndex() const;
  /// The membership in force: the last one in the log, committed or not.
  const Membership &membership() const;
  /// True while \p replica has matched the commit index.
  bool isCaughtUp(const ReplicaId &replica) const;
  /// True only while no other leader can exist at \p now by this replica's own
  /// clock: a quorum answered a round sent less than the minimal election
  /// timeout ago, less drift, and an entry of this term is committed. What a
  /// leader grants (leases, reads) it grants only while this holds.
  bool hasLeaderLease(base::MonoTime now) const;

private:
  struct State;
  std::unique_ptr<State> Internals;
};

} // namespace magnoliamill::consensus
