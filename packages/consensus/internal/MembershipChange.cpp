// Checks and proposes membership changes, one at a time.
#include "consensus/MembershipCodec.h"
#include "consensus/internal/Quorum.h"
#include "consensus/internal/Replica.h"

namespace magnoliamill::consensus::internal {

namespace {

std::vector<ReplicaId> findMissing(const std::vector<ReplicaId> &from,
                                   const std::vector<ReplicaId> &in) {
  std::vector<ReplicaId> out;
  for (const ReplicaId &id : from)
    if (!contains(in, id))
      out.push_back(id);
  return out;
}

bool hasRepeated(const Membership &members) {
  std::set<ReplicaId> seen;
  for (const auto *list : {&members.Voters, &members.Learners})
    for (const ReplicaId &id : *list)
      if (!seen.insert(id).second)
        return true;
  return false;
}

} // namespace

void Replica::handle(const ProposeMembership &event) {
  base::Result<void> checked = base::ok();
  if (CurrentRole != Role::Leader)
    checked = base::fail(base::ResultCode::ProposalDropped, "not the leader");
  else
    checked = checkMembershipChange(event.Next);
  if (!checked) {
    failProposal(event.ProposalId, checked.error());
    return;
  }
  const LogIndex index =
      appendAsLeader(EntryKind::Membership, encodeMembership(event.Next));
  Proposals.push_back({index, event.ProposalId});
  refreshPeers();
  replicateToAll(true);
}

base::Result<void>
Replica::checkMembershipChange(const Membership &next) const {
  if (PendingTransfer || Proposals.size() >= Config.MaxPendingProposals)
    return base::fail(
        base::ResultCode::ProposalDropped,
        "leadership transfer in progress or too many pending proposals");
  if (CommitIndex < FirstIndexOfTerm)
    return base::fail(base::ResultCode::MembershipBusy,
                      "the leader has not yet committed an entry of its term");
  if (Log.membershipIndex() > CommitIndex)
    return base::fail(base::ResultCode::MembershipBusy,
                      "an earlier change is not yet committed");
  if (next.Voters.empty() || hasRepeated(next))
    return base::fail(base::ResultCode::ValueInvalid,
                      "no voters, or a replica is listed twice");
  const Membership &present = Log.membership();
  const auto added = findMissing(next.Voters, present.Voters);
  const auto removed = findMissing(present.Voters, next.Voters);
  if (added.size() > 1 || removed.size() > 1)
    return base::fail(base::ResultCode::ValueInvalid,
                      "more than one voter would change");
  // The majorities before and after the replacement of a voter need not
  // overlap, unless the removed voter can never vote again.
  const bool exchanged = !added.empty() && !removed.empty();
  if (exchanged && (added[0].Vm != removed[0].Vm ||
                    added[0].Incarnation <= removed[0].Incarnation))
    return base::fail(base::ResultCode::ValueInvalid,
                      "a voter is replaced only by its own next incarnation");
  if (!added.empty())
    if (auto checked = checkNewVoter(added[0]); !checked)
      return checked;
  return checkReachable(next.Voters);
}

base::Result<void>
Replica::checkReachable(const std::vector<ReplicaId> &voters) const {
  std::size_t reachable = 0;
  for (const ReplicaId &id : voters) {
    const auto it = Peers.find(id);
    const bool heard =
        it != Peers.end() && it->second.ContactSentAt + leaseDuration() > Now;
    if (heard || id == Config.Self)
      ++reachable;
  }
  if (reachable <= voters.size() / 2)
    return base::fail(
        base::ResultCode::NoQuorum,
        "too few of the new voters are reachable to form a quorum");
  return base::ok();
}

base::Result<void> Replica::checkNewVoter(const ReplicaId &voter) const {
  // That the learner's entry is committed proves that a majority without the
  // earlier incarnation has followed this leader since that incarnation ended.
  if (!contains(Log.membership().Learners, voter))
    return base::fail(base::ResultCode::MemberUnknown,
                      "a new voter must first be a learner");
  if (!isCaughtUp(voter))
    return base::fail(base::ResultCode::MemberNotCaughtUp,
                      "the learner has not reached the commit index");
  return base::ok();
}

} // namespace magnoliamill::consensus::internal
