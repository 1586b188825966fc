// Pre-votes, elections, and when a replica withholds its vote.
#include "consensus/internal/Quorum.h"
#include "consensus/internal/Replica.h"

namespace magnoliamill::consensus::internal {

void Replica::startPreVote() {
  CurrentRole = Role::PreCandidate;
  LeaderId.reset();
  Votes.clear();
  requestVotes(true, false);
  recordVote(Config.Self);
}

void Replica::startElection(bool transfer) {
  CurrentRole = Role::Candidate;
  LeaderId.reset();
  ++Term;
  VotedFor = Config.Self;
  Votes.clear();
  // Like any vote, this replica's own vote counts only once it is synced.
  SelfVotePending = true;
  SelfVoteNumber.reset();
  resetElectionTimer();
  requestVotes(false, transfer);
}

void Replica::requestVotes(bool PreVote, bool transfer) {
  const VoteRequest body{Log.lastIndex(), Log.lastTerm(), PreVote, transfer};
  for (const ReplicaId &id : Log.membership().Voters) {
    if (id == Config.Self)
      continue;
    if (!PreVote) {
      sendAfterPersist(id, body);
      continue;
    }
    Message message = makeMessage(id, body);
    message.Term = Term + 1;
    Out.Send.push_back(std::move(message));
  }
}

void Replica::receive(const Message &message, const VoteRequest &body) {
  if (isWithholdingVotes() && !body.Transfer)
    return;
  if (body.PreVote)
    return answerPreVote(message, body);
  if (message.Term > Term)
    becomeFollower(message.Term, std::nullopt);
  const bool fresh = !VotedFor || *VotedFor == message.From;
  const bool granted = message.Term == Term && fresh && isUpToDate(body);
  if (granted) {
    VotedFor = message.From;
    resetElectionTimer();
  }
  sendAfterPersist(message.From, VoteReply{false, granted});
}

void Replica::answerPreVote(const Message &message, const VoteRequest &body) {
  const bool granted = message.Term > Term && isUpToDate(body);
  Message reply = makeMessage(message.From, VoteReply{true, granted});
  if (granted)
    reply.Term = message.Term;
  Out.SendAfterPersist.push_back(std::move(reply));
}

void Replica::receive(const Message &message, const VoteReply &body) {
  if (body.PreVote && body.Granted) {
    if (CurrentRole == Role::PreCandidate && message.Term == Term + 1)
      recordVote(message.From);
    return;
  }
  if (message.Term > Term)
    return becomeFollower(message.Term, std::nullopt);
  if (body.PreVote || !body.Granted)
    return;
  if (CurrentRole == Role::Candidate && message.Term == Term)
    recordVote(message.From);
}

void Replica::recordVote(const ReplicaId &voter) {
  Votes.insert(voter);
  const bool won =
      reachedByQuorum<int>(Log.membership().Voters, [&](const ReplicaId &id) {
        return Votes.contains(id) ? 1 : 0;
      }) == 1;
  if (!won)
    return;
  if (CurrentRole == Role::PreCandidate)
    return startElection(false);
  becomeLeader();
}

bool Replica::isWithholdingVotes() const {
  return CurrentRole == Role::Leader || Now < WithholdVotesUntil;
}

bool Replica::isUpToDate(const VoteRequest &request) const {
  if (request.LastTerm != Log.lastTerm())
    return request.LastTerm > Log.lastTerm();
  return request.LastIndex >= Log.lastIndex();
}

void Replica::receive(const Message &message, const TimeoutNow &) {
  if (message.Term != Term || CurrentRole == Role::Leader || !mayCampaign())
    return;
  startElection(true);
}

} // namespace magnoliamill::consensus::internal
