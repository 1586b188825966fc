// Encodes commands as JSON objects with a "type" and the fields of the command.
#include "settings/Commands.h"

#include "settings/HomeController.h"
#include "settings/internal/JsonReader.h"
#include "settings/internal/VmFields.h"

#include <boost/json.hpp>
#include <charconv>
#include <fmt/format.h>
#include <limits>

namespace magnoliamill::settings {
namespace {

namespace json = boost::json;
using base::ResultCode;
using internal::Faults;
using internal::ObjectReader;
using internal::Presence;

constexpr std::size_t MaxCommandDepth = 8;
constexpr std::size_t MaxBootstrapVms = 10000;
constexpr std::size_t MaxGroupMembers = 9;
constexpr internal::IntegerRange AnyNumber{
    0, std::numeric_limits<std::int64_t>::max()};
constexpr internal::IntegerRange SlotRange{
    0, std::numeric_limits<std::uint32_t>::max()};

// ---- writing ----

json::object startCommand(std::string_view type, std::int64_t when) {
  return {{"type", type}, {"when_ms", when}};
}

json::object writeOrigin(std::string_view type, const ChangeOrigin &origin) {
  auto out = startCommand(type, origin.WhenMs);
  out["change_id"] = origin.ChangeId;
  out["who"] = origin.Who;
  return out;
}

json::object writeVm(const VmView &vm) {
  return {{"vm", vm.Id.Value},        {"data_centre", vm.DataCentre.Value},
          {"host", vm.Host},          {"peer_port", vm.PeerPort},
          {"http_port", vm.HttpPort}, {"disk", vm.HasDisk}};
}

json::object writeSlot(std::string_view type, std::int64_t when,
                       const base::SlotId &slot, std::uint64_t epoch) {
  auto out = startCommand(type, when);
  out["service"] = slot.Service.Value;
  out["slot"] = slot.Slot;
  out["epoch"] = epoch;
  return out;
}

json::object writeCommand(const SetValue &set) {
  auto out = writeOrigin("set", set.Origin);
  out["path"] = set.Path;
  out["value"] = set.Value;
  out["expected_version"] = set.ExpectedVersion;
  return out;
}

json::object writeCommand(const DeleteValue &erase) {
  auto out = writeOrigin("delete", erase.Origin);
  out["path"] = erase.Path;
  out["expected_version"] = erase.ExpectedVersion;
  return out;
}

json::object writeCommand(const BootstrapVms &boot) {
  auto out = startCommand("bootstrap_vms", boot.WhenMs);
  json::array vms;
  for (const auto &vm : boot.Vms)
    vms.push_back(writeVm(vm));
  out["vms"] = std::move(vms);
  return out;
}

json::object writeCommand(const RegisterVm &add) {
  auto out = startCommand("register_vm", add.WhenMs);
  out["vm"] = writeVm(add.Vm);
  return out;
}

json::object writeCommand(const RemoveVm &remove) {
  auto out = startCommand("remove_vm", remove.WhenMs);
  out["vm"] = remove.Vm.Value;
  return out;
}

json::object writeCommand(const AssignHomes &assign) {
  auto out = startCommand("assign_homes", assign.WhenMs);
  out["service"] = assign.Service.Value;
  json::array homes;
  for (const auto &home : assign.Homes)
    homes.emplace_back(home.Value);
  out["homes"] = std::move(homes);
  return out;
}

json::object writeCommand(const BeginHomeMove &move) {
  auto out = writeSlot("begin_home_move", move.WhenMs, move.Slot, move.Epoch);
  out["to"] = move.To.Value;
  return out;
}

json::object writeCommand(const CancelHomeMove &move) {
  return writeSlot("cancel_home_move", move.WhenMs, move.Slot, move.Epoch);
}

json::object writeCommand(const FinishHomeMove &move) {
  auto out = writeSlot("finish_home_move", move.WhenMs, move.Slot, move.Epoch);
  out["from"] = move.From.Value;
  return out;
}

json::object writeCommand(const ReclaimHome &move) {
  auto out = writeSlot("reclaim_home", move.WhenMs, move.Slot, move.Epoch);
  out["to"] = move.To.Value;
  return out;
}

json::object writeCommand(const StartDataCentreGroup &start) {
  auto out = startCommand("start_data_centre_group", start.WhenMs);
  out["data_centre"] = start.DataCentre.Value;
  out["expected_epoch"] = start.ExpectedEpoch;
  json::array members;
  for (const auto &member : start.Members)
    members.push_back(json::object{{"vm", member.Vm.Value},
                                   {"incarnation", member.Incarnation}});
  out["members"] = std::move(members);
  return out;
}

// ---- reading ----

std::uint64_t readNumber(ObjectReader &in, std::string_view field) {
  return static_cast<std::uint64_t>(
      in.readInteger(field, Presence::Required, AnyNumber).value_or(0));
}

std::string readText(ObjectReader &in, std::string_view field) {
  return in.readString(field, Presence::Required).value_or("");
}

std::int64_t readWhen(ObjectReader &in) {
  return in
      .readInteger("when_ms", Presence::Required,
                   {0, std::numeric_limits<std::int64_t>::max()})
      .value_or(0);
}

ChangeOrigin readOrigin(ObjectReader &in) {
  ChangeOrigin origin;
  origin.ChangeId = readText(in, "change_id");
  origin.Who = readText(in, "who");
  origin.WhenMs = readWhen(in);
  return origin;
}

base::DataCentreId readCentre(ObjectReader &in, std::string_view field) {
  return base::DataCentreId(
      in.readName(field, Presence::Required).value_or(""));
}

base::SlotId readSlot(ObjectReader &in) {
  auto service = in.readName("service", Presence::Required).value_or("");
  auto slot = in.readInteger("slot", Presence::Required, SlotRange).value_or(0);
  return {base::ServiceId(service), static_cast<base::SlotNumber>(slot)};
}

VmView readVm(const json::value &value, std::string path, Faults &faults) {
  ObjectReader in(value, std::move(path), faults);
  VmView vm;
  vm.Id = base::VmId(in.readName("vm", Presence::Required).value_or(""));
  internal::readVmFields(in, vm);
  in.finish();
  return vm;
}

SetValue readSet(ObjectReader &in) {
  return {readOrigin(in), readText(in, "path"), readText(in, "value"),
          readNumber(in, "expected_version")};
}

DeleteValue readDelete(ObjectReader &in) {
  return {readOrigin(in), readText(in, "path"),
          readNumber(in, "expected_version")};
}

BootstrapVms readBootstrap(ObjectReader &in, Faults &faults) {
  BootstrapVms boot{readWhen(in), {}};
  const auto *vms = in.readArray("vms", Presence::Required, MaxBootstrapVms);
  for (std::size_t i = 0; vms && i < vms->size(); ++i)
    boot.Vms.push_back(readVm((*vms)[i], fmt::format("/vms/{}", i), faults));
  return boot;
}

RegisterVm readRegister(ObjectReader &in, Faults &faults) {
  RegisterVm add{readWhen(in), {}};
  if (const auto *vm = in.readAny("vm", Presence::Required))
    add.Vm = readVm(*vm, "/vm", faults);
  return add;
}

RemoveVm readRemove(ObjectReader &in) {
  return {readWhen(in),
          base::VmId(in.readName("vm", Presence::Required).value_or(""))};
}

AssignHomes readAssign(ObjectReader &in) {
  AssignHomes assign;
  assign.WhenMs = readWhen(in);
  assign.Service = base::ServiceId(readText(in, "service"));
  for (auto &home : in.readStrings("homes", Presence::Required, SlotRange.Max))
    assign.Homes.emplace_back(std::move(home));
  return assign;
}

BeginHomeMove readBegin(ObjectReader &in) {
  return {readWhen(in), readSlot(in), readNumber(in, "epoch"),
          readCentre(in, "to")};
}

CancelHomeMove readCancel(ObjectReader &in) {
  return {readWhen(in), readSlot(in), readNumber(in, "epoch")};
}

FinishHomeMove readFinish(ObjectReader &in) {
  return {readWhen(in), readSlot(in), readNumber(in, "epoch"),
          readCentre(in, "from")};
}

ReclaimHome readReclaim(ObjectReader &in) {
  return {readWhen(in), readSlot(in), readNumber(in, "epoch"),
          readCentre(in, "to")};
}

StartDataCentreGroup readStart(ObjectReader &in, Faults &faults) {
  StartDataCentreGroup start;
  start.WhenMs = readWhen(in);
  start.DataCentre = readCentre(in, "data_centre");
  start.ExpectedEpoch = readNumber(in, "expected_epoch");
  const auto *items =
      in.readArray("members", Presence::Required, MaxGroupMembers);
  for (std::size_t i = 0; items && i < items->size(); ++i) {
    ObjectReader member((*items)[i], fmt::format("/members/{}", i), faults);
    auto vm = member.readName("vm", Presence::Required).value_or("");
    start.Members.push_back(
        {base::VmId(vm), readNumber(member, "incarnation")});
    member.finish();
  }
  return start;
}

std::optional<Command> readCommand(ObjectReader &in, std::string_view type,
                                   Faults &faults) {
  if (type == "set")
    return readSet(in);
  if (type == "delete")
    return readDelete(in);
  if (type == "bootstrap_vms")
    return readBootstrap(in, faults);
  if (type == "register_vm")
    return readRegister(in, faults);
  if (type == "remove_vm")
    return readRemove(in);
  if (type == "assign_homes")
    return readAssign(in);
  if (type == "begin_home_move")
    return readBegin(in);
  if (type == "cancel_home_move")
    return readCancel(in);
  if (type == "finish_home_move")
    return readFinish(in);
  if (type == "reclaim_home")
    return readReclaim(in);
  if (type == "start_data_centre_group")
    return readStart(in, faults);
  in.report("type", ResultCode::OutOfRange, "not a command");
  return std::nullopt;
}

} // namespace

std::string encodeCommand(const Command &command) {
  return json::serialize(
      std::visit([](const auto &it) { return writeCommand(it); }, command));
}

base::Result<Command> decodeCommand(std::string_view text) {
  Faults faults;
  auto value = internal::parseJson(text, MaxCommandDepth, faults);
  if (!value)
    return base::fail(ResultCode::JsonMalformed, joinFaults(faults));
  ObjectReader in(*value, "", faults);
  auto type = readText(in, "type");
  auto command = readCommand(in, type, faults);
  in.finish();
  if (!faults.empty() || !command)
    return base::fail(ResultCode::ValueInvalid, joinFaults(faults));
  return std::move(*command);
}

std::optional<consensus::LogIndex> creationIndexOf(std::string_view id) {
  auto tilde = id.find('~');
  if (tilde == std::string_view::npos)
    return std::nullopt;
  consensus::LogIndex index = 0;
  auto [end, ec] = std::from_chars(id.data(), id.data() + tilde, index);
  if (ec != std::errc() || end != id.data() + tilde)
    return std::nullopt;
  return index;
}

void setWhenMs(Command &command, std::int64_t when) {
  std::visit(
      [when](auto &it) {
        if constexpr (requires { it.Origin; })
          it.Origin.WhenMs = when;
        else
          it.WhenMs = when;
      },
      command);
}

} // namespace magnoliamill::settings
