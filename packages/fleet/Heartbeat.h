// What targets and operators tell a fleet, apart from how it is written.
#pragma once

#include "base/Result.h"
#include "fleet/View.h"
#include "keyspace/GrantController.h"
#include "routing/ConfigItems.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliamill::fleet {

/// A target's heartbeat.
struct Heartbeat {
  /// Life, sequence number, address, service, data centre, slots and state.
  Target Sender;
  /// What it holds and has released; empty for services without keys.
  std::vector<keyspace::HeldRange> Holds;
  std::vector<keyspace::ReleasedRange> Released;
};

struct HeartbeatAnswer {
  /// Where the next heartbeat is answered without a detour: HOST:PORT.
  std::string NextAddress;
  /// Everything that the target is to hold; nothing renews nothing.
  std::optional<std::vector<keyspace::GrantRow>> Rows;
  base::Duration HoldTime{};
};

/// Writes and reads what targets and operators send. The adapter of a platform
/// provides it; errors are AnnouncementInvalid and ValueInvalid or 1xxx.
struct ControlFormat {
  std::function<base::Result<Heartbeat>(std::string_view id,
                                        std::string_view body)>
      ReadHeartbeat;
  std::function<std::string(const HeartbeatAnswer &)> WriteHeartbeatAnswer;
  /// Bytes that a row takes in an answer.
  std::function<std::size_t(const keyspace::GrantRow &)> CountRowBytes;
  /// The start of the process that leaves, when the call names it.
  std::function<std::optional<std::uint64_t>(std::string_view body)>
      ReadLeaveStartTime;
  std::function<base::Result<routing::ConfigItems>(std::string_view body)>
      ReadConfigChange;
  std::function<std::string(const routing::ConfigItems &)> WriteConfig;
  std::function<std::string(const base::Error &)> WriteError;
};

} // namespace magnoliamill::fleet
