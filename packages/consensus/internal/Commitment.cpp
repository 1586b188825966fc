// Advances the commit index and completes proposals and reads.
#include "consensus/internal/Quorum.h"
#include "consensus/internal/Replica.h"

namespace magnoliamill::consensus::internal {

void Replica::commitByQuorum() {
  if (CurrentRole != Role::Leader)
    return;
  const auto index = reachedByQuorum<LogIndex>(
      Log.membership().Voters, [this](const ReplicaId &id) {
        if (id == Config.Self)
          return Persists.stableIndex();
        const auto it = Peers.find(id);
        return it == Peers.end() ? LogIndex(0) : it->second.Match;
      });
  // An entry of an earlier term can be overwritten even if a quorum stores it.
  // It is committed together with the first entry of this term.
  if (index <= CommitIndex || Log.termAt(index) != Term)
    return;
  commitUpTo(index);
  resolveProposals();
  resolveReads();
  replicateToAll(true);
  const bool removed = !isVoter() && Log.membershipIndex() <= CommitIndex;
  if (removed)
    becomeFollower(Term, std::nullopt);
}

void Replica::commitUpTo(LogIndex index) {
  while (CommitIndex < std::min(index, Log.lastIndex()))
    Out.Committed.push_back(Log.at(++CommitIndex));
}

void Replica::resolveProposals() {
  while (!Proposals.empty() && Proposals.front().Index <= CommitIndex) {
    Out.Proposals.push_back({Proposals.front().Id, Proposals.front().Index});
    Proposals.pop_front();
  }
}

std::uint64_t Replica::quorumRound() const {
  return reachedByQuorum<std::uint64_t>(
      Log.membership().Voters, [this](const ReplicaId &id) {
        if (id == Config.Self)
          return Rounds.current();
        const auto it = Peers.find(id);
        return it == Peers.end() ? std::uint64_t(0) : it->second.AckedRound;
      });
}

void Replica::startReadRound() {
  // Only one read round is pending at a time; reads that arrive meanwhile share
  // the next one.
  const std::uint64_t confirmed = quorumRound();
  bool waiting = false;
  for (const PendingRead &it : Reads) {
    if (it.Round > confirmed)
      return;
    waiting = waiting || it.Round == 0;
  }
  if (!waiting)
    return;
  startRound();
  for (PendingRead &it : Reads)
    if (it.Round == 0)
      it.Round = Rounds.current();
  replicateToAll(true);
}

void Replica::resolveReads() {
  if (CurrentRole != Role::Leader || CommitIndex < FirstIndexOfTerm)
    return;
  const std::uint64_t confirmed = quorumRound();
  while (!Reads.empty() && Reads.front().Round != 0 &&
         Reads.front().Round <= confirmed) {
    Out.Reads.push_back({Reads.front().Id, CommitIndex});
    Reads.pop_front();
  }
  startReadRound();
}

} // namespace magnoliamill::consensus::internal
