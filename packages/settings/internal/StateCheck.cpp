// Checks of a value that depend on the current settings.
#include "settings/internal/ApplyCommands.h"

#include <algorithm>
#include <fmt/format.h>

namespace magnoliamill::settings::internal {
namespace {

using base::ResultCode;
using FaultList = std::vector<Fault>;

bool isKnownCentre(const View &view, const base::DataCentreId &centre) {
  return std::ranges::any_of(
      view.Vms, [&](const auto &it) { return it.second.DataCentre == centre; });
}

void checkFixedFields(const ServiceView &old, const ServiceView &service,
                      FaultList &faults) {
  if (old.Keyed != service.Keyed)
    faults.push_back({ResultCode::ValueInvalid, "/keyed",
                      "is fixed once the service exists"});
  if (old.Slots != service.Slots)
    faults.push_back(
        {ResultCode::ValueInvalid, "/slots",
         fmt::format("is fixed at {} once the service exists", old.Slots)});
}

void checkTotalSlots(const SettingsState &state, const ServiceView &service,
                     FaultList &faults) {
  std::uint64_t total = service.Slots;
  for (const auto &[id, other] : state.Current.Services)
    total += other.Slots;
  if (total > state.Limits.MaxTotalSlots)
    faults.push_back({ResultCode::OutOfRange, "/slots",
                      fmt::format("all services together may have {} slots",
                                  state.Limits.MaxTotalSlots)});
}

FaultList check(const SettingsState &state, const SettingsPath & /*path*/,
                const ServiceView &service) {
  FaultList faults;
  const auto &view = state.Current;
  auto old = view.Services.find(service.Id);
  if (old == view.Services.end())
    checkTotalSlots(state, service, faults);
  else if (old->second.Team != service.Team)
    faults.push_back({ResultCode::ValueInvalid, "",
                      fmt::format("the service name '{}' is taken by another "
                                  "team",
                                  service.Id.Value)});
  else
    checkFixedFields(old->second, service, faults);
  for (std::size_t i = 0; i < service.DataCentres.size(); ++i)
    if (!view.Vms.empty() && !isKnownCentre(view, service.DataCentres[i]))
      faults.push_back({ResultCode::ValueInvalid,
                        fmt::format("/data_centres/{}", i),
                        fmt::format("no VM is in data centre '{}'",
                                    service.DataCentres[i].Value)});
  return faults;
}

FaultList check(const SettingsState &state, const SettingsPath &path,
                const TargetRule & /*rule*/) {
  if (state.ownsService(path))
    return {};
  return {{ResultCode::ValueInvalid, "",
           fmt::format("team '{}' has no service '{}'", path.Team, path.Name)}};
}

FaultList check(const SettingsState &state, const SettingsPath & /*path*/,
                const VmView &vm) {
  FaultList faults;
  for (const auto &[id, other] : state.Current.Vms) {
    if (id == vm.Id || other.Host != vm.Host)
      continue;
    for (auto port : {vm.PeerPort, vm.HttpPort})
      if (port == other.PeerPort || port == other.HttpPort)
        faults.push_back({ResultCode::DuplicateAddress, "",
                          fmt::format("{}:{} is the address of VM '{}'",
                                      vm.Host, port, id.Value)});
  }
  return faults;
}

FaultList check(const SettingsState &state, const SettingsPath & /*path*/,
                const DataCentreRule &rule) {
  if (state.Current.Vms.empty() || isKnownCentre(state.Current, rule.Id) ||
      state.Current.Groups.contains(rule.Id))
    return {};
  return {{ResultCode::ValueInvalid, "",
           fmt::format("no VM is in data centre '{}'", rule.Id.Value)}};
}

FaultList check(const SettingsState & /*state*/, const SettingsPath & /*path*/,
                const TeamView & /*team*/) {
  return {};
}

} // namespace

std::vector<Fault> checkAgainstState(const SettingsState &state,
                                     const SettingsPath &path,
                                     const TypedValue &value) {
  return std::visit([&](const auto &it) { return check(state, path, it); },
                    value);
}

} // namespace magnoliamill::settings::internal
