// The statuses that a response may have.
#pragma once

namespace magnoliamill::gateway::internal {

/// False for a status that is not one of the protocol, and for one of 1xx: what
/// has it is not the answer to a request.
constexpr bool isFinalStatus(unsigned status) {
  return status >= 200 && status <= 599;
}

/// True if the final response follows. After 101 the connection does not speak
/// HTTP any more; no request asks for that.
constexpr bool isInterimStatus(unsigned status) {
  constexpr unsigned SwitchingProtocols = 101;
  return status >= 100 && status < 200 && status != SwitchingProtocols;
}

} // namespace magnoliamill::gateway::internal
