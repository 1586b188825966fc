// JSON of a whole view.
#include "ownership/internal/ViewCodec.h"

#include "base/JsonReader.h"
#include "base/StrictJson.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace magnoliamill::ownership::internal {

namespace json = boost::json;

namespace {

constexpr std::uint64_t MaxTargetState =
    static_cast<std::uint64_t>(TargetState::Lost);

json::object encodeTarget(const TargetView &it) {
  return {{"instance", it.Instance.Value},
          {"name", it.Name},
          {"service", it.Service.Value},
          {"host", it.Host},
          {"port", it.Port},
          {"slots", it.Slots},
          {"checks_tokens", it.ChecksTokens},
          {"cancel", it.CanCancel},
          {"deadlines", it.HonoursDeadlines},
          {"state", static_cast<std::uint64_t>(it.State)},
          {"dispatcher", it.Dispatcher.Value},
          {"dispatch_token", base::formatToken(it.DispatchToken)},
          {"incarnation", it.DispatcherIncarnation},
          {"releasing", it.DispatcherReleasing},
          {"clock", it.AnnouncedClockMs}};
}

TargetView readTarget(base::JsonReader &reader) {
  TargetView it;
  it.Instance = base::TargetInstanceId(reader.text("instance"));
  it.Name = reader.text("name");
  it.Service = base::ServiceId(reader.text("service"));
  it.Host = reader.text("host");
  it.Port = static_cast<std::uint16_t>(reader.number("port", 65535));
  it.Slots = static_cast<std::uint32_t>(reader.number("slots", 0xffffffff));
  it.ChecksTokens = reader.flag("checks_tokens", false);
  it.CanCancel = reader.flag("cancel", false);
  it.HonoursDeadlines = reader.flag("deadlines", false);
  it.State = static_cast<TargetState>(reader.number("state", MaxTargetState));
  it.Dispatcher = base::VmId(reader.text("dispatcher"));
  it.DispatchToken = reader.token("dispatch_token");
  it.DispatcherIncarnation = reader.number("incarnation");
  it.DispatcherReleasing = reader.flag("releasing", false);
  it.AnnouncedClockMs = reader.milliseconds("clock");
  return it;
}

json::object encodeSlotView(const SlotView &it) {
  return {{"owner", it.Owner.Value},
          {"token", base::formatToken(it.Token)},
          {"releasing", it.Releasing}};
}

SlotView readSlotView(base::JsonReader &reader) {
  SlotView it;
  it.Owner = base::TargetInstanceId(reader.text("owner"));
  it.Token = reader.token("token");
  it.Releasing = reader.flag("releasing", false);
  return it;
}

std::vector<SlotView> readSlotViews(base::JsonReader &reader) {
  std::vector<SlotView> slots;
  for (const auto &element : reader.list("slots")) {
    base::JsonReader part(element);
    slots.push_back(readSlotView(part));
    reader.mergeError(part.error());
  }
  return slots;
}

} // namespace

std::string encodeView(const View &view) {
  json::array targets;
  for (const auto &[instance, target] : view.Targets)
    targets.push_back(encodeTarget(target));
  json::array services;
  for (const auto &[service, slots] : view.Slots) {
    json::array list;
    for (const auto &slot : slots)
      list.push_back(encodeSlotView(slot));
    services.push_back(
        json::object{{"service", service.Value}, {"slots", std::move(list)}});
  }
  return json::serialize(json::object{{"index", view.Index},
                                      {"epoch", view.Epoch},
                                      {"term", view.ControllerTerm},
                                      {"targets", std::move(targets)},
                                      {"services", std::move(services)}});
}

base::Result<View> parseView(std::string_view text) {
  auto value = base::parseStrictJson(text);
  if (!value)
    return base::fail(value.error());
  base::JsonReader reader(value.value());
  View view;
  view.Index = reader.number("index");
  view.Epoch = reader.number("epoch");
  view.ControllerTerm = reader.number("term");
  for (const auto &element : reader.list("targets")) {
    base::JsonReader part(element);
    auto target = readTarget(part);
    reader.mergeError(part.error());
    view.Targets[target.Instance] = std::move(target);
  }
  for (const auto &element : reader.list("services")) {
    base::JsonReader part(element);
    auto service = base::ServiceId(part.text("service"));
    view.Slots[service] = readSlotViews(part);
    reader.mergeError(part.error());
  }
  if (reader.error())
    return base::fail(*reader.error());
  return view;
}

} // namespace magnoliamill::ownership::internal
