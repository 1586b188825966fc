// A blocking HTTP client for tests that call servers on loopback.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace magnoliamill::tests {

struct HttpResponse {
  /// 0 when no complete response arrived (connection lost or time limit
  /// expired).
  unsigned Status = 0;
  /// By name in lower case.
  std::map<std::string, std::string> Headers;
  std::string Body;

  /// The header Mill-Outcome: "answered", "not-run" or "unknown"; empty when it
  /// is missing.
  std::string outcome() const;
};

using HttpHeaders = std::map<std::string, std::string>;

/// Sends one request to 127.0.0.1 on a new connection. \p limit covers the
/// whole exchange.
HttpResponse
callHttp(std::uint16_t port, const std::string &method,
         const std::string &target, const HttpHeaders &headers = {},
         const std::string &body = "",
         std::chrono::milliseconds limit = std::chrono::seconds(10));

} // namespace magnoliamill::tests
