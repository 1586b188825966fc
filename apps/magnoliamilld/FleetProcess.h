// Runs the daemon in a fleet deployment: a core or entry node on one event
// loop, with signal handling and reloading of the settings file.
#pragma once

#include <string>

namespace magnoliamill {

/// Runs until SIGTERM or SIGINT and returns the exit code (see ExitCodes.h).
/// \p text is the content of the settings file at \p path. With
/// \p IsCheckOnly the settings are checked and nothing is started.
int runFleetProcess(const std::string &path, const std::string &text,
                    bool IsCheckOnly);

} // namespace magnoliamill
