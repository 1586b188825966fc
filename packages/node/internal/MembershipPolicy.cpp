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

std::optional<Membership> removeObsolete(const MembershipInputs &inputs) {
  Membership next = inputs.CurrentMembership;
  // A learner of an earlier incarnation no longer exists and never answers.
  auto stale = std::ranges::find_if(next.Learners, [&](const auto &learner) {
    auto it = inputs.Candidates.find(learner.Vm);
    bool superseded =
        it != inputs.Candidates.end() && it->second != learner.Incarnation;
    return superseded || !inputs.Registered.contains(learner.Vm);
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

/// Removes one silent voter; the learner that replaces it is promoted in a
/// later step.
std::optional<Membership> removeSilent(const MembershipInputs &inputs) {
  Membership next = inputs.CurrentMembership;
  auto silent = std::ranges::find_if(next.Voters, [&](const auto &voter) {
    return inputs.Silent.contains(voter.Vm);
  });
  if (silent == next.Voters.end())
    return std::nullopt;
  next.Voters.erase(silent);
  return next;
}

std::optional<Membership> promote(const MembershipInputs &inputs) {
  for (const auto &learner : inputs.CurrentMembership.Learners) {
    if (!inputs.IsCaughtUp(learner))
      continue;
    Membership next = inputs.CurrentMembership;
    std::erase(next.Learners, learner);
    auto old = std::ranges::find(next.Voters, learner.Vm, &ReplicaId::Vm);
    if (old != next.Voters.end()) {
      *old = learner;
      return next;
    }
    if (auto without = removeSilent(inputs))
      return without;
    if (next.Voters.size() < inputs.MaxVoters)
      next.Voters.push_back(learner);
    else
      continue;
    return next;
  }
  return std::nullopt;
}

std::optional<Membership> addLearner(const MembershipInputs &inputs) {
  const Membership &present = inputs.CurrentMembership;
  for (const auto &[vm, incarnation] : inputs.Candidates) {
    if (!inputs.Registered.contains(vm) ||
        findVm(present.Learners, vm) != present.Learners.end())
      continue;
    auto voter = findVm(present.Voters, vm);
    bool replaces = voter != present.Voters.end();
    if (replaces && voter->Incarnation >= incarnation)
      continue;
    if (!replaces && present.Voters.size() >= inputs.MaxVoters)
      continue;
    Membership next = present;
    next.Learners.push_back({vm, incarnation});
    return next;
  }
  return std::nullopt;
}

} // namespace

std::optional<Membership> decideMembership(const MembershipInputs &inputs) {
  if (auto next = removeObsolete(inputs))
    return next;
  if (auto next = promote(inputs))
    return next;
  return addLearner(inputs);
}

} // namespace magnoliamill::node
