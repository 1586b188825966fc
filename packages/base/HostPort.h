// The HOST:PORT notation of addresses in settings and announcements.
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

/// Parses "HOST:PORT". Returns nothing when the host is empty or the port is
/// not in 1 to 65535. The host is not checked.
std::optional<HostPort> parseHostPort(std::string_view text);

} // namespace magnoliamill::base
