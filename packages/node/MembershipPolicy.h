// Decides the next membership of a group: replaces members whose VM restarted
// without its state, adds candidates, and removes members whose VM an operator
// removed.
#pragma once

#include "base/Ids.h"
#include "consensus/Types.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>

namespace magnoliamill::node {

struct MembershipInputs {
  consensus::Membership CurrentMembership;
  /// VMs that are to be replicas and have reported recently, with their newest
  /// incarnation.
  std::map<base::VmId, std::uint64_t> Candidates;
  /// VMs that operators have registered; members on other VMs are removed.
  std::set<base::VmId> Registered;
  /// Voters that have not reported for a long time. One of them is replaced by
  /// a caught-up learner of another VM; without such a learner they stay.
  std::set<base::VmId> Silent;
  std::function<bool(const consensus::ReplicaId &)> IsCaughtUp;
  std::size_t MaxVoters = 5;
};

/// Returns the next membership to propose, one step from the current one, or
/// nothing when no change is due. A member is not removed for being silent
/// alone, but only when its VM restarted with a new incarnation, when an
/// operator removed its VM, or when a caught-up learner replaces it. A new
/// member first receives the log as a learner and becomes a voter when it has
/// caught up.
std::optional<consensus::Membership>
decideMembership(const MembershipInputs &inputs);

} // namespace magnoliamill::node
