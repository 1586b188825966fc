// Runs a VM of the fleet shape: one event loop, signals, the settings file.
#pragma once

#include <string>

namespace magnoliamill {

/// Runs until SIGTERM; returns the exit code. \p text is the content of the
/// settings file at \p path. \p IsCheckOnly only checks it.
int runFleetProcess(const std::string &path, const std::string &text,
                    bool IsCheckOnly);

} // namespace magnoliamill
