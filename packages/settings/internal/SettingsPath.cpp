// Parses and formats settings paths.
#include "settings/SettingsPath.h"

#include <algorithm>
#include <fmt/format.h>
#include <vector>

namespace magnoliamill::settings {
namespace {

constexpr std::size_t MaxNameLength = 64;

bool isNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

/// Splits \p text, which starts with a slash, at its slashes.
std::vector<std::string> splitParts(std::string_view text) {
  std::vector<std::string> parts;
  std::size_t start = 1;
  while (start <= text.size()) {
    auto end = std::min(text.find('/', start), text.size());
    parts.emplace_back(text.substr(start, end - start));
    start = end + 1;
  }
  return parts;
}

auto failInvalid(std::string_view text) {
  return base::fail(
      base::ResultCode::PathInvalid,
      fmt::format("'{}' is not a settings path: use /admin/teams/TEAM, "
                  "/admin/vms/VM, /admin/data_centres/DC, "
                  "/teams/TEAM/services/SERVICE or "
                  "/teams/TEAM/targets/SERVICE/NAME",
                  text.substr(0, 200)));
}

} // namespace

std::string SettingsPath::text() const {
  switch (Kind) {
  case PathKind::Team:
    return "/admin/teams/" + Team;
  case PathKind::Vm:
    return "/admin/vms/" + Name;
  case PathKind::DataCentre:
    return "/admin/data_centres/" + Name;
  case PathKind::Service:
    return fmt::format("/teams/{}/services/{}", Team, Name);
  case PathKind::Target:
    return fmt::format("/teams/{}/targets/{}/{}", Team, Name, Target);
  }
  return "";
}

bool isPathName(std::string_view name) {
  return !name.empty() && name.size() <= MaxNameLength && name.front() != '.' &&
         std::ranges::all_of(name, isNameCharacter);
}

base::Result<SettingsPath> parsePath(std::string_view text) {
  if (text.empty() || text.front() != '/')
    return failInvalid(text);
  auto parts = splitParts(text);
  if (!std::ranges::all_of(parts, isPathName))
    return failInvalid(text);
  auto n = parts.size();
  if (n == 3 && parts[0] == "admin" && parts[1] == "teams")
    return SettingsPath{PathKind::Team, parts[2], "", ""};
  if (n == 3 && parts[0] == "admin" && parts[1] == "vms")
    return SettingsPath{PathKind::Vm, "", parts[2], ""};
  if (n == 3 && parts[0] == "admin" && parts[1] == "data_centres")
    return SettingsPath{PathKind::DataCentre, "", parts[2], ""};
  if (n == 4 && parts[0] == "teams" && parts[2] == "services")
    return SettingsPath{PathKind::Service, parts[1], parts[3], ""};
  if (n == 5 && parts[0] == "teams" && parts[2] == "targets")
    return SettingsPath{PathKind::Target, parts[1], parts[3], parts[4]};
  return failInvalid(text);
}

bool isAtOrBelow(std::string_view path, std::string_view prefix) {
  while (!prefix.empty() && prefix.back() == '/')
    prefix.remove_suffix(1);
  return path.starts_with(prefix) &&
         (path.size() == prefix.size() || path[prefix.size()] == '/');
}

} // namespace magnoliamill::settings
