// What the leader's decisions are taken from.
#pragma once

#include "ownership/Controller.h"
#include "ownership/internal/LeaseTable.h"
#include "ownership/internal/Proposals.h"
#include "settings/View.h"

#include <map>
#include <string>

namespace magnoliamill::ownership::internal {

struct ReceivedAnnouncement {
  Announcement Target;
  base::MonoTime At;
};
using ReceivedAnnouncements =
    std::map<base::TargetInstanceId, ReceivedAnnouncement>;

/// Valid during one round of decisions.
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
  /// The operators' word about a target; all preset when there is none.
  settings::TargetRule ruleFor(const TargetView &target) const;
  /// True when the settings let the target serve here.
  bool isAllowed(const base::ServiceId &service, const std::string &host) const;
  /// The report of the target's dispatcher; empty when it has none in this
  /// term.
  const DispatchReport *findDispatcherReport(const TargetView &target) const;
  bool isReady(const TargetView &target) const;
  bool isLost(const TargetView &target) const;
  /// True when a VM with several targets gets no answer from any of them, while
  /// other VMs reach theirs: then rather the VM is cut off than the targets are
  /// gone.
  bool isIsolated(const LeaseHolderId &holder) const;
  /// When the target last announced itself, as far as this leader can know.
  base::MonoTime lastAnnouncedAt(const base::TargetInstanceId &instance) const;
};

/// True when another run of the target's process has taken its name over.
bool hasSuccessor(const View &view, const TargetView &target);

} // namespace magnoliamill::ownership::internal
