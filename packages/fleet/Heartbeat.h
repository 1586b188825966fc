// Heartbeats of targets, their answers and the calls of operators, independent
// of the platform's format.
#pragma once

#include "base/Result.h"
#include "fleet/View.h"
#include "keyspace/GrantController.h"
#include "protocol/Messages.h"
#include "routing/ConfigItems.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliamill::fleet {

/// A target's heartbeat.
struct Heartbeat {
  /// Instance, sequence number, address, service, data centre, slots and state
  /// of the sender.
  Target Sender;
  /// Key ranges that the sender holds and has released; empty for services
  /// without keys.
  std::vector<keyspace::HeldRange> Holds;
  std::vector<keyspace::ReleasedRange> Released;
  /// Both lists were given, which a heartbeat of a service with keys requires.
  bool HasKeyLists = true;
  /// The leader already had the sender, at the same address.
  bool IsIdentified = true;
};

struct HeartbeatAnswer {
  /// Address of the leader, which answers the next heartbeat directly:
  /// HOST:PORT.
  std::string NextAddress;
  /// All key ranges that the target is to hold. Without a value, the answer
  /// renews nothing.
  std::optional<std::vector<keyspace::GrantRow>> Rows;
  base::Duration HoldTime{};
};

/// Reads the calls of targets and operators and writes the answers. Supplied by
/// the platform's adapter. Errors of reading: AnnouncementInvalid,
/// ValueInvalid, 1xxx.
struct ControlFormat {
  std::function<base::Result<Heartbeat>(std::string_view id,
                                        std::string_view body)>
      ReadHeartbeat;
  std::function<std::string(const HeartbeatAnswer &)> WriteHeartbeatAnswer;
  /// Size of a row in an answer, in bytes.
  std::function<std::size_t(const keyspace::GrantRow &)> CountRowBytes;
  /// Start time of the leaving process in Unix milliseconds, if the call gives
  /// it.
  std::function<std::optional<std::uint64_t>(std::string_view body)>
      ReadLeaveStartTime;
  /// Id of the target that wrote the answer to a health check; empty if it
  /// names none.
  std::function<std::string(const std::vector<protocol::HttpHeader> &headers)>
      ReadHealthId;
  std::function<base::Result<routing::ConfigItems>(std::string_view body)>
      ReadConfigChange;
  std::function<std::string(const routing::ConfigItems &)> WriteConfig;
  std::function<std::string(const base::Error &)> WriteError;
};

} // namespace magnoliamill::fleet
