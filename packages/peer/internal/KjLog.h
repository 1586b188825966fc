// Sends what KJ would print to our own log.
#pragma once

#include <kj/exception.h>

namespace magnoliamill::peer::internal {

/// In force on the thread that constructed it, while it lives.
class KjLog final : public kj::ExceptionCallback {
public:
  void logMessage(kj::LogSeverity severity, const char *file, int line,
                  int depth, kj::String &&text) override;
};

} // namespace magnoliamill::peer::internal
