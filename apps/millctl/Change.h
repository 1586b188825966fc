// Making a change: expected version, change id, request.
#pragma once

#include "Commands.h"

#include <boost/json/value.hpp>
#include <string>

namespace magnoliamill::millctl {

/// What a path holds, as far as a change needs to know.
struct PathState {
  /// 0 when nothing is set there.
  std::uint64_t Version = 0;
  /// The server's settings index; 0 when it was not told.
  std::uint64_t Index = 0;
};

base::Result<PathState> readState(CommandContext &context,
                                  const std::string &path);

/// Writes \p value (JSON text). \p expect is a version, "none" or "current".
base::Result<boost::json::value> putValue(CommandContext &context,
                                          const std::string &path,
                                          const std::string &value,
                                          const std::string &expect);

base::Result<boost::json::value> deleteValue(CommandContext &context,
                                             const std::string &path,
                                             const std::string &expect);

/// The text of a file, or of standard input for "-".
base::Result<std::string> readSource(CommandContext &context,
                                     const std::string &name);

} // namespace magnoliamill::millctl
