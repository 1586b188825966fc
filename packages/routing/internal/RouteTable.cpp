// Matches requests to routes by host and path prefix.
#include "routing/RouteTable.h"

namespace magnoliamill::routing {

std::string normalizeHost(std::string_view host) {
  // The colons of an IPv6 address are enclosed in brackets.
  const auto colon = host.rfind(':');
  if (colon != std::string_view::npos &&
      host.find(']', colon) == std::string_view::npos)
    host = host.substr(0, colon);
  std::string text(host);
  for (char &c : text)
    if (c >= 'A' && c <= 'Z')
      c = static_cast<char>(c - 'A' + 'a');
  return text;
}

void RouteTable::update(const Route &route) {
  if (auto it = Locations.find(route.Name); it != Locations.end()) {
    remove(it->second, route.Name);
    Locations.erase(it);
  }
  if (route.IsRemoved)
    return;
  Location place{normalizeHost(route.Host), route.PathPrefix};
  ByHost[place.Host][place.PathPrefix].insert_or_assign(route.Name, route);
  Locations.emplace(route.Name, std::move(place));
}

void RouteTable::remove(const Location &place, std::string_view name) {
  auto host = ByHost.find(place.Host);
  if (host == ByHost.end())
    return;
  auto prefix = host->second.find(place.PathPrefix);
  if (prefix == host->second.end())
    return;
  prefix->second.erase(std::string(name));
  if (prefix->second.empty())
    host->second.erase(prefix);
  if (host->second.empty())
    ByHost.erase(host);
}

const Route *RouteTable::match(std::string_view host,
                               std::string_view path) const {
  auto it = ByHost.find(normalizeHost(host));
  if (it == ByHost.end())
    return nullptr;
  path = path.substr(0, path.find('?'));
  // Every prefix ends with a slash, so only the path up to each of its slashes
  // can match.
  for (auto end = path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
    auto prefix = it->second.find(path.substr(0, end + 1));
    if (prefix != it->second.end())
      return &prefix->second.begin()->second;
  }
  return nullptr;
}

} // namespace magnoliamill::routing
