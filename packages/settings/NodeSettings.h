// The daemon's settings file.
#pragma once

#include "base/HostPort.h"
#include "base/Ids.h"
#include "base/Log.h"
#include "base/Result.h"
#include "settings/Fault.h"
#include "settings/View.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliamill::settings {

using ListenAddress = base::HostPort;

/// The optional fields of "limits".
struct NodeLimits {
  /// "max_connections"
  std::size_t MaxConnections = 4096;
  /// "max_header_bytes"
  std::size_t MaxHeaderBytes = 16u << 10;
  /// "max_body_bytes"
  std::size_t MaxBodyBytes = 1u << 20;
  /// "max_queued_bytes": total size of the bodies queued on this VM.
  std::size_t MaxQueuedBytes = 64u << 20;
  /// "ring_capacity": capacity of the task ring of each event loop thread.
  std::size_t RingCapacity = 8192;
  /// "max_deadline_ms"
  std::uint32_t MaxDeadlineMs = 60000;
  /// "settings_changes_per_second"
  std::uint32_t SettingsChangesPerSecond = 50;
};

struct NodeSettings {
  base::VmId Vm;
  base::DataCentreId DataCentre;
  ListenAddress PeerListen;
  ListenAddress HttpListen;
  /// The VMs known at the first start, this one included.
  std::vector<VmView> Seeds;
  /// Absolute path; empty when the VM has no disk.
  std::string DataFolder;
  bool SettingsReplica = false;
  bool DataCentreReplica = false;
  /// Lower-case hexadecimal SHA-256 of the administrator's token.
  std::string AdminTokenSha256;
  /// Numeric IPs or prefixes that may announce targets and be their address.
  std::vector<std::string> AllowedTargetHosts;
  NodeLimits Limits;
  base::LogLevel LogLevel = base::LogLevel::Info;
};

/// The result of a check. Settings is set when there are no faults.
struct CheckedNodeSettings {
  std::optional<NodeSettings> Settings;
  std::vector<Fault> Faults;
};

/// Parses and checks the text of a settings file. Reports all faults, with 1xxx
/// codes.
CheckedNodeSettings checkNodeSettings(std::string_view text);

/// True when the numeric IP \p host lies in one of \p prefixes ("10.0.0.0/8",
/// "127.0.0.1", "fd00::/8").
bool isHostAllowed(std::string_view host,
                   const std::vector<std::string> &prefixes);

} // namespace magnoliamill::settings
