// Stores the configuration items by name. For each item the highest version
// wins.
#pragma once

#include "routing/ConfigItems.h"

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace magnoliamill::routing {

class ConfigStore {
public:
  /// Stores each item whose version is higher than the stored one. Returns the
  /// items that were stored.
  ConfigItems apply(ConfigItems items);

  /// Checks the configuration that results from a call on top of the stored
  /// items and of the calls \p pending, which are applied before it. An item
  /// that a stored one has overtaken may refer to a service that was removed
  /// since. Error: ValueInvalid with the first problem.
  base::Result<void> check(const ConfigItems &items,
                           const std::list<ConfigItems> &pending = {}) const;

  /// All items except removed ones.
  ConfigItems listActive() const;
  /// All items including removed ones, as needed to replicate the store.
  ConfigItems listAll() const;

  const Route *findRoute(std::string_view name) const;
  const Service *findService(std::string_view name) const;
  const ClientLimits *limits() const { return Limits ? &*Limits : nullptr; }
  bool empty() const { return Routes.empty() && Services.empty() && !Limits; }
  /// All routes by name, removed ones included.
  const std::map<std::string, Route, std::less<>> &routes() const {
    return Routes;
  }
  /// All services by name, removed ones included.
  const std::map<std::string, Service, std::less<>> &services() const {
    return Services;
  }
  std::size_t countRoutes() const { return Routes.size(); }

private:
  std::map<std::string, Route, std::less<>> Routes;
  std::map<std::string, Service, std::less<>> Services;
  std::optional<ClientLimits> Limits;
};

} // namespace magnoliamill::routing
