// Implements ReplicaCore: one replica of a Raft group. The members are defined
// in Replica.cpp (events, roles, timers), Election.cpp, Replication.cpp
// (leader), FollowerReplication.cpp, Commitment.cpp and MembershipChange.cpp.
#pragma once

#include "consensus/ReplicaCore.h"
#include "consensus/internal/PersistTracker.h"
#include "consensus/internal/Progress.h"
#include "consensus/internal/RaftLog.h"
#include "consensus/internal/RoundSendTimes.h"

#include <map>
#include <set>

namespace magnoliamill::consensus::internal {

class Replica {
public:
  Replica(ReplicaConfig config, DurableState &restored, base::MonoTime now);

  Actions step(const Event &event, base::MonoTime now);
  base::MonoTime nextWake() const;

  Role role() const { return CurrentRole; }
  TermNumber term() const { return Term; }
  const std::optional<ReplicaId> &leader() const { return LeaderId; }
  LogIndex commitIndex() const { return CommitIndex; }
  const RaftLog &log() const { return Log; }
  bool isCaughtUp(const ReplicaId &replica) const;
  bool hasLeaderLease(base::MonoTime now) const;

private:
  struct PendingProposal {
    LogIndex Index = 0;
    std::uint64_t Id = 0;
  };
  struct PendingRead {
    std::uint64_t Id = 0;
    // 0 until a round is started for this read.
    std::uint64_t Round = 0;
  };
  struct Transfer {
    ReplicaId Target;
    base::MonoTime Deadline;
    bool TimeoutSent = false;
  };
  struct IncomingSnapshot {
    ReplicaId From;
    TermNumber Term = 0;
    SnapshotImage Image;
  };

  // Events.
  void handle(const Tick &event);
  void handle(const Receive &event);
  void handle(const Propose &event);
  void handle(const ProposeMembership &event);
  void handle(const RequestRead &event);
  void handle(const Persisted &event);
  void handle(const SnapshotTaken &event);
  void handle(const TransferLeadership &event);

  // Messages.
  void receive(const Message &message, const VoteRequest &body);
  void receive(const Message &message, const VoteReply &body);
  void receive(const Message &message, const AppendRequest &body);
  void receive(const Message &message, const AppendReply &body);
  void receive(const Message &message, const SnapshotRequest &body);
  void receive(const Message &message, const SnapshotReply &body);
  void receive(const Message &message, const TimeoutNow &body);

  // Roles and time.
  void becomeFollower(TermNumber term, std::optional<ReplicaId> leader);
  void becomeLeader();
  void clearLeaderState();
  void failProposal(std::uint64_t id, const base::Error &error);
  void stepDownIfUnconfirmed();
  void resetElectionTimer();
  base::Duration leaseDuration() const;
  bool isVoter() const;
  bool mayCampaign() const;
  bool mayCampaignAtOnce() const;
  void finishStep();
  PersistRequest &persist();
  Message makeMessage(const ReplicaId &to, MessageBody body) const;
  void send(const ReplicaId &to, MessageBody body);
  void sendAfterPersist(const ReplicaId &to, MessageBody body);

  // Election.
  void startPreVote();
  void startElection(bool transfer);
  void requestVotes(bool PreVote, bool transfer);
  void answerPreVote(const Message &message, const VoteRequest &body);
  void recordVote(const ReplicaId &voter);
  bool isWithholdingVotes() const;
  bool isUpToDate(const VoteRequest &request) const;

  // Leader.
  LogIndex appendAsLeader(EntryKind kind, std::string command);
  void refreshPeers();
  void startRound();
  void replicateToAll(bool force);
  void replicateTo(const ReplicaId &id, Progress &peer, bool force);
  bool sendEntries(const ReplicaId &id, Progress &peer, bool force);
  void sendChunk(const ReplicaId &id, Progress &peer);
  Progress *confirmContact(const Message &message, std::uint64_t round);
  void continueTransfer();
  base::MonoTime quorumContact() const;

  // Follower.
  bool acceptLeader(const Message &message);
  bool storeEntries(const AppendRequest &request, AppendReply &reply);
  LogIndex previousIndexHint(LogIndex previous) const;
  void installSnapshot(SnapshotImage image);

  // Commitment.
  void commitByQuorum();
  void commitUpTo(LogIndex index);
  void resolveProposals();
  void resolveReads();
  void startReadRound();
  std::uint64_t quorumRound() const;

  // Membership change.
  base::Result<void> checkMembershipChange(const Membership &next) const;
  base::Result<void> checkNewVoter(const ReplicaId &voter) const;
  base::Result<void> checkReachable(const std::vector<ReplicaId> &voters) const;

  ReplicaConfig Config;
  RaftLog Log;
  PersistTracker Persists;
  std::mt19937_64 Random;

  TermNumber Term;
  std::optional<ReplicaId> VotedFor;
  // The term and vote of the last write request.
  TermNumber PersistedTerm;
  std::optional<ReplicaId> PersistedVote;

  Role CurrentRole = Role::Follower;
  std::optional<ReplicaId> LeaderId;
  LogIndex CommitIndex;
  base::MonoTime Now;
  base::MonoTime ElectionDeadline;
  // Until then no vote is granted except in a leadership transfer, because a
  // leader's lease may rely on this replica's last answer for that long.
  base::MonoTime WithholdVotesUntil;

  // Candidate.
  std::set<ReplicaId> Votes;
  // The write request that contains this candidate's vote for itself.
  std::optional<std::uint64_t> SelfVoteNumber;
  bool SelfVotePending = false;

  // Leader.
  std::map<ReplicaId, Progress> Peers;
  RoundSendTimes Rounds;
  base::MonoTime NextHeartbeat;
  base::MonoTime LeaderSince;
  LogIndex FirstIndexOfTerm = 0;
  std::optional<Transfer> PendingTransfer;
  std::deque<PendingProposal> Proposals;
  std::deque<PendingRead> Reads;

  std::optional<IncomingSnapshot> Incoming;
  Actions Out;
};

} // namespace magnoliamill::consensus::internal
