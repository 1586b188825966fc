// Stores configuration items by name and version.
#include "routing/ConfigStore.h"

#include <algorithm>
#include <set>

namespace magnoliamill::routing {
namespace {

/// Stores \p item if it is new or its version is higher. Returns whether it was
/// stored.
template <typename Item, typename Map> bool put(Map &stored, const Item &item) {
  auto [it, added] = stored.try_emplace(item.Name, item);
  if (added)
    return true;
  if (it->second.Version >= item.Version)
    return false;
  it->second = item;
  return true;
}

template <typename Item, typename Map>
std::vector<Item> list(const Map &stored, bool all) {
  std::vector<Item> items;
  for (const auto &[name, item] : stored)
    if (all || !item.IsRemoved)
      items.push_back(item);
  return items;
}

template <typename Map>
auto find(const Map &stored, std::string_view name) -> const
    typename Map::mapped_type * {
  auto it = stored.find(name);
  return it == stored.end() || it->second.IsRemoved ? nullptr : &it->second;
}

/// The stored items under those of calls that are not applied yet.
template <typename Item> class Overlay {
public:
  using Map = std::map<std::string, Item, std::less<>>;

  explicit Overlay(const Map &stored) : Stored(stored) {}

  void add(const std::vector<Item> &items) {
    for (const Item &item : items) {
      const Item *former = find(item.Name);
      if (!former || former->Version < item.Version)
        Newer[item.Name] = &item;
    }
  }
  /// The item in force after the calls, also a removed one.
  const Item *find(std::string_view name) const {
    if (auto it = Newer.find(name); it != Newer.end())
      return it->second;
    auto it = Stored.find(name);
    return it == Stored.end() ? nullptr : &it->second;
  }
  std::vector<const Item *> listActive() const {
    std::vector<const Item *> items;
    for (const auto &[name, item] : Stored)
      if (!item.IsRemoved && !Newer.contains(name))
        items.push_back(&item);
    for (const auto &[name, item] : Newer)
      if (!item->IsRemoved)
        items.push_back(item);
    return items;
  }

private:
  const Map &Stored;
  std::map<std::string_view, const Item *> Newer;
};

base::Result<void> checkServices(const Route &route, bool IsInForce,
                                 const Overlay<Service> &services) {
  for (const Share &share : route.Shares) {
    const Service *service = services.find(share.Service);
    if (!service || (IsInForce && service->IsRemoved))
      return base::fail(base::ResultCode::ValueInvalid,
                        "route " + route.Name +
                            " refers to the unknown service " + share.Service);
  }
  return base::ok();
}

base::Result<void> checkUnused(const std::set<std::string_view> &services,
                               const std::vector<const Route *> &routes) {
  for (const Route *route : routes)
    for (const Share &share : route->Shares)
      if (services.contains(share.Service))
        return base::fail(base::ResultCode::ValueInvalid,
                          "route " + route->Name + " refers to the service " +
                              share.Service + ", which is to be removed");
  return base::ok();
}

} // namespace

ConfigItems ConfigStore::apply(ConfigItems items) {
  ConfigItems taken;
  for (Route &route : items.Routes)
    if (put(Routes, route))
      taken.Routes.push_back(std::move(route));
  for (Service &service : items.Services)
    if (put(Services, service))
      taken.Services.push_back(std::move(service));
  if (items.Limits && (!Limits || Limits->Version < items.Limits->Version)) {
    Limits = items.Limits;
    taken.Limits = std::move(items.Limits);
  }
  return taken;
}

base::Result<void>
ConfigStore::check(const ConfigItems &items,
                   const std::list<ConfigItems> &pending) const {
  Overlay<Route> routes(Routes);
  Overlay<Service> services(Services);
  for (const ConfigItems &earlier : pending) {
    routes.add(earlier.Routes);
    services.add(earlier.Services);
  }
  routes.add(items.Routes);
  services.add(items.Services);
  for (const Route &route : items.Routes) {
    if (route.IsRemoved)
      continue;
    if (auto checked = checkRoute(route); !checked)
      return checked;
    const bool IsInForce = routes.find(route.Name) == &route;
    if (auto checked = checkServices(route, IsInForce, services); !checked)
      return checked;
  }
  std::set<std::string_view> removed;
  for (const Service &service : items.Services)
    if (service.IsRemoved && services.find(service.Name) == &service)
      removed.insert(service.Name);
  return removed.empty() ? base::Result<void>(base::ok())
                         : checkUnused(removed, routes.listActive());
}

ConfigItems ConfigStore::listActive() const {
  return {list<Route>(Routes, false), list<Service>(Services, false), Limits};
}

ConfigItems ConfigStore::listAll() const {
  return {list<Route>(Routes, true), list<Service>(Services, true), Limits};
}

const Route *ConfigStore::findRoute(std::string_view name) const {
  return find(Routes, name);
}

const Service *ConfigStore::findService(std::string_view name) const {
  return find(Services, name);
}

} // namespace magnoliamill::routing
