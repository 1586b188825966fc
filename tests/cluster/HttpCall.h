// One blocking HTTP exchange on loopback, for tests.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace magnoliamill::tests {

struct HttpAnswer {
  /// 0 when no whole answer came (connection lost, time over).
  unsigned Status = 0;
  std::map<std::string, std::string> Headers;
  std::string Body;

  /// "answered", "not-run", "unknown", or empty when there was no answer.
  std::string outcome() const;
};

using HttpHeaders = std::map<std::string, std::string>;

HttpAnswer callHttp(std::uint16_t port, const std::string &method,
                    const std::string &target, const HttpHeaders &headers = {},
                    const std::string &body = "",
                    std::chrono::milliseconds limit = std::chrono::seconds(10));

} // namespace magnoliamill::tests
