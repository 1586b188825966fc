// All items of configuration, by name. The highest version of an item wins.
#pragma once

#include "routing/ConfigItems.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace magnoliamill::routing {

class ConfigStore {
public:
  /// Takes each item whose version is higher than the one held. Returns the
  /// items that were taken.
  ConfigItems apply(ConfigItems items);

  /// Checks a call against the services that stand and those it brings.
  /// Error: ValueInvalid.
  base::Result<void> check(const ConfigItems &items) const;

  /// Items that stand, without removed ones.
  ConfigItems listActive() const;
  /// Everything, removed items included: what a copy needs.
  ConfigItems listAll() const;

  const Route *findRoute(std::string_view name) const;
  const Service *findService(std::string_view name) const;
  const ClientLimits *limits() const { return Limits ? &*Limits : nullptr; }
  bool empty() const { return Routes.empty() && Services.empty() && !Limits; }
  std::size_t countRoutes() const { return Routes.size(); }

private:
  std::map<std::string, Route, std::less<>> Routes;
  std::map<std::string, Service, std::less<>> Services;
  std::optional<ClientLimits> Limits;
};

} // namespace magnoliamill::routing
