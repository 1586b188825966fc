// Redirects the messages that KJ would print to the log of the process.
#pragma once

#include <kj/exception.h>

namespace magnoliamill::peer::internal {

/// In effect on the constructing thread during its lifetime.
class KjLog final : public kj::ExceptionCallback {
public:
  void logMessage(kj::LogSeverity severity, const char *file, int line,
                  int depth, kj::String &&text) override;
};

} // namespace magnoliamill::peer::internal
