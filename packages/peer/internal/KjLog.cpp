// Writes KJ's warnings and errors to the log of the process.
#include "peer/internal/KjLog.h"

#include "base/Log.h"

#include <string_view>

namespace magnoliamill::peer::internal {

void KjLog::logMessage(kj::LogSeverity severity, const char *, int, int,
                       kj::String &&text) {
  if (severity < kj::LogSeverity::WARNING)
    return;
  base::logWarning("peer", base::ResultCode::Internal,
                   std::string_view(text.cStr(), text.size()));
}

} // namespace magnoliamill::peer::internal
