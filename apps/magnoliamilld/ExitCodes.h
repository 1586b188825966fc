// Exit codes of the daemon, as listed in docs/RESULT-CODES.md.
#pragma once

namespace magnoliamill {

constexpr int ExitOk = 0;
constexpr int ExitBadSettings = 10;
constexpr int ExitStartFailed = 50;

} // namespace magnoliamill
