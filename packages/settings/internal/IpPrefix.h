// Numeric IPs and prefixes of them.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace magnoliamill::settings::internal {

/// An IPv4 or IPv6 network; a single address has the full length.
struct IpPrefix {
  std::array<std::uint8_t, 16> Bytes{};
  /// 4 or 16.
  std::size_t Size = 0;
  /// In bits.
  std::size_t Length = 0;

  bool contains(const IpPrefix &address) const;
};

/// "127.0.0.1", "10.0.0.0/8", "fd00::/8".
std::optional<IpPrefix> parseIpPrefix(std::string_view text);
bool isNumericIp(std::string_view text);

} // namespace magnoliamill::settings::internal
