// Holds the table of commands, dispatches to them, and prints help and errors.
#include "Commands.h"

#include "ExitCode.h"
#include "Output.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <limits>
#include <ostream>

namespace magnoliamill::millctl {
namespace {

using base::ResultCode;

constexpr std::size_t NoLimit = std::numeric_limits<std::size_t>::max();

constexpr std::array Table = std::to_array<CommandInfo>({
    {"get", "get PATH", "shows value and version of a path", 1, 1, runGet},
    {"set", "set PATH FILE | set PATH - | set PATH=VALUE",
     "writes a value; needs --expect", 1, 2, runSet},
    {"delete", "delete PATH", "deletes a path; needs --expect", 1, 1,
     runDelete},
    {"list", "list [PREFIX]", "lists the paths below a prefix", 0, 1, runList},
    {"watch", "watch [PREFIX]", "prints changes as they come", 0, 1, runWatch},
    {"history", "history [PREFIX]", "prints the audit trail", 0, 1, runHistory},
    {"audit", "audit [PREFIX]", "the same as history", 0, 1, runHistory},
    {"status", "status INDEX", "which VMs have a change in force; --wait", 1, 1,
     runStatus},
    {"targets", "targets SERVICE", "the targets of a service", 1, 1,
     runTargets},
    {"owners", "owners SERVICE KEY", "who owns a key", 2, 2, runOwners},
    {"drain", "drain TEAM SERVICE TARGET",
     "no new work for a target; --cancel takes it back", 3, 3, runDrain},
    {"evacuate", "evacuate TEAM SERVICE [TARGET...]",
     "targets leave by a date; needs --by", 2, NoLimit, runEvacuate},
    {"members", "members list | add VM FILE | remove VM | replace OLD NEW FILE",
     "the system's own VMs", 1, 4, runMembers},
    {"check", "check FILE [PATH]",
     "checks a daemon's settings file, or a value for PATH", 1, 2, runCheck},
});

/// Suggests what to do next; empty when the error message is sufficient.
std::string_view hintFor(ResultCode code) {
  switch (code) {
  case ResultCode::AccessDenied:
    return "give the token of the team that owns the path: --token or "
           "MILL_TOKEN";
  case ResultCode::VersionConflict:
    return "read the path again with get, and repeat with its version";
  case ResultCode::PathUnknown:
    return "look for the path with list, or create it with --expect none";
  case ResultCode::ChangeIdReused:
  case ResultCode::ChangeIdExpired:
    return "read the path with get, then repeat without --change-id if needed";
  case ResultCode::ValueInvalid:
  case ResultCode::ValueTooLarge:
    return "correct the value; check FILE PATH shows all faults beforehand";
  case ResultCode::NoQuorum:
  case ResultCode::NotLeader:
  case ResultCode::NotRunNotReady:
  case ResultCode::ProposalDropped:
    return "nothing was changed: repeat later, members list shows who is "
           "missing";
  case ResultCode::PeerUnreachable:
  case ResultCode::PeerTimeout:
    return "try other entry VMs: --endpoint A:PORT,B:PORT";
  case ResultCode::RateLimited:
    return "wait a second and repeat";
  default:
    return "";
  }
}

void printError(std::ostream &err, const base::Error &error) {
  err << fmt::format("millctl: {} ({}): {}\n", base::nameOf(error.Code),
                     base::numberOf(error.Code), error.Message);
  if (auto hint = hintFor(error.Code); !hint.empty())
    err << "next: " << hint << '\n';
}

/// Prints the list of faults that the server returns for a rejected value.
void printServerFaults(std::ostream &err, const boost::json::value &body) {
  const auto *object = body.if_object();
  const auto *faults = object ? object->if_contains("faults") : nullptr;
  if (!faults || !faults->is_array())
    return;
  for (const auto &fault : faults->get_array())
    err << "  " << boost::json::serialize(fault) << '\n';
}

int failWithUsage(std::ostream &err, std::string_view message) {
  err << fmt::format("millctl: {}\nnext: millctl --help\n", message);
  return ExitUsage;
}

} // namespace

std::span<const CommandInfo> describeCommands() { return Table; }

int runCommand(CommandContext context, std::ostream &err) {
  const auto &words = context.Flags.Words;
  if (context.Flags.Help) {
    printHelp(context.Out);
    return ExitOk;
  }
  if (words.empty())
    return failWithUsage(err, "no command given");
  const auto *it = std::ranges::find(Table, words[0], &CommandInfo::Name);
  if (it == Table.end())
    return failWithUsage(err, fmt::format("unknown command '{}'", words[0]));
  Arguments arguments(words.begin() + 1, words.end());
  if (arguments.size() < it->MinArguments ||
      arguments.size() > it->MaxArguments)
    return failWithUsage(err, fmt::format("usage: {}", it->Usage));
  auto done = it->Run(context, arguments);
  if (done)
    return ExitOk;
  const auto &error = done.error();
  bool local = context.Api.lastError().is_null();
  if (error.Code == ResultCode::BadRequest && local)
    return failWithUsage(err, error.Message);
  printError(err, error);
  printServerFaults(err, context.Api.lastError());
  return exitCodeOf(error.Code);
}

void printHelp(std::ostream &out) {
  out << "millctl drives magnoliamill by its settings.\n\n"
         "usage: millctl [flags] COMMAND ...\n\ncommands:\n";
  std::vector<std::vector<std::string>> rows;
  rows.reserve(Table.size());
  for (const auto &info : Table)
    rows.push_back({"  " + std::string(info.Usage), std::string(info.Summary)});
  printTable(out, rows);
  out << R"(
flags:
  --endpoint A:PORT,B:PORT   entry VMs, tried in turn (127.0.0.1:8001)
  --token TOKEN              access token; MILL_TOKEN when absent
  --output table|json
  --expect N|none|current    set, delete: the version to be changed
  --change-id ID             repeats a change whose outcome is unknown
  --by TIME                  evacuate: 2026-12-31T18:00:00Z
  --cancel                   drain: makes the target active again
  --wait                     status: until the change is in force everywhere
  --after INDEX              watch, history: only later entries
  --limit N                  watch, history: at most N entries
  --timeout-ms N             time limit of each attempt (10000)

exit codes, by the result code of docs/RESULT-CODES.md:
  0   done
  2   the command line is wrong
  10  1xxx: a file or value has faults
  20  2xxx: the request was refused as malformed
  30  3xxx: the VM asked is not ready
  40  4xxx: the change was refused, or its outcome is unknown (4010)
  50  5xxx: replicated state or storage
  60  6xxx: ownership
  70  7xxx: no entry VM could be reached
  80  8xxx: a target could not be reached
  90  9xxx: a fault of the program
)";
}

} // namespace magnoliamill::millctl
