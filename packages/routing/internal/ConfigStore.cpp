// Stores configuration items by name and version.
#include "routing/ConfigStore.h"

#include <algorithm>

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

base::Result<void> ConfigStore::check(const ConfigItems &items) const {
  return checkItems(items, [&](std::string_view name) {
    const bool IsInCall =
        std::ranges::any_of(items.Services, [&](const Service &service) {
          return service.Name == name && !service.IsRemoved;
        });
    return IsInCall || findService(name) != nullptr;
  });
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
