// Parses HOST:PORT; the host is taken over unchecked.
#include "base/HostPort.h"

#include <charconv>

namespace magnoliamill::base {

std::optional<HostPort> parseHostPort(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0)
    return std::nullopt;
  HostPort address{std::string(text.substr(0, colon)), 0};
  const auto port = text.substr(colon + 1);
  const char *end = port.data() + port.size();
  const auto [ptr, ec] = std::from_chars(port.data(), end, address.Port);
  if (ec != std::errc() || ptr != end || address.Port == 0)
    return std::nullopt;
  return address;
}

} // namespace magnoliamill::base
