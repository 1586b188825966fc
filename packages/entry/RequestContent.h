// Identifies requests by what they contain, which is the same for all attempts
// at a request and for later repeats of it.
#pragma once

#include "base/Hash.h"
#include "entry/EntryFormat.h"
#include "gateway/HttpServer.h"

#include <cstdint>

namespace magnoliamill::entry {

/// Hash of the host, method, path and body of \p call. Other headers differ
/// between attempts.
inline std::uint64_t hashContent(const RequestMetadata &metadata,
                                 const gateway::HttpCall &call) {
  auto hash = base::hash64(metadata.Host);
  for (const std::string_view part :
       {std::string_view(call.Method), std::string_view(call.Target),
        std::string_view(call.Body)})
    hash = base::hash64(part, hash);
  return hash;
}

} // namespace magnoliamill::entry
