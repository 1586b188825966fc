// Paths in the settings tree.
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

/// Parses a path. Its names must pass isPathName(). Fails with PathInvalid.
base::Result<SettingsPath> parsePath(std::string_view text);

/// True when \p name is 1 to 64 letters, digits, '-', '_' or '.', and does not
/// start with '.'.
bool isPathName(std::string_view name);

/// True when \p path equals \p prefix or lies below it. Every path lies below
/// the empty prefix and "/"; a trailing slash of the prefix is ignored.
bool isAtOrBelow(std::string_view path, std::string_view prefix);

} // namespace magnoliamill::settings
