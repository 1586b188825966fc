// Builds the inputs of the membership policy from what the links have received.
#include "fleet/internal/GroupMembership.h"

#include "base/Log.h"

#include <algorithm>

namespace magnoliamill::fleet::internal {

namespace {

constexpr std::size_t MaxVoters = 5;
constexpr base::Duration DecisionInterval = std::chrono::milliseconds(200);
/// A voter that is silent for longer is replaced by a caught-up learner, and a
/// learner is removed.
constexpr base::Duration SilentMemberTime = std::chrono::milliseconds(2500);
/// Longer than an election, so that ordinary elections are not reported.
constexpr base::Duration LeaderReportInterval = std::chrono::seconds(2);

std::vector<std::string>
formatReplicas(const std::vector<consensus::ReplicaId> &replicas) {
  std::vector<std::string> out;
  out.reserve(replicas.size());
  for (const auto &it : replicas)
    out.push_back(it.Vm.Value + "/" + std::to_string(it.Incarnation));
  return out;
}

std::vector<std::string> formatVms(const std::set<base::VmId> &vms) {
  std::vector<std::string> out;
  out.reserve(vms.size());
  for (const auto &it : vms)
    out.push_back(it.Value);
  return out;
}

} // namespace

std::optional<consensus::Membership>
GroupMembership::decide(const consensus::ReplicaCore &core,
                        const std::map<std::string, CorePeer> &peers,
                        base::MonoTime LeadingSince, base::MonoTime now) {
  if (!core.isMembershipCommitted() ||
      (now < NextDecision && core.membership() == Decided))
    return std::nullopt;
  NextDecision = now + DecisionInterval;
  Decided = core.membership();
  const auto inputs = makeInputs(core, peers, LeadingSince, now);
  auto next = node::decideMembership(inputs);
  if (next)
    base::logInfo("fleet", "a membership change is proposed",
                  {{"voters", formatReplicas(next->Voters)},
                   {"learners", formatReplicas(next->Learners)},
                   {"silent", formatVms(inputs.Silent)},
                   {"index", core.lastIndex()},
                   {"term", core.term()}});
  return next;
}

node::MembershipInputs
GroupMembership::makeInputs(const consensus::ReplicaCore &core,
                            const std::map<std::string, CorePeer> &peers,
                            base::MonoTime LeadingSince,
                            base::MonoTime now) const {
  node::MembershipInputs inputs;
  inputs.CurrentMembership = core.membership();
  inputs.KeepsStandbys = true;
  inputs.MinVoters = 2 * Config.LossTolerance + 1;
  inputs.MaxVoters = std::max(MaxVoters, inputs.MinVoters);
  inputs.Leader = Config.Self.Vm;
  inputs.DataCentres[inputs.Leader] = Config.DataCentre;
  inputs.IsCaughtUp = [&](const auto &id) { return core.isCaughtUp(id); };
  // A new leader may not have received anything from some members yet.
  const bool MayJudgeSilence = now - LeadingSince > SilentMemberTime;
  for (const auto &[host, peer] : peers) {
    const base::VmId vm(host);
    inputs.DataCentres[vm] = peer.DataCentre;
    if (now - peer.LastHeard > SilentMemberTime) {
      if (MayJudgeSilence)
        inputs.Silent.insert(vm);
      continue;
    }
    inputs.Candidates[vm] = peer.Incarnation;
    inputs.Registered.insert(vm);
  }
  for (const auto *list :
       {&inputs.CurrentMembership.Voters, &inputs.CurrentMembership.Learners})
    for (const auto &member : *list)
      inputs.Registered.insert(member.Vm);
  // A member that has never contacted this leader counts as silent, too.
  for (const auto &vm : inputs.Registered)
    if (MayJudgeSilence && vm != inputs.Leader && !peers.contains(vm.Value))
      inputs.Silent.insert(vm);
  return inputs;
}

void GroupMembership::report(const consensus::ReplicaCore &core,
                             const std::map<std::string, CorePeer> &peers,
                             base::MonoTime now) {
  const auto &members = core.membership();
  if (members != Reported) {
    Reported = members;
    base::logInfo("fleet", "the membership has changed",
                  {{"voters", formatReplicas(members.Voters)},
                   {"learners", formatReplicas(members.Learners)},
                   {"index", core.lastIndex()},
                   {"committed", core.commitIndex()},
                   {"term", core.term()}});
  }
  if (core.leader()) {
    LeaderSeenAt = now;
    return;
  }
  if (now - LeaderSeenAt < LeaderReportInterval || now < NextLeaderReport)
    return;
  NextLeaderReport = now + LeaderReportInterval;
  std::vector<std::string> missing;
  for (const auto &voter : members.Voters) {
    const auto it = peers.find(voter.Vm.Value);
    const bool IsReached = it != peers.end() &&
                           now - it->second.LastHeard <= SilentMemberTime &&
                           it->second.Incarnation == voter.Incarnation;
    if (voter != Config.Self && !IsReached)
      missing.push_back(voter.Vm.Value);
  }
  base::logWarning(
      "fleet", base::ResultCode::NoQuorum, "the group has no leader",
      {{"voters", formatReplicas(members.Voters)},
       {"missing", missing},
       {"index", core.lastIndex()},
       {"committed", core.commitIndex()},
       {"term", core.term()},
       {"since_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                        now - LeaderSeenAt)
                        .count()}});
}

} // namespace magnoliamill::fleet::internal
