// A blocking HTTP client for a single exchange with an entry VM.
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

/// Sends \p call and waits for the answer. \p endpoint is HOST:PORT with a
/// numeric IP address; \p timeout applies to connecting, sending and receiving
/// separately. Fails with PeerUnreachable when nothing was sent, and with
/// PeerTimeout or PeerProtocol when the server may have acted on the call.
base::Result<HttpAnswer> exchange(const std::string &endpoint,
                                  const HttpCall &call, base::Duration timeout);

} // namespace magnoliamill::millctl
