// Who may read and write which settings.
#pragma once

#include "settings/View.h"

#include <optional>
#include <string>
#include <string_view>

namespace magnoliamill::settings {

/// The one who holds a token.
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

/// Finds the holder of \p token. \p adminhash is the hash in the daemon's own
/// settings file; empty means that there is no administrator. All hashes are
/// compared in constant time, whichever matches. Empty tokens match nobody.
std::optional<Principal> authenticate(std::string_view token,
                                      std::string_view adminhash,
                                      const View &view);

/// The administrator may use all paths, a team only those below /teams/TEAM.
/// \p path may also be a prefix (list, watch, audit).
bool mayAccess(const Principal &principal, std::string_view path);

} // namespace magnoliamill::settings
