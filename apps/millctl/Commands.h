// Declares the commands of millctl and runs them.
#pragma once

#include "ApiClient.h"
#include "Options.h"

#include <cstddef>
#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliamill::millctl {

/// The API client, flags and streams that a command uses.
struct CommandContext {
  ApiClient &Api;
  const Options &Flags;
  std::istream &In;
  std::ostream &Out;
};

/// The positional arguments after the command's name.
using Arguments = std::span<const std::string>;

struct CommandInfo {
  std::string_view Name;
  std::string_view Usage;
  std::string_view Summary;
  std::size_t MinArguments;
  std::size_t MaxArguments;
  base::Result<void> (*Run)(CommandContext &context, Arguments arguments);
};

/// All commands, in the order in which the help lists them.
std::span<const CommandInfo> describeCommands();

/// Runs the command named in the options and returns the exit code. Errors are
/// written to \p err together with a hint on what to do next.
int runCommand(CommandContext context, std::ostream &err);

void printHelp(std::ostream &out);

// ---- SettingsCommands.cpp ----
base::Result<void> runGet(CommandContext &context, Arguments arguments);
base::Result<void> runSet(CommandContext &context, Arguments arguments);
base::Result<void> runDelete(CommandContext &context, Arguments arguments);
base::Result<void> runList(CommandContext &context, Arguments arguments);

// ---- WatchCommands.cpp ----
base::Result<void> runWatch(CommandContext &context, Arguments arguments);
base::Result<void> runHistory(CommandContext &context, Arguments arguments);
base::Result<void> runStatus(CommandContext &context, Arguments arguments);

// ---- TargetCommands.cpp ----
base::Result<void> runTargets(CommandContext &context, Arguments arguments);
base::Result<void> runOwners(CommandContext &context, Arguments arguments);
base::Result<void> runDrain(CommandContext &context, Arguments arguments);
base::Result<void> runEvacuate(CommandContext &context, Arguments arguments);

// ---- MemberCommands.cpp ----
base::Result<void> runMembers(CommandContext &context, Arguments arguments);

// ---- CheckCommand.cpp ----
base::Result<void> runCheck(CommandContext &context, Arguments arguments);

/// Fails a command because of wrong arguments, which gives exit code 2.
inline auto failUsage(std::string message) {
  return base::fail(base::ResultCode::BadRequest, std::move(message));
}

} // namespace magnoliamill::millctl
