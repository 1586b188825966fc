// Applies the commands that register VMs and start data-centre groups.
#include "settings/internal/ApplyCommands.h"

#include <algorithm>
#include <fmt/format.h>

namespace magnoliamill::settings::internal {
namespace {

using base::ResultCode;

AuditEntry makeAuditEntry(ApplyContext context, std::int64_t when,
                          std::string_view action, std::string path) {
  AuditEntry entry;
  entry.Index = context.Index;
  entry.WhenMs = when;
  entry.Who = "system";
  entry.Action = action;
  entry.Path = std::move(path);
  return entry;
}

/// Writes a VM and records it in the audit trail, unless it is unchanged.
ChangeOutcome writeVm(ApplyContext context, const VmView &vm, std::int64_t when,
                      std::string_view action) {
  auto &state = context.State;
  SettingsPath path{PathKind::Vm, "", vm.Id.Value, ""};
  ChangeOutcome outcome;
  outcome.Path = path.text();
  outcome.Version = state.versionOf(outcome.Path);
  auto known = state.Current.Vms.find(vm.Id);
  if (known != state.Current.Vms.end() && known->second == vm)
    return outcome;
  auto checked = checkValue(path, renderVm(vm));
  if (checked.Value)
    checked.Faults = checkAgainstState(state, path, *checked.Value);
  if (!checked.Faults.empty()) {
    outcome = refuse(ResultCode::ValueInvalid, joinFaults(checked.Faults));
    outcome.Path = path.text();
    outcome.Faults = std::move(checked.Faults);
    return outcome;
  }
  auto entry = makeAuditEntry(context, when, action, outcome.Path);
  entry.OldValue = state.redactedAt(path);
  entry.NewValue = checked.Canonical;
  state.put(path, checked, context.Index);
  state.auditSystem(std::move(entry));
  outcome.Version = context.Index;
  return outcome;
}

std::string describeMembers(const StartDataCentreGroup &start) {
  std::string members;
  for (const auto &member : start.Members)
    members += fmt::format("{}\"{}/{}\"", members.empty() ? "" : ",",
                           member.Vm.Value, member.Incarnation);
  return fmt::format(R"({{"members":[{}]}})", members);
}

bool areMembersValid(const View &view, const StartDataCentreGroup &start) {
  auto members = start.Members;
  std::ranges::sort(members);
  bool duplicate = std::ranges::adjacent_find(members, {}, [](const auto &it) {
                     return it.Vm;
                   }) != members.end();
  return !members.empty() && !duplicate &&
         std::ranges::all_of(members, [&](const consensus::ReplicaId &it) {
           auto vm = view.Vms.find(it.Vm);
           return vm != view.Vms.end() &&
                  vm->second.DataCentre == start.DataCentre;
         });
}

} // namespace

ChangeOutcome applyCommand(ApplyContext context, const BootstrapVms &boot) {
  auto &state = context.State;
  if (state.Bootstrapped)
    return {};
  state.Bootstrapped = true;
  ChangeOutcome first;
  for (const auto &vm : boot.Vms) {
    auto outcome = writeVm(context, vm, boot.WhenMs, "bootstrap_vms");
    if (!outcome.accepted() && first.accepted())
      first = std::move(outcome);
  }
  return first;
}

ChangeOutcome applyCommand(ApplyContext context, const RegisterVm &add) {
  return writeVm(context, add.Vm, add.WhenMs, "register_vm");
}

ChangeOutcome applyCommand(ApplyContext context, const RemoveVm &remove) {
  auto &state = context.State;
  SettingsPath path{PathKind::Vm, "", remove.Vm.Value, ""};
  if (state.versionOf(path.text()) == 0)
    return {};
  auto entry = makeAuditEntry(context, remove.WhenMs, "remove_vm", path.text());
  entry.OldValue = state.redactedAt(path);
  state.erase(path, context.Index);
  state.auditSystem(std::move(entry));
  return {};
}

ChangeOutcome applyCommand(ApplyContext context,
                           const StartDataCentreGroup &start) {
  auto &view = context.State.Current;
  auto it = view.Groups.find(start.DataCentre);
  auto epoch = it == view.Groups.end() ? 0 : it->second.Epoch;
  if (epoch != start.ExpectedEpoch) {
    auto outcome = refuse(ResultCode::VersionConflict,
                          fmt::format("the group's epoch is {}, not {}", epoch,
                                      start.ExpectedEpoch));
    outcome.Version = epoch;
    return outcome;
  }
  if (!areMembersValid(view, start))
    return refuse(ResultCode::MemberUnknown,
                  "the members are not VMs of the data centre");
  view.Groups[start.DataCentre] = {context.Index, {start.Members, {}}, epoch};
  context.State.markChanged(context.Index);
  auto entry = makeAuditEntry(context, start.WhenMs, "start_data_centre_group",
                              "/admin/data_centres/" + start.DataCentre.Value);
  entry.NewValue = describeMembers(start);
  context.State.auditSystem(std::move(entry));
  ChangeOutcome outcome;
  outcome.Version = context.Index;
  return outcome;
}

} // namespace magnoliamill::settings::internal
