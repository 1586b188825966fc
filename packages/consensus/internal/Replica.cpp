// Handles events, role changes and timers, and collects the actions of a step.
#include "consensus/internal/Replica.h"

#include "consensus/internal/Quorum.h"

namespace magnoliamill::consensus::internal {

namespace {

/// Size of the log that is kept before a snapshot for replicas that lag behind.
constexpr std::size_t RetainedLogBytes = std::size_t{1024} * 1024;

} // namespace

Replica::Replica(ReplicaConfig config, DurableState &restored,
                 base::MonoTime now)
    : Config(std::move(config)), Log(restored), Persists(Log.lastIndex()),
      Random(Config.Seed), Term(restored.Term), VotedFor(restored.VotedFor),
      PersistedTerm(restored.Term), PersistedVote(restored.VotedFor),
      CommitIndex(restored.SnapshotIndex), Now(now), WithholdVotesUntil(now) {
  // Just before the restart this replica may have answered a leader, whose
  // lease relies on that answer.
  if (Term > 0)
    WithholdVotesUntil = now + Config.ElectionTimeoutMin;
  resetElectionTimer();
  if (mayCampaignAtOnce())
    ElectionDeadline = now;
}

Actions Replica::step(const Event &event, base::MonoTime now) {
  Now = std::max(Now, now);
  Out = Actions();
  // Checked before anything else: after a pause, this replica must not act as
  // leader if its leadership has expired.
  stepDownIfUnconfirmed();
  std::visit([this](const auto &it) { handle(it); }, event);
  finishStep();
  return std::move(Out);
}

void Replica::handle(const Tick &) {
  if (CurrentRole != Role::Leader) {
    if (Now < ElectionDeadline)
      return;
    resetElectionTimer();
    if (mayCampaign())
      startPreVote();
    return;
  }
  if (PendingTransfer && Now >= PendingTransfer->Deadline) {
    // Once TimeoutNow is sent, its receiver may win the election at any later
    // time, so this replica must not regain the lease in this term.
    if (PendingTransfer->TimeoutSent)
      return becomeFollower(Term, std::nullopt);
    PendingTransfer.reset();
  }
  if (Now >= NextHeartbeat) {
    startRound();
    replicateToAll(true);
  }
}

void Replica::handle(const Receive &event) {
  const Message &message = event.Received;
  // Messages to an earlier incarnation are ignored.
  if (message.To != Config.Self || message.From == Config.Self)
    return;
  std::visit([&](const auto &body) { receive(message, body); }, message.Body);
}

void Replica::handle(const Propose &event) {
  if (CurrentRole != Role::Leader) {
    failProposal(event.ProposalId,
                 {base::ResultCode::ProposalDropped, "not the leader"});
    return;
  }
  if (PendingTransfer || Proposals.size() >= Config.MaxPendingProposals) {
    failProposal(event.ProposalId,
                 {base::ResultCode::ProposalDropped,
                  PendingTransfer ? "leadership is being transferred"
                                  : "too many proposals are pending"});
    return;
  }
  const LogIndex index = appendAsLeader(EntryKind::Command, event.Command);
  Proposals.push_back({index, event.ProposalId});
  replicateToAll(false);
}

void Replica::handle(const RequestRead &event) {
  if (CurrentRole != Role::Leader) {
    Out.Reads.push_back({event.ReadId, base::fail(base::ResultCode::NotLeader,
                                                  "not the leader")});
    return;
  }
  if (Reads.size() >= Config.MaxPendingProposals) {
    Out.Reads.push_back(
        {event.ReadId, base::fail(base::ResultCode::RateLimited,
                                  "too many reads are pending")});
    return;
  }
  Reads.push_back({event.ReadId, 0});
  startReadRound();
  resolveReads();
}

void Replica::handle(const Persisted &event) {
  Persists.noteDone(event.PersistId);
  if (CurrentRole == Role::Candidate && SelfVoteNumber &&
      event.PersistId >= *SelfVoteNumber) {
    SelfVoteNumber.reset();
    recordVote(Config.Self);
  }
  commitByQuorum();
}

void Replica::handle(const SnapshotTaken &event) {
  if (event.Index > CommitIndex || event.Index <= Log.snapshot()->Index)
    return;
  const auto term = Log.termAt(event.Index);
  if (!term)
    return;
  SnapshotImage image{event.Index, *term, Log.membershipAt(event.Index),
                      event.Data};
  persist().InstallSnapshot = image;
  Log.compact(std::move(image), RetainedLogBytes);
}

void Replica::becomeFollower(TermNumber term, std::optional<ReplicaId> leader) {
  if (CurrentRole == Role::Leader)
    clearLeaderState();
  if (term > Term) {
    Term = term;
    VotedFor.reset();
  }
  CurrentRole = Role::Follower;
  LeaderId = std::move(leader);
  Votes.clear();
  SelfVoteNumber.reset();
  SelfVotePending = false;
  resetElectionTimer();
}

void Replica::becomeLeader() {
  CurrentRole = Role::Leader;
  LeaderId = Config.Self;
  LeaderSince = Now;
  Incoming.reset();
  Peers.clear();
  refreshPeers();
  // Entries of earlier terms are committed only together with an entry of this
  // leader's own term.
  FirstIndexOfTerm = appendAsLeader(EntryKind::NoOp, {});
  startRound();
  replicateToAll(true);
}

void Replica::clearLeaderState() {
  for (const PendingProposal &it : Proposals)
    failProposal(it.Id, {base::ResultCode::ChangeOutcomeUnknown,
                         "leadership was lost before it was committed"});
  for (const PendingRead &it : Reads)
    Out.Reads.push_back({it.Id, base::fail(base::ResultCode::NotLeader,
                                           "leadership was lost")});
  Proposals.clear();
  Reads.clear();
  Peers.clear();
  PendingTransfer.reset();
}

void Replica::failProposal(std::uint64_t id, const base::Error &error) {
  ProposalOutcome &outcome = Out.Proposals.emplace_back();
  outcome.ProposalId = id;
  outcome.Index = base::fail(error.Code, error.Message);
}

void Replica::stepDownIfUnconfirmed() {
  if (CurrentRole != Role::Leader)
    return;
  const base::MonoTime contact = std::max(quorumContact(), LeaderSince);
  if (contact + leaseDuration() <= Now)
    becomeFollower(Term, std::nullopt);
}

void Replica::resetElectionTimer() {
  const auto spread =
      (Config.ElectionTimeoutMax - Config.ElectionTimeoutMin).count();
  std::uniform_int_distribution<base::Duration::rep> pick(0, spread);
  ElectionDeadline =
      Now + Config.ElectionTimeoutMin + base::Duration(pick(Random));
}

base::Duration Replica::leaseDuration() const {
  const auto whole = Config.ElectionTimeoutMin;
  return whole - whole * Config.ClockDriftPerMille / 1000;
}

bool Replica::isVoter() const {
  return contains(Log.membership().Voters, Config.Self);
}

bool Replica::mayCampaign() const {
  if (isVoter())
    return true;
  // This replica's removal may be in its own log only and not committed. The
  // others may then need its vote, which its longer log denies them, or its
  // election.
  const LogIndex index = Log.membershipIndex();
  return index > CommitIndex &&
         contains(Log.membershipAt(index - 1).Voters, Config.Self);
}

bool Replica::mayCampaignAtOnce() const {
  const auto &voters = Log.membership().Voters;
  if (voters.size() != 1 || voters.front() != Config.Self)
    return false;
  // A membership that may be uncommitted does not rule out other leaders.
  return Term == 0 || Log.membershipIndex() <= Log.snapshot()->Index;
}

base::MonoTime Replica::nextWake() const {
  if (CurrentRole != Role::Leader)
    return ElectionDeadline;
  base::MonoTime at = NextHeartbeat;
  at = std::min(at, std::max(quorumContact(), LeaderSince) + leaseDuration());
  if (PendingTransfer)
    at = std::min(at, PendingTransfer->Deadline);
  return at;
}

void Replica::finishStep() {
  const bool changed = Term != PersistedTerm || VotedFor != PersistedVote;
  if (!Out.Persist && !changed) {
    // The messages may acknowledge contents of an earlier write request that
    // is not synced yet.
    if (!Persists.isIdle())
      return;
    for (Message &it : Out.SendAfterPersist)
      Out.Send.push_back(std::move(it));
    Out.SendAfterPersist.clear();
    return;
  }
  PersistRequest &request = persist();
  request.PersistId = Persists.start(Log.lastIndex());
  request.Term = PersistedTerm = Term;
  request.VotedFor = PersistedVote = VotedFor;
  if (SelfVotePending) {
    SelfVotePending = false;
    SelfVoteNumber = request.PersistId;
  }
}

PersistRequest &Replica::persist() {
  if (!Out.Persist)
    Out.Persist.emplace();
  return *Out.Persist;
}

Message Replica::makeMessage(const ReplicaId &to, MessageBody body) const {
  return {Config.Self, to, Term, std::move(body)};
}

void Replica::send(const ReplicaId &to, MessageBody body) {
  Out.Send.push_back(makeMessage(to, std::move(body)));
}

void Replica::sendAfterPersist(const ReplicaId &to, MessageBody body) {
  Out.SendAfterPersist.push_back(makeMessage(to, std::move(body)));
}

} // namespace magnoliamill::consensus::internal
