// JSON of the commands of a data-centre group and of their outcomes.
#include "ownership/Commands.h"

#include "base/JsonReader.h"
#include "base/StrictJson.h"
#include "ownership/internal/SlotCodec.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace magnoliamill::ownership {

namespace json = boost::json;
using base::ResultCode;

namespace {

constexpr std::uint64_t MaxTargetState =
    static_cast<std::uint64_t>(TargetState::Lost);

/// Writes the fields of each command into a JSON object.
struct Encoder {
  json::object &Out;

  void putKind(std::string_view kind) const { Out["kind"] = kind; }
  void operator()(const BeginTerm &) const { putKind("begin_term"); }
  void operator()(const TargetUp &it) const {
    putKind("target_up");
    Out["target"] = json::parse(encodeAnnouncement(it.Target));
  }
  void operator()(const TargetGone &it) const {
    putKind("target_gone");
    putTarget(it.Instance, it.ExpectedToken);
  }
  void operator()(const SetTargetState &it) const {
    putKind("set_target_state");
    Out["instance"] = it.Instance.Value;
    Out["expected"] = static_cast<std::uint64_t>(it.Expected);
    Out["state"] = static_cast<std::uint64_t>(it.State);
  }
  void operator()(const SetDispatcher &it) const {
    putKind("set_dispatcher");
    putTarget(it.Instance, it.ExpectedToken);
    Out["vm"] = it.Vm.Value;
    Out["incarnation"] = it.Incarnation;
  }
  void operator()(const BeginDispatchRelease &it) const {
    putKind("begin_dispatch_release");
    putTarget(it.Instance, it.ExpectedToken);
  }
  void operator()(const BeginRelease &it) const {
    putKind("begin_release");
    Out["slots"] = internal::encodeSlots(it.Slots);
  }
  void operator()(const AssignSlots &it) const {
    putKind("assign_slots");
    json::array slots;
    for (const auto &slot : it.Slots) {
      auto object = internal::encodeSlot({slot.Slot, slot.ExpectedToken});
      object["owner"] = slot.NewOwner.Value;
      object["home_epoch"] = slot.HomeEpoch;
      slots.push_back(std::move(object));
    }
    Out["slots"] = std::move(slots);
  }

private:
  void putTarget(const base::TargetInstanceId &instance,
                 base::Token token) const {
    Out["instance"] = instance.Value;
    Out["token"] = base::formatToken(token);
  }
};

base::TargetInstanceId readInstance(base::JsonReader &reader) {
  return base::TargetInstanceId(reader.text("instance"));
}

TargetState readState(base::JsonReader &reader, std::string_view name) {
  return static_cast<TargetState>(reader.number(name, MaxTargetState));
}

AssignSlots readAssignments(base::JsonReader &reader) {
  AssignSlots command;
  for (const auto &element : reader.list("slots")) {
    base::JsonReader part(element);
    auto slot = internal::readSlot(part);
    auto owner = base::TargetInstanceId(part.text("owner"));
    command.Slots.push_back({slot.Slot, slot.ExpectedToken, std::move(owner),
                             part.number("home_epoch")});
    reader.mergeError(part.error());
  }
  return command;
}

base::Result<CommandBody> readBody(base::JsonReader &reader) {
  const auto kind = reader.text("kind");
  if (kind == "begin_term")
    return CommandBody(BeginTerm{});
  if (kind == "target_up") {
    auto target = parseAnnouncement(json::serialize(reader.value("target")));
    if (!target)
      return base::fail(target.error());
    return CommandBody(TargetUp{std::move(target).value()});
  }
  if (kind == "begin_release")
    return CommandBody(BeginRelease{internal::readSlots(reader, "slots")});
  if (kind == "assign_slots")
    return CommandBody(readAssignments(reader));
  if (kind == "set_target_state")
    return CommandBody(SetTargetState{readInstance(reader),
                                      readState(reader, "expected"),
                                      readState(reader, "state")});
  if (kind == "target_gone")
    return CommandBody(TargetGone{readInstance(reader), reader.token("token")});
  if (kind == "begin_dispatch_release")
    return CommandBody(
        BeginDispatchRelease{readInstance(reader), reader.token("token")});
  if (kind == "set_dispatcher")
    return CommandBody(SetDispatcher{
        readInstance(reader), reader.token("token"),
        base::VmId(reader.text("vm")), reader.number("incarnation")});
  return base::fail(ResultCode::UnknownField, "unknown command " + kind);
}

} // namespace

std::string encodeCommand(const Command &command) {
  json::object object{{"term", command.Term}};
  std::visit(Encoder{object}, command.Body);
  return json::serialize(object);
}

base::Result<Command> parseCommand(std::string_view text) {
  auto value = base::parseStrictJson(text);
  if (!value)
    return base::fail(value.error());
  base::JsonReader reader(value.value());
  const auto term = reader.number("term");
  auto body = readBody(reader);
  if (reader.error())
    return base::fail(*reader.error());
  if (!body)
    return base::fail(body.error());
  return Command{term, std::move(body).value()};
}

std::string encodeOutcome(const CommandOutcome &outcome) {
  return json::serialize(json::object{{"code", base::numberOf(outcome.Code)},
                                      {"changed", outcome.Changed}});
}

base::Result<CommandOutcome> parseOutcome(std::string_view text) {
  auto value = base::parseStrictJson(text);
  if (!value)
    return base::fail(value.error());
  base::JsonReader reader(value.value());
  CommandOutcome it;
  it.Code = static_cast<base::ResultCode>(reader.number("code", 65535));
  it.Changed = static_cast<std::uint32_t>(reader.number("changed", 0xffffffff));
  if (reader.error())
    return base::fail(*reader.error());
  return it;
}

} // namespace magnoliamill::ownership
