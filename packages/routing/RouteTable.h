// Selects a route by host and longest path prefix.
#pragma once

#include "routing/ConfigItems.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliamill::routing {

class RouteTable {
public:
  /// Adds, replaces or removes the route of this name.
  void update(const Route &route);

  /// The route with the host \p host (ignoring port and case) and the longest
  /// path prefix of \p path; null if there is none.
  const Route *match(std::string_view host, std::string_view path) const;

private:
  struct Location {
    std::string Host;
    std::string PathPrefix;
  };
  void remove(const Location &place, std::string_view name);

  /// Routes by prefix and name. Of several routes with the same host and
  /// prefix, the first by name is used.
  using ByPrefix =
      std::map<std::string, std::map<std::string, Route>, std::less<>>;
  std::map<std::string, ByPrefix, std::less<>> ByHost;
  std::map<std::string, Location, std::less<>> Locations;
};

/// Returns \p host in lower case, without the port.
std::string normalizeHost(std::string_view host);

} // namespace magnoliamill::routing
