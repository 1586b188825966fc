// IP networks in prefix notation.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace magnoliamill::settings::internal {

/// An IPv4 or IPv6 network. A single address is a network of full prefix
/// length.
struct IpPrefix {
  std::array<std::uint8_t, 16> Bytes{};
  /// Size of the address in bytes: 4 or 16.
  std::size_t Size = 0;
  /// Length of the prefix in bits.
  std::size_t Length = 0;

  bool contains(const IpPrefix &address) const;
};

/// Parses a network such as "127.0.0.1", "10.0.0.0/8" or "fd00::/8"; nothing
/// when it is malformed.
std::optional<IpPrefix> parseIpPrefix(std::string_view text);
bool isNumericIp(std::string_view text);

} // namespace magnoliamill::settings::internal
