// Parses IP networks with inet_pton and matches hosts against them.
#include "settings/internal/IpPrefix.h"

#include "settings/NodeSettings.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <string>

namespace magnoliamill::settings {
namespace internal {
namespace {

std::optional<IpPrefix> parseAddress(std::string_view text) {
  std::string address(text);
  IpPrefix parsed;
  if (inet_pton(AF_INET, address.c_str(), parsed.Bytes.data()) == 1)
    parsed.Size = 4;
  else if (inet_pton(AF_INET6, address.c_str(), parsed.Bytes.data()) == 1)
    parsed.Size = 16;
  else
    return std::nullopt;
  parsed.Length = parsed.Size * 8;
  return parsed;
}

} // namespace

bool IpPrefix::contains(const IpPrefix &address) const {
  if (Size != address.Size || address.Length < Length)
    return false;
  auto whole = Length / 8;
  if (!std::equal(Bytes.begin(), Bytes.begin() + whole, address.Bytes.begin()))
    return false;
  auto rest = Length % 8;
  if (rest == 0)
    return true;
  auto mask = 0xff00u >> rest;
  return ((Bytes[whole] ^ address.Bytes[whole]) & mask & 0xffu) == 0;
}

std::optional<IpPrefix> parseIpPrefix(std::string_view text) {
  auto slash = text.find('/');
  auto parsed = parseAddress(text.substr(0, slash));
  if (!parsed || slash == std::string_view::npos)
    return parsed;
  auto bits = text.substr(slash + 1);
  std::size_t length = 0;
  auto [end, ec] =
      std::from_chars(bits.data(), bits.data() + bits.size(), length);
  if (ec != std::errc() || end != bits.data() + bits.size() ||
      length > parsed->Length)
    return std::nullopt;
  parsed->Length = length;
  return parsed;
}

bool isNumericIp(std::string_view text) {
  return parseAddress(text).has_value();
}

} // namespace internal

bool isHostAllowed(std::string_view host,
                   const std::vector<std::string> &prefixes) {
  auto address = internal::parseIpPrefix(host);
  if (!address)
    return false;
  return std::ranges::any_of(prefixes, [&](const std::string &text) {
    auto prefix = internal::parseIpPrefix(text);
    return prefix && prefix->contains(*address);
  });
}

} // namespace magnoliamill::settings
