// Exit codes of millctl, from the result codes.
#pragma once

#include "base/ResultCode.h"

namespace magnoliamill::millctl {

constexpr int ExitOk = 0;
constexpr int ExitUsage = 2;

/// 10 for 1xxx, 20 for 2xxx, ... 90 for 9xxx; 0 for Ok.
constexpr int exitCodeOf(base::ResultCode code) {
  return base::numberOf(code) / 1000 * 10;
}

} // namespace magnoliamill::millctl
