// Makes changes to settings, with an expected version and a change id.
#pragma once

#include "Commands.h"

#include <boost/json/value.hpp>
#include <string>

namespace magnoliamill::millctl {

/// The state of a path that a change depends on.
struct PathState {
  /// 0 when the path has no value.
  std::uint64_t Version = 0;
  /// The server's settings index, or 0 when the answer did not contain it.
  std::uint64_t Index = 0;
};

/// Reads the current state of \p path. A path without a value is no error.
base::Result<PathState> readState(CommandContext &context,
                                  const std::string &path);

/// Writes \p value (JSON text). \p expect is a version, "none" or "current".
base::Result<boost::json::value> putValue(CommandContext &context,
                                          const std::string &path,
                                          const std::string &value,
                                          const std::string &expect);

/// Deletes \p path. Fails with PathUnknown when \p expect stands for a path
/// without a value.
base::Result<boost::json::value> deleteValue(CommandContext &context,
                                             const std::string &path,
                                             const std::string &expect);

/// Reads the whole file \p name, or standard input for "-". Fails with
/// FileUnreadable.
base::Result<std::string> readSource(CommandContext &context,
                                     const std::string &name);

} // namespace magnoliamill::millctl
