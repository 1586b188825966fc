// Commands that the cores of a fleet replicate through their consensus log, and
// their encoding.
#pragma once

#include "base/Result.h"
#include "consensus/Types.h"
#include "keyspace/Types.h"
#include "routing/ConfigItems.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace magnoliamill::fleet {

/// A target has announced that it leaves. Once this is committed, it gets no
/// new work.
struct TargetDeparture {
  keyspace::TargetInstance Instance;
  /// Log indices of earlier departures, which are forgotten with this command.
  std::vector<consensus::LogIndex> Expired = {};
};

/// The targets of a data centre get no requests, or may get them again.
struct Evacuation {
  std::string DataCentre;
  bool IsActive = true;
};

using Command =
    std::variant<routing::ConfigItems, keyspace::KeyAssignment, TargetDeparture,
                 Evacuation, keyspace::GrantRecord>;

std::string encodeCommand(const Command &command);
/// Error: LogDamaged when \p bytes are malformed.
base::Result<Command> decodeCommand(std::string_view bytes);

} // namespace magnoliamill::fleet
