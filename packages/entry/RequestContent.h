// Identifies requests by what they contain, which is the same for all attempts
// at a request and for later repeats of it.
#pragma once

#include "base/Hash.h"
#include "entry/EntryFormat.h"
#include "gateway/HttpServer.h"

#include <cstdint>
#include <string_view>

namespace magnoliamill::entry {

/// Hash of the host, method and path of \p call, and of its \p body. Other
/// headers differ between attempts.
inline std::uint64_t hashContent(const RequestMetadata &metadata,
                                 const gateway::HttpCall &call,
                                 std::string_view body) {
  auto hash = base::hash64(metadata.Host);
  for (const std::string_view part :
       {std::string_view(call.Method), std::string_view(call.Target), body})
    hash = base::hash64(part, hash);
  return hash;
}

} // namespace magnoliamill::entry
