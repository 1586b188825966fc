// Authentication by token and access control for settings paths.
#pragma once

#include "settings/View.h"

#include <optional>
#include <string>
#include <string_view>

namespace magnoliamill::settings {

/// The holder of a token: the administrator or a team.
struct Principal {
  bool Admin = false;
  /// Empty for the administrator.
  std::string Team;

  /// The form used in ChangeOrigin::Who: "admin" or "team/NAME".
  std::string who() const;
  bool operator==(const Principal &) const = default;
};

/// Lower-case hexadecimal SHA-256 of \p text.
std::string hashToken(std::string_view text);

/// True for 64 lower-case hexadecimal digits.
bool isTokenHash(std::string_view text);

/// Finds the holder of \p token. \p adminhash is the token hash in the daemon's
/// settings file; if it is empty, there is no administrator. Always compares
/// all hashes, in constant time. An empty token matches nobody.
std::optional<Principal> authenticate(std::string_view token,
                                      std::string_view adminhash,
                                      const View &view);

/// The administrator may access all paths, a team only those at or below
/// /teams/TEAM. \p path may also be a prefix (list, watch, audit).
bool mayAccess(const Principal &principal, std::string_view path);

} // namespace magnoliamill::settings
