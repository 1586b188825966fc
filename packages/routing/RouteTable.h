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
  /// Puts or drops the route of this name.
  void update(const Route &route);

  /// The route whose host equals \p host (port and case aside) and whose prefix
  /// is the longest that begins \p path; null when there is none.
  const Route *match(std::string_view host, std::string_view path) const;

private:
  struct Location {
    std::string Host;
    std::string PathPrefix;
  };
  void remove(const Location &place, std::string_view name);

  /// By prefix. Routes of one host and prefix in order of their names: the
  /// first is used.
  using ByPrefix =
      std::map<std::string, std::map<std::string, Route>, std::less<>>;
  std::map<std::string, ByPrefix, std::less<>> ByHost;
  std::map<std::string, Location, std::less<>> Locations;
};

/// \p host in lower case, without its port.
std::string normalizeHost(std::string_view host);

} // namespace magnoliamill::routing
