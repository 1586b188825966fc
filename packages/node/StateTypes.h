// Types and time limits that the modules on the state thread share.
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

/// Report that a VM sends every ReportInterval to the VMs that may hold
/// replicas of the settings group and to those of its data centre.
struct NodeReport {
  base::VmId Vm;
  base::DataCentreId DataCentre;
  /// The settings index in force on this VM.
  consensus::LogIndex InForce = 0;
  /// Incarnation of its replica of the settings group; 0 when it holds none.
  std::uint64_t SettingsIncarnation = 0;
  /// Its replica of the data-centre group.
  settings::ReplicaReport DataCentreReplica;
};

std::string encodeNodeReport(const NodeReport &report);
base::Result<NodeReport> decodeNodeReport(std::string_view text);

constexpr base::Duration ReportInterval = std::chrono::milliseconds(300);
/// Older reports are ignored when the membership is decided.
constexpr base::Duration ReportLifetime = std::chrono::seconds(2);
/// Timeout of control calls between VMs.
constexpr base::Duration ControlTimeout = std::chrono::milliseconds(400);

} // namespace magnoliamill::node
