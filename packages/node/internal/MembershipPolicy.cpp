// Membership changes, one step at a time.
#include "node/MembershipPolicy.h"

#include <algorithm>

namespace magnoliamill::node {
namespace {

using consensus::Membership;
using consensus::ReplicaId;

auto findVm(const std::vector<ReplicaId> &replicas, const base::VmId &vm) {
  return std::ranges::find(replicas, vm, &ReplicaId::Vm);
}

bool isEven(std::size_t n) { return n % 2 == 0; }

std::string dataCentreOf(const MembershipInputs &inputs, const base::VmId &vm) {
  auto it = inputs.DataCentres.find(vm);
  return it == inputs.DataCentres.end() ? std::string() : it->second;
}

/// Voters that are not silent in the data centre of \p vm.
std::size_t countVotersNear(const MembershipInputs &inputs,
                            const base::VmId &vm) {
  const auto centre = dataCentreOf(inputs, vm);
  return std::ranges::count_if(
      inputs.CurrentMembership.Voters, [&](const auto &voter) {
        return !inputs.Silent.contains(voter.Vm) &&
               dataCentreOf(inputs, voter.Vm) == centre;
      });
}

std::optional<Membership> removeObsolete(const MembershipInputs &inputs) {
  Membership next = inputs.CurrentMembership;
  // A learner of an earlier incarnation no longer exists and never answers. A
  // silent standby is added again when it returns.
  auto stale = std::ranges::find_if(next.Learners, [&](const auto &learner) {
    auto it = inputs.Candidates.find(learner.Vm);
    bool superseded =
        it != inputs.Candidates.end() && it->second != learner.Incarnation;
    return superseded || !inputs.Registered.contains(learner.Vm) ||
           (inputs.KeepsStandbys && inputs.Silent.contains(learner.Vm));
  });
  if (stale != next.Learners.end()) {
    next.Learners.erase(stale);
    return next;
  }
  auto removed = std::ranges::find_if(next.Voters, [&](const auto &voter) {
    return !inputs.Registered.contains(voter.Vm);
  });
  if (removed == next.Voters.end() || next.Voters.size() == 1)
    return std::nullopt;
  next.Voters.erase(removed);
  return next;
}

/// The caught-up learners on VMs without a voter, those whose data centre has
/// the fewest voters first.
std::vector<ReplicaId> findPromotable(const MembershipInputs &inputs) {
  std::vector<ReplicaId> found;
  for (const auto &learner : inputs.CurrentMembership.Learners)
    if (inputs.IsCaughtUp(learner) && !inputs.Silent.contains(learner.Vm) &&
        findVm(inputs.CurrentMembership.Voters, learner.Vm) ==
            inputs.CurrentMembership.Voters.end())
      found.push_back(learner);
  std::ranges::stable_sort(found, {}, [&](const auto &learner) {
    return countVotersNear(inputs, learner.Vm);
  });
  return found;
}

Membership withoutVoter(const MembershipInputs &inputs,
                        const ReplicaId &voter) {
  Membership next = inputs.CurrentMembership;
  std::erase(next.Voters, voter);
  return next;
}

Membership withPromoted(const MembershipInputs &inputs,
                        const ReplicaId &learner) {
  Membership next = inputs.CurrentMembership;
  std::erase(next.Learners, learner);
  next.Voters.push_back(learner);
  return next;
}

std::optional<ReplicaId> findSilentVoter(const MembershipInputs &inputs) {
  for (const auto &voter : inputs.CurrentMembership.Voters)
    if (inputs.Silent.contains(voter.Vm))
      return voter;
  return std::nullopt;
}

/// A voter other than the leader in the data centre that has the most voters.
std::optional<ReplicaId> findCrowdedVoter(const MembershipInputs &inputs) {
  std::optional<ReplicaId> found;
  std::size_t most = 0;
  for (const auto &voter : inputs.CurrentMembership.Voters) {
    const auto n = countVotersNear(inputs, voter.Vm);
    if (voter.Vm == inputs.Leader || n <= most)
      continue;
    most = n;
    found = voter;
  }
  return found;
}

std::optional<Membership> replaceIncarnation(const MembershipInputs &inputs) {
  for (const auto &learner : inputs.CurrentMembership.Learners) {
    Membership next = inputs.CurrentMembership;
    auto old = std::ranges::find(next.Voters, learner.Vm, &ReplicaId::Vm);
    if (old == next.Voters.end() || !inputs.IsCaughtUp(learner))
      continue;
    *old = learner;
    std::erase(next.Learners, learner);
    return next;
  }
  return std::nullopt;
}

/// True when a data centre has at least two more voters than the one of
/// \p learner.
bool isCrowded(const MembershipInputs &inputs, const ReplicaId &learner) {
  const auto crowded = findCrowdedVoter(inputs);
  return crowded && countVotersNear(inputs, crowded->Vm) >=
                        countVotersNear(inputs, learner.Vm) + 2;
}

/// True when this leader has received something from each voter since it
/// started, or waited long enough for it.
bool isEachVoterJudged(const MembershipInputs &inputs) {
  return std::ranges::all_of(
      inputs.CurrentMembership.Voters, [&](const auto &voter) {
        return voter.Vm == inputs.Leader || inputs.Silent.contains(voter.Vm) ||
               inputs.Candidates.contains(voter.Vm);
      });
}

bool mayDemote(const MembershipInputs &inputs) {
  const std::size_t n = inputs.CurrentMembership.Voters.size();
  return inputs.KeepsStandbys && isEven(n) && n > inputs.MinVoters;
}

/// Removes a silent voter from an even number: a majority of the others needs
/// one voter less.
std::optional<Membership> demoteSilent(const MembershipInputs &inputs) {
  const auto silent = findSilentVoter(inputs);
  if (!mayDemote(inputs) || !silent)
    return std::nullopt;
  return withoutVoter(inputs, *silent);
}

/// Adds a voter when the number stays odd, or when the learner replaces a
/// silent or surplus voter, which the next step removes from the even number.
std::optional<Membership> promote(const MembershipInputs &inputs) {
  const auto promotable = findPromotable(inputs);
  if (promotable.empty())
    return std::nullopt;
  const auto &learner = promotable.front();
  const std::size_t n = inputs.CurrentMembership.Voters.size();
  const bool Replaces = inputs.KeepsStandbys && !isEven(n) &&
                        (findSilentVoter(inputs) || isCrowded(inputs, learner));
  const bool EndsEven =
      inputs.KeepsStandbys && !isEven(n) && promotable.size() < 2;
  if (!Replaces && (n >= inputs.MaxVoters || EndsEven))
    return std::nullopt;
  return withPromoted(inputs, learner);
}

/// Makes an even number of voters odd when none of them is silent.
std::optional<Membership> demoteCrowded(const MembershipInputs &inputs) {
  const auto crowded = findCrowdedVoter(inputs);
  if (!mayDemote(inputs) || !isEachVoterJudged(inputs) || !crowded)
    return std::nullopt;
  return withoutVoter(inputs, *crowded);
}

std::optional<Membership> addLearner(const MembershipInputs &inputs) {
  const Membership &present = inputs.CurrentMembership;
  std::optional<ReplicaId> best;
  for (const auto &[vm, incarnation] : inputs.Candidates) {
    if (!inputs.Registered.contains(vm) ||
        findVm(present.Learners, vm) != present.Learners.end())
      continue;
    auto voter = findVm(present.Voters, vm);
    bool replaces = voter != present.Voters.end();
    if (replaces && voter->Incarnation >= incarnation)
      continue;
    if (!replaces && !inputs.KeepsStandbys &&
        present.Voters.size() >= inputs.MaxVoters)
      continue;
    if (!best ||
        countVotersNear(inputs, vm) < countVotersNear(inputs, best->Vm))
      best = {vm, incarnation};
    if (replaces)
      break;
  }
  if (!best)
    return std::nullopt;
  Membership next = present;
  next.Learners.push_back(*best);
  return next;
}

} // namespace

std::optional<Membership> decideMembership(const MembershipInputs &inputs) {
  for (const auto decide : {removeObsolete, replaceIncarnation, demoteSilent,
                            promote, demoteCrowded, addLearner})
    if (auto next = decide(inputs))
      return next;
  return std::nullopt;
}

} // namespace magnoliamill::node
