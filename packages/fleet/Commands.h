// What the cores of a fleet replicate.
#pragma once

#include "base/Result.h"
#include "keyspace/Types.h"
#include "routing/ConfigItems.h"

#include <string>
#include <string_view>
#include <variant>

namespace magnoliamill::fleet {

/// A target that gets no new work, by its own word. Binding once committed.
struct TargetDeparture {
  keyspace::TargetInstance Instance;
};

using Command = std::variant<routing::ConfigItems, keyspace::KeyAssignment,
                             TargetDeparture>;

std::string encodeCommand(const Command &command);
/// Error: LogDamaged.
base::Result<Command> decodeCommand(std::string_view bytes);

} // namespace magnoliamill::fleet
