// The paths of the settings tree.
#pragma once

#include "base/Ids.h"
#include "base/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace magnoliamill::settings {

enum class PathKind : std::uint8_t {
  /// /admin/teams/TEAM
  Team,
  /// /admin/vms/VM
  Vm,
  /// /admin/data_centres/DATA_CENTRE
  DataCentre,
  /// /teams/TEAM/services/SERVICE
  Service,
  /// /teams/TEAM/targets/SERVICE/NAME
  Target,
};

/// A path that may hold a value.
struct SettingsPath {
  PathKind Kind = PathKind::Service;
  /// Set for Team, Service and Target.
  std::string Team;
  /// The VM, data centre or service, by kind; empty for Team.
  std::string Name;
  /// The target's announced name; set for Target only.
  std::string Target;

  std::string text() const;
  bool operator==(const SettingsPath &) const = default;
};

/// Names are 1 to 64 characters out of letters, digits, '-', '_' and '.', and
/// do not start with '.'. Fails with PathInvalid.
base::Result<SettingsPath> parsePath(std::string_view text);

/// True when \p name follows the rule for names in paths.
bool isPathName(std::string_view name);

/// True when \p path is \p prefix or lies below it. The empty prefix and "/"
/// hold every path; a slash at the end of the prefix is ignored.
bool isAtOrBelow(std::string_view path, std::string_view prefix);

} // namespace magnoliamill::settings
