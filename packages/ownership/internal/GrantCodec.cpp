// JSON of grants and their replies.
#include "ownership/GrantCodec.h"

#include "base/JsonReader.h"
#include "base/StrictJson.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace magnoliamill::ownership {

namespace json = boost::json;

std::string encodeGrant(const GrantRequest &request) {
  json::array slots;
  for (const auto &it : request.Slots)
    slots.push_back(json::object{{"slot", it.Slot},
                                 {"token", base::formatToken(it.Token)}});
  return json::serialize(
      json::object{{"dispatcher", request.Dispatcher.Value},
                   {"instance", request.Instance.Value},
                   {"dispatch_token", base::formatToken(request.DispatchToken)},
                   {"as_of", request.AsOfMs},
                   {"ttl_ms", request.TtlMs},
                   {"slots", std::move(slots)}});
}

base::Result<GrantRequest> parseGrant(std::string_view text) {
  auto value = base::parseStrictJson(text);
  if (!value)
    return base::fail(value.error());
  base::JsonReader reader(value.value());
  GrantRequest it;
  it.Dispatcher = base::VmId(reader.text("dispatcher"));
  it.Instance = base::TargetInstanceId(reader.text("instance"));
  it.DispatchToken = reader.token("dispatch_token");
  it.AsOfMs = reader.milliseconds("as_of");
  it.TtlMs = reader.milliseconds("ttl_ms");
  for (const auto &element : reader.list("slots")) {
    base::JsonReader slot(element);
    auto number = static_cast<base::SlotNumber>(slot.number("slot"));
    it.Slots.push_back({number, slot.token("token")});
    reader.mergeError(slot.error());
  }
  if (reader.error())
    return base::fail(*reader.error());
  return it;
}

std::string encodeGrantReply(const GrantReply &reply) {
  json::object it{{"accepted", reply.Accepted}};
  if (reply.ClockMs)
    it["clock"] = *reply.ClockMs;
  if (reply.Highest)
    it["highest"] = base::formatToken(*reply.Highest);
  return json::serialize(it);
}

base::Result<GrantReply> parseGrantReply(std::string_view text) {
  auto value = base::parseStrictJson(text);
  if (!value)
    return base::fail(value.error());
  base::JsonReader reader(value.value());
  GrantReply it;
  it.Accepted = reader.flag("accepted", false);
  if (it.Accepted || reader.has("clock"))
    it.ClockMs = reader.milliseconds("clock");
  if (reader.has("highest"))
    it.Highest = reader.token("highest");
  if (reader.error())
    return base::fail(*reader.error());
  return it;
}

} // namespace magnoliamill::ownership
