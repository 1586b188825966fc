// Decides the membership of the core group while this core leads, and logs the
// members in force and the lack of a leader on every core.
#pragma once

#include "consensus/ReplicaCore.h"
#include "fleet/internal/CoreLinks.h"
#include "node/MembershipPolicy.h"

#include <map>
#include <optional>
#include <string>

namespace magnoliamill::fleet::internal {

struct GroupMembershipConfig {
  /// This core and its data centre.
  consensus::ReplicaId Self;
  std::string DataCentre;
  /// Cores whose disks may be lost at once.
  std::size_t LossTolerance = 1;
};

class GroupMembership {
public:
  GroupMembership(GroupMembershipConfig config, base::MonoTime now)
      : Config(std::move(config)), LeaderSeenAt(now) {}

  /// The next membership to propose, or nothing when no change is due or one
  /// is not committed yet. Decides at intervals, and at once after a change, so
  /// that a replacement takes no longer than its commits. \p LeadingSince is
  /// when this core became leader.
  std::optional<consensus::Membership>
  decide(const consensus::ReplicaCore &core,
         const std::map<std::string, CorePeer> &peers,
         base::MonoTime LeadingSince, base::MonoTime now);

  /// Logs changes of the membership, and at intervals that there is no leader.
  void report(const consensus::ReplicaCore &core,
              const std::map<std::string, CorePeer> &peers, base::MonoTime now);

private:
  node::MembershipInputs
  makeInputs(const consensus::ReplicaCore &core,
             const std::map<std::string, CorePeer> &peers,
             base::MonoTime LeadingSince, base::MonoTime now) const;

  GroupMembershipConfig Config;
  base::MonoTime NextDecision;
  /// The members at the last decision.
  consensus::Membership Decided;
  /// The members last logged.
  consensus::Membership Reported;
  base::MonoTime LeaderSeenAt;
  base::MonoTime NextLeaderReport;
};

} // namespace magnoliamill::fleet::internal
