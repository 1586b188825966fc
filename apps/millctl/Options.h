// The command line: flags by gflags, and the words between them.
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
  /// --by: the time of an evacuation.
  std::string LeaveBy;
  /// --change-id: repeats a change of an earlier run.
  std::string ChangeId;
  bool Cancel = false;
  bool Wait = false;
  std::uint64_t After = 0;
  std::uint64_t Limit = 0;
  base::Duration Timeout{};
  /// The command and its arguments.
  std::vector<std::string> Words;
};

/// Reads the arguments behind the program's name. Fails with BadRequest.
/// Dashes and underscores in names of flags are the same. \p token is used when
/// --token is not given (the environment's MILL_TOKEN).
base::Result<Options> readOptions(const std::vector<std::string> &arguments,
                                  std::string_view token);

} // namespace magnoliamill::millctl
