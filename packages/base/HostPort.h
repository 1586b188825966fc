// An address as settings and announcements write it: HOST:PORT.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace magnoliamill::base {

struct HostPort {
  /// Numeric IP.
  std::string Host;
  std::uint16_t Port = 0;
  bool operator==(const HostPort &) const = default;
};

/// Nothing when the host is empty or the port is not from 1 to 65535.
std::optional<HostPort> parseHostPort(std::string_view text);

} // namespace magnoliamill::base
