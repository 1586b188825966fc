// Decides the next membership of a group: replaces members whose VM restarted
// without its state, spreads the voters over data centres, replaces voters that
// are lost, and removes members whose VM an operator removed.
#pragma once

#include "base/Ids.h"
#include "consensus/Types.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace magnoliamill::node {

struct MembershipInputs {
  consensus::Membership CurrentMembership;
  /// VMs that are to be replicas and have reported recently, with their newest
  /// incarnation. A new leader has members that are neither here nor in Silent.
  std::map<base::VmId, std::uint64_t> Candidates;
  /// VMs that operators have registered; members on other VMs are removed.
  std::set<base::VmId> Registered;
  /// Members that have not reported for a long time. A silent voter is replaced
  /// by a caught-up learner of another VM.
  std::set<base::VmId> Silent;
  /// Data centres of the members and candidates, if the voters are to be spread
  /// over them.
  std::map<base::VmId, std::string> DataCentres;
  /// The VM of the leader, which is not demoted.
  base::VmId Leader;
  std::function<bool(const consensus::ReplicaId &)> IsCaughtUp;
  std::size_t MaxVoters = 5;
  /// The group is not reduced below this number of voters: with fewer, a commit
  /// would be on too few disks for the losses that the group must survive.
  std::size_t MinVoters = 3;
  /// Keeps the number of voters odd and the other candidates as learners, ready
  /// to replace a voter. If false, learners are only added to become voters.
  bool KeepsStandbys = false;
};

/// Returns the next membership to propose, one step from the current one, or
/// nothing when no change is due. A new member first receives the log as a
/// learner and becomes a voter when it has caught up.
///
/// A voter is not removed for being silent alone, but only when its VM
/// restarted with a new incarnation, when an operator removed its VM, or when
/// the number of voters is even, where a majority of the others needs one voter
/// less. A caught-up learner that replaces a voter is therefore promoted first:
/// each step leaves a group that tolerates the losses that it did before.
std::optional<consensus::Membership>
decideMembership(const MembershipInputs &inputs);

} // namespace magnoliamill::node
