// Maps result codes to the exit codes of millctl.
#pragma once

#include "base/ResultCode.h"

namespace magnoliamill::millctl {

constexpr int ExitOk = 0;
constexpr int ExitUsage = 2;

/// Returns 10 for 1xxx, 20 for 2xxx, ... 90 for 9xxx, and 0 for Ok.
constexpr int exitCodeOf(base::ResultCode code) {
  return base::numberOf(code) / 1000 * 10;
}

} // namespace magnoliamill::millctl
