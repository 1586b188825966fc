// Parses the command line into flags (with gflags) and positional arguments.
#pragma once

#include "base/Result.h"
#include "base/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliamill::millctl {

struct Options {
  std::vector<std::string> Endpoints;
  std::string Token;
  /// Print JSON instead of tables.
  bool Json = false;
  bool Help = false;
  /// --expect: a version, "none" or "current"; empty when not given.
  std::string Expect;
  /// --by: when targets must have left in an evacuation.
  std::string LeaveBy;
  /// --change-id: repeats the change that an earlier run of millctl began.
  std::string ChangeId;
  bool Cancel = false;
  bool Wait = false;
  std::uint64_t After = 0;
  std::uint64_t Limit = 0;
  base::Duration Timeout{};
  /// The command and its arguments.
  std::vector<std::string> Words;
};

/// Parses the arguments after the program's name. Dashes and underscores in
/// flag names are equivalent. \p token (from MILL_TOKEN in the environment) is
/// used when --token is not given. Fails with BadRequest.
base::Result<Options> readOptions(const std::vector<std::string> &arguments,
                                  std::string_view token);

} // namespace magnoliamill::millctl
