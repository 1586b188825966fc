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

json::array encodeNames(const std::vector<base::TargetInstanceId> &names) {
  json::array list;
  for (const auto &name : names)
    list.emplace_back(name.Value);
  return list;
}

std::vector<base::TargetInstanceId> readNames(base::JsonReader &reader,
                                              std::string_view field) {
  std::vector<base::TargetInstanceId> names;
  for (const auto &element : reader.list(field))
    if (const auto *text = element.if_string())
      names.emplace_back(std::string(text->data(), text->size()));
  return names;
}

} // namespace

std::string encodeReport(const DispatchReport &report) {
  json::array relieved;
  for (const auto &it : report.Relieved)
    relieved.push_back(json::object{{"instance", it.Instance.Value},
                                    {"token", base::formatToken(it.Token)}});
  return json::serialize(
      json::object{{"in_force", report.InForce},
                   {"ready", encodeNames(report.Ready)},
                   {"failing", encodeNames(report.Failing)},
                   {"lost", encodeNames(report.Lost)},
                   {"released", internal::encodeSlots(report.Released)},
                   {"relieved", std::move(relieved)}});
}

base::Result<DispatchReport> parseReport(std::string_view text) {
  auto value = base::parseStrictJson(text);
  if (!value)
    return base::fail(value.error());
  base::JsonReader reader(value.value());
  DispatchReport it;
  it.InForce = reader.number("in_force");
  it.Ready = readNames(reader, "ready");
  it.Failing = readNames(reader, "failing");
  it.Lost = readNames(reader, "lost");
  it.Released = internal::readSlots(reader, "released");
  for (const auto &element : reader.list("relieved")) {
    base::JsonReader part(element);
    auto instance = base::TargetInstanceId(part.text("instance"));
    it.Relieved.push_back({std::move(instance), part.token("token")});
    reader.mergeError(part.error());
  }
  if (reader.error())
    return base::fail(*reader.error());
  return it;
}

} // namespace magnoliamill::ownership
