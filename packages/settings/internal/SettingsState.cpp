// Keeps the tree and the view consistent.
#include "settings/internal/SettingsState.h"

namespace magnoliamill::settings::internal {

std::string redact(PathKind kind, std::string_view value) {
  if (kind == PathKind::Team && !value.empty())
    return R"({"token_sha256":"redacted"})";
  return std::string(value);
}

void SettingsState::put(const SettingsPath &path, const CheckedValue &value,
                        std::uint64_t version) {
  Tree[path.text()] = {value.Canonical, version};
  putIntoView(path, *value.Value);
  markChanged(version);
}

void SettingsState::erase(const SettingsPath &path, consensus::LogIndex index) {
  Tree.erase(path.text());
  removeFromView(path);
  markChanged(index);
}

std::uint64_t SettingsState::versionOf(std::string_view path) const {
  auto it = Tree.find(path);
  return it == Tree.end() ? 0 : it->second.Version;
}

std::string SettingsState::redactedAt(const SettingsPath &path) const {
  auto it = Tree.find(path.text());
  return it == Tree.end() ? "" : redact(path.Kind, it->second.Value);
}

void SettingsState::auditOperator(AuditEntry entry) {
  Audit.Operators.add(std::move(entry), Limits.AuditEntries, Limits.AuditBytes);
}

void SettingsState::auditSystem(AuditEntry entry) {
  Audit.System.add(std::move(entry), Limits.AuditEntries, Limits.AuditBytes);
}

void SettingsState::putIntoView(const SettingsPath &path,
                                const TypedValue &value) {
  switch (path.Kind) {
  case PathKind::Team:
    Current.Teams[path.Team] = std::get<TeamView>(value);
    return;
  case PathKind::Vm:
    Current.Vms[base::VmId(path.Name)] = std::get<VmView>(value);
    return;
  case PathKind::DataCentre:
    Current.DataCentreRules[base::DataCentreId(path.Name)] =
        std::get<DataCentreRule>(value);
    return;
  case PathKind::Service:
    putServiceIntoView(std::get<ServiceView>(value));
    return;
  case PathKind::Target:
    // A rule stays in the tree when its service is deleted, but only applies
    // while the service exists.
    if (ownsService(path))
      Current.TargetRules[base::ServiceId(path.Name)][path.Target] =
          std::get<TargetRule>(value);
    return;
  }
}

bool SettingsState::ownsService(const SettingsPath &path) const {
  auto it = Current.Services.find(base::ServiceId(path.Name));
  return it != Current.Services.end() && it->second.Team == path.Team;
}

void SettingsState::putServiceIntoView(const ServiceView &service) {
  bool fresh = !Current.Services.contains(service.Id);
  Current.Services[service.Id] = service;
  if (!fresh)
    return;
  // If the service was deleted and is created again, its rules apply again.
  auto prefix = "/teams/" + service.Team + "/targets/" + service.Id.Value + "/";
  for (auto it = Tree.lower_bound(prefix);
       it != Tree.end() && it->first.starts_with(prefix); ++it) {
    auto path = parsePath(it->first).value();
    putIntoView(path, *checkValue(path, it->second.Value).Value);
  }
}

void SettingsState::removeFromView(const SettingsPath &path) {
  base::ServiceId service(path.Name);
  switch (path.Kind) {
  case PathKind::Team:
    Current.Teams.erase(path.Team);
    return;
  case PathKind::Vm:
    Current.Vms.erase(base::VmId(path.Name));
    return;
  case PathKind::DataCentre:
    Current.DataCentreRules.erase(base::DataCentreId(path.Name));
    return;
  case PathKind::Service:
    Current.Services.erase(service);
    Current.TargetRules.erase(service);
    Current.Homes.erase(service);
    return;
  case PathKind::Target:
    break;
  }
  auto rules = Current.TargetRules.find(service);
  if (rules == Current.TargetRules.end() || !ownsService(path))
    return;
  rules->second.erase(path.Target);
  if (rules->second.empty())
    Current.TargetRules.erase(rules);
}

} // namespace magnoliamill::settings::internal
