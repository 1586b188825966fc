// The input of the leader's planners and the queries that they share.
#pragma once

#include "ownership/Controller.h"
#include "ownership/internal/LeaseTable.h"
#include "ownership/internal/Proposals.h"
#include "settings/View.h"

#include <map>
#include <string>

namespace magnoliamill::ownership::internal {

/// The last announcement of a target and when it arrived.
struct ReceivedAnnouncement {
  Announcement Target;
  base::MonoTime At;
};
using ReceivedAnnouncements =
    std::map<base::TargetInstanceId, ReceivedAnnouncement>;

/// Valid during one planning round.
struct PlanContext {
  const ControllerConfig &Config;
  const View &Ownership;
  const settings::View &Settings;
  const ReceivedAnnouncements &Announcements;
  LeaseTable &Leases;
  Proposals &Out;
  /// When a slot was last taken from a target that leaves by a date.
  std::map<base::TargetInstanceId, base::MonoTime> &LastEvacuation;
  base::MonoTime Now;
  std::int64_t WallMs = 0;

  const settings::ServiceView *
  findService(const base::ServiceId &service) const;
  /// The operator's settings for a target; default values if there are none.
  settings::TargetRule ruleFor(const TargetView &target) const;
  /// True when the settings allow a target on \p host to serve \p service in
  /// this data centre.
  bool isAllowed(const base::ServiceId &service, const std::string &host) const;
  /// The report of the target's dispatcher; null if it sent none in this term.
  const DispatchReport *findDispatcherReport(const TargetView &target) const;
  bool isReady(const TargetView &target) const;
  bool isLost(const TargetView &target) const;
  /// True when a VM with several targets gets no answer from any of them while
  /// other VMs reach theirs: the VM has then more likely lost its network than
  /// all targets have failed.
  bool isIsolated(const LeaseHolderId &holder) const;
  /// When the target last announced itself to this leader, or the start of the
  /// term if it has not since.
  base::MonoTime lastAnnouncedAt(const base::TargetInstanceId &instance) const;
};

/// True when another instance with the target's name and service is not lost.
bool hasSuccessor(const View &view, const TargetView &target);

} // namespace magnoliamill::ownership::internal
