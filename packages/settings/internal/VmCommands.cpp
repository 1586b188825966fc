// VMs that register themselves, and the start of data-centre groups.
#include "settings/internal/ApplyCommands.h"

#include <algorithm>
#include <fmt/format.h>

namespace magnoliamill::settings::internal {
namespace {

using base::ResultCode;

AuditEntry startEntry(ApplyContext to, std::int64_t when,
                      std::string_view action, std::string path) {
  AuditEntry entry;
  entry.Index = to.Index;
  entry.WhenMs = when;
  entry.Who = "system";
  entry.Action = action;
  entry.Path = std::move(path);
  return entry;
}

/// Writes a VM and audits it, when it differs from what is in force.
ChangeOutcome writeVm(ApplyContext to, const VmView &vm, std::int64_t when,
                      std::string_view action) {
  auto &state = to.State;
  SettingsPath path{PathKind::Vm, "", vm.Id.Value, ""};
  ChangeOutcome outcome;
  outcome.Path = path.text();
  outcome.Version = state.versionOf(outcome.Path);
  auto known = state.Current.Vms.find(vm.Id);
  if (known != state.Current.Vms.end() && known->second == vm)
    return outcome;
  auto checked = checkValue(path, renderVm(vm));
  if (checked.Value)
    checked.Faults = checkInForce(state, path, *checked.Value);
  if (!checked.Faults.empty()) {
    outcome = refuse(ResultCode::ValueInvalid, joinFaults(checked.Faults));
    outcome.Path = path.text();
    outcome.Faults = std::move(checked.Faults);
    return outcome;
  }
  auto entry = startEntry(to, when, action, outcome.Path);
  entry.OldValue = state.redactedAt(path);
  entry.NewValue = checked.Canonical;
  state.put(path, checked, to.Index);
  state.auditSystem(std::move(entry));
  outcome.Version = to.Index;
  return outcome;
}

std::string describeMembers(const StartDataCentreGroup &start) {
  std::string members;
  for (const auto &member : start.Members)
    members += fmt::format("{}\"{}/{}\"", members.empty() ? "" : ",",
                           member.Vm.Value, member.Incarnation);
  return fmt::format(R"({{"members":[{}]}})", members);
}

bool areMembersFit(const View &view, const StartDataCentreGroup &start) {
  auto members = start.Members;
  std::ranges::sort(members);
  bool twice = std::ranges::adjacent_find(members, {}, [](const auto &it) {
                 return it.Vm;
               }) != members.end();
  return !members.empty() && !twice &&
         std::ranges::all_of(members, [&](const consensus::ReplicaId &it) {
           auto vm = view.Vms.find(it.Vm);
           return vm != view.Vms.end() &&
                  vm->second.DataCentre == start.DataCentre;
         });
}

} // namespace

ChangeOutcome applyCommand(ApplyContext to, const BootstrapVms &boot) {
  auto &state = to.State;
  if (state.Bootstrapped)
    return {};
  state.Bootstrapped = true;
  ChangeOutcome first;
  for (const auto &vm : boot.Vms) {
    auto outcome = writeVm(to, vm, boot.WhenMs, "bootstrap_vms");
    if (!outcome.accepted() && first.accepted())
      first = std::move(outcome);
  }
  return first;
}

ChangeOutcome applyCommand(ApplyContext to, const RegisterVm &add) {
  return writeVm(to, add.Vm, add.WhenMs, "register_vm");
}

ChangeOutcome applyCommand(ApplyContext to, const RemoveVm &remove) {
  auto &state = to.State;
  SettingsPath path{PathKind::Vm, "", remove.Vm.Value, ""};
  if (state.versionOf(path.text()) == 0)
    return {};
  auto entry = startEntry(to, remove.WhenMs, "remove_vm", path.text());
  entry.OldValue = state.redactedAt(path);
  state.erase(path, to.Index);
  state.auditSystem(std::move(entry));
  return {};
}

ChangeOutcome applyCommand(ApplyContext to, const StartDataCentreGroup &start) {
  auto &view = to.State.Current;
  auto it = view.Groups.find(start.DataCentre);
  auto epoch = it == view.Groups.end() ? 0 : it->second.Epoch;
  if (epoch != start.ExpectedEpoch) {
    auto outcome = refuse(ResultCode::VersionConflict,
                          fmt::format("the group's epoch is {}, not {}", epoch,
                                      start.ExpectedEpoch));
    outcome.Version = epoch;
    return outcome;
  }
  if (!areMembersFit(view, start))
    return refuse(ResultCode::MemberUnknown,
                  "the members are not VMs of the data centre");
  view.Groups[start.DataCentre] = {to.Index, {start.Members, {}}, epoch};
  to.State.touch(to.Index);
  auto entry = startEntry(to, start.WhenMs, "start_data_centre_group",
                          "/admin/data_centres/" + start.DataCentre.Value);
  entry.NewValue = describeMembers(start);
  to.State.auditSystem(std::move(entry));
  ChangeOutcome outcome;
  outcome.Version = to.Index;
  return outcome;
}

} // namespace magnoliamill::settings::internal
