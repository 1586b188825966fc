// JSON of a dispatcher's report.
#include "ownership/DispatchReport.h"

#include "base/JsonReader.h"
#include "base/StrictJson.h"
#include "ownership/internal/SlotCodec.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace magnoliamill::ownership {

namespace json = boost::json;

namespace {

json::array
encodeInstances(const std::vector<base::TargetInstanceId> &instances) {
  json::array list;
  for (const auto &name : instances)
    list.emplace_back(name.Value);
  return list;
}

std::vector<base::TargetInstanceId> readInstances(base::JsonReader &reader,
                                                  std::string_view field) {
  std::vector<base::TargetInstanceId> instances;
  for (const auto &element : reader.list(field))
    if (const auto *text = element.if_string())
      instances.emplace_back(std::string(text->data(), text->size()));
  return instances;
}

} // namespace

std::string encodeReport(const DispatchReport &report) {
  json::array relieved;
  for (const auto &it : report.ReleasedTargets)
    relieved.push_back(json::object{{"instance", it.Instance.Value},
                                    {"token", base::formatToken(it.Token)}});
  return json::serialize(
      json::object{{"in_force", report.ViewIndex},
                   {"ready", encodeInstances(report.Ready)},
                   {"failing", encodeInstances(report.Failing)},
                   {"lost", encodeInstances(report.Lost)},
                   {"released", internal::encodeSlots(report.ReleasedSlots)},
                   {"relieved", std::move(relieved)}});
}

base::Result<DispatchReport> parseReport(std::string_view text) {
  auto value = base::parseStrictJson(text);
  if (!value)
    return base::fail(value.error());
  base::JsonReader reader(value.value());
  DispatchReport it;
  it.ViewIndex = reader.number("in_force");
  it.Ready = readInstances(reader, "ready");
  it.Failing = readInstances(reader, "failing");
  it.Lost = readInstances(reader, "lost");
  it.ReleasedSlots = internal::readSlots(reader, "released");
  for (const auto &element : reader.list("relieved")) {
    base::JsonReader part(element);
    auto instance = base::TargetInstanceId(part.text("instance"));
    it.ReleasedTargets.push_back({std::move(instance), part.token("token")});
    reader.mergeError(part.error());
  }
  if (reader.error())
    return base::fail(*reader.error());
  return it;
}

} // namespace magnoliamill::ownership
