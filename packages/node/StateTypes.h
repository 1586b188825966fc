// What the parts of the state duty share: who a VM is and how it reaches
// others.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "consensus/Types.h"
#include "peer/PeerLinks.h"
#include "settings/HomeController.h"

#include <cstdint>
#include <functional>
#include <string>

namespace magnoliamill::node {

/// What a VM tells the replicas of the settings group and of its data-centre
/// group, at a fixed interval.
struct NodeReport {
  base::VmId Vm;
  base::DataCentreId DataCentre;
  /// The settings index that this VM has in force.
  consensus::LogIndex InForce = 0;
  /// Incarnation of its replica of the settings group; 0 when it is none.
  std::uint64_t SettingsIncarnation = 0;
  /// Its replica of the data-centre group.
  settings::ReplicaReport DataCentreReplica;
};

std::string encodeNodeReport(const NodeReport &report);
base::Result<NodeReport> decodeNodeReport(std::string_view text);

constexpr base::Duration ReportInterval = std::chrono::milliseconds(300);
/// A report older than this no longer counts.
constexpr base::Duration ReportLifetime = std::chrono::seconds(2);
/// Timeout of calls between VMs for control.
constexpr base::Duration ControlTimeout = std::chrono::milliseconds(400);

} // namespace magnoliamill::node
