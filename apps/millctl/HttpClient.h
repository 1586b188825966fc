// One HTTP exchange with an entry VM, blocking.
#pragma once

#include "base/Result.h"
#include "base/Time.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace magnoliamill::millctl {

struct HttpCall {
  std::string Method;
  /// Path and query.
  std::string Target;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
};

struct HttpAnswer {
  unsigned Status = 0;
  std::string Body;
};

/// \p endpoint is HOST:PORT with a numeric IP. Fails with PeerUnreachable when
/// nothing was sent, otherwise with PeerTimeout or PeerProtocol: then the
/// server may have acted on the call.
base::Result<HttpAnswer> exchange(const std::string &endpoint,
                                  const HttpCall &call, base::Duration timeout);

} // namespace magnoliamill::millctl
