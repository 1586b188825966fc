// The settings of a VM in a fleet deployment and the check of its settings
// file.
#pragma once

#include "base/Log.h"
#include "base/Time.h"
#include "settings/Fault.h"
#include "settings/NodeSettings.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliamill::fleet {

enum class Duty { Entry, Core };
enum class ControlBodyFormat { Json, Cbor };

struct FleetSettings {
  /// "vm"
  std::string Vm;
  /// "data_centre"
  std::string DataCentre;
  /// "duty": "entry" or "core"
  Duty VmDuty = Duty::Entry;
  /// "host": numeric IP of this VM.
  std::string Host;
  /// "link_port": port on which cores accept links; the same on all VMs.
  std::uint16_t LinkPort = 0;
  /// "seeds": HOST:PORT of cores that accept heartbeats and operators' calls.
  std::vector<settings::ListenAddress> Seeds;

  /// "client_listen" and "readiness_listen" of an entry.
  settings::ListenAddress ClientListen;
  settings::ListenAddress ReadinessListen;

  /// "control_listen" of a core.
  settings::ListenAddress ControlListen;
  /// "metrics_port": 0 for none.
  std::uint16_t MetricsPort = 0;
  /// "control_body": format of the answers to targets and operators.
  ControlBodyFormat Body = ControlBodyFormat::Json;
  /// "data_folder" of a core.
  std::string DataFolder;
  /// "found": true on the first start of the whole fleet, with empty disks; the
  /// seeds then create the group.
  bool IsFirstStart = false;

  /// "data_centres" of the deployment; empty if they are not stated.
  std::vector<std::string> DataCentres;
  /// "balance_by_load": whether stripes are placed by measured load.
  bool BalancesByLoad = false;

  /// "loss_tolerance": cores whose disks may be lost at once without losing
  /// acknowledged changes.
  std::uint32_t LossTolerance = 1;

  /// "heartbeat_interval_ms" of the targets.
  base::Duration HeartbeatInterval = std::chrono::milliseconds(1000);
  /// "hold_ms": how long a target keeps its stripes after a heartbeat.
  base::Duration HoldTime = std::chrono::seconds(4);
  /// "target_drain_ms": how long a target that leaves still gets requests.
  base::Duration TargetDrainTime = std::chrono::seconds(2);
  /// "stop_grace_s": time from SIGTERM to the forced exit.
  base::Duration StopGrace = std::chrono::seconds(6);
  /// "warm_up_overrun" and "warm_up_slack": the requests that a target may get
  /// in any second of its warm-up are the rate of its service, times the first,
  /// plus the second.
  double WarmUpOverrun = 1;
  double WarmUpSlack = 0;
  /// "retry_percent": retries allowed per 100 requests of a service.
  std::uint32_t RetryPercent = 10;
  /// "link_mbps": bandwidth of this VM's network link in Mbit/s; 0 for no
  /// limit.
  double LinkMbps = 0;
  /// "memory_mb": memory that the process may use.
  std::size_t MemoryBytes = std::size_t{256} << 20;
  /// "log_level"
  base::LogLevel LogLevel = base::LogLevel::Info;
};

struct CheckedFleetSettings {
  /// Set when there are no faults.
  std::optional<FleetSettings> Settings;
  std::vector<settings::Fault> Faults;
};

/// Checks the whole file and reports all faults, each with a 1xxx code.
CheckedFleetSettings checkFleetSettings(std::string_view text);

/// True when \p text is the settings file of a VM in a fleet: it has "duty".
bool isFleetSettings(std::string_view text);

} // namespace magnoliamill::fleet
