// Typed access to JSON fields with validation.
#include "settings/internal/JsonReader.h"

#include "base/StrictJson.h"
#include "settings/SettingsPath.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace magnoliamill::settings::internal {
namespace json = boost::json;
using base::ResultCode;

namespace {

/// Escapes a name for use in a JSON pointer.
std::string escapePointer(std::string_view name) {
  std::string escaped;
  for (char c : name) {
    if (c == '~')
      escaped += "~0";
    else if (c == '/')
      escaped += "~1";
    else
      escaped += c;
  }
  return escaped;
}

} // namespace

std::optional<json::value> parseJson(std::string_view text, std::size_t depth,
                                     Faults &faults) {
  auto parsed = base::parseStrictJson(text, {.Depth = depth});
  if (parsed)
    return std::move(parsed.value());
  faults.push_back({parsed.error().Code, "", parsed.error().Message});
  return std::nullopt;
}

ObjectReader::ObjectReader(const json::value &value, std::string path,
                           Faults &faults)
    : Object(value.if_object()), Path(std::move(path)), Found(faults) {
  if (!Object)
    Found.push_back({ResultCode::WrongType, Path, "must be an object"});
}

const json::value *ObjectReader::readAny(std::string_view field,
                                         Presence need) {
  if (!Object)
    return nullptr;
  Known.emplace(field);
  const auto *value = Object->if_contains({field.data(), field.size()});
  if (!value && need == Presence::Required)
    report(field, ResultCode::MissingField, "is required");
  return value;
}

std::optional<std::string> ObjectReader::readString(std::string_view field,
                                                    Presence need) {
  const auto *value = readAny(field, need);
  if (!value)
    return std::nullopt;
  if (const auto *text = value->if_string())
    return std::string(text->data(), text->size());
  reportType(field, "a string");
  return std::nullopt;
}

std::optional<std::string> ObjectReader::readName(std::string_view field,
                                                  Presence need) {
  auto text = readString(field, need);
  if (!text || isPathName(*text))
    return text;
  report(field, ResultCode::OutOfRange,
         "must be a name of 1 to 64 letters, digits, '-', '_' or '.'");
  return std::nullopt;
}

std::optional<bool> ObjectReader::readBool(std::string_view field,
                                           Presence need) {
  const auto *value = readAny(field, need);
  if (!value)
    return std::nullopt;
  if (value->is_bool())
    return value->get_bool();
  reportType(field, "true or false");
  return std::nullopt;
}

std::optional<std::int64_t> ObjectReader::readInteger(std::string_view field,
                                                      Presence need,
                                                      IntegerRange range) {
  const auto *value = readAny(field, need);
  if (!value)
    return std::nullopt;
  if (value->is_int64() && value->get_int64() >= range.Min &&
      value->get_int64() <= range.Max)
    return value->get_int64();
  if (value->is_int64() || value->is_uint64())
    report(field, ResultCode::OutOfRange,
           fmt::format("must be {} to {}", range.Min, range.Max));
  else
    reportType(field, "a whole number");
  return std::nullopt;
}

std::optional<double> ObjectReader::readNumber(std::string_view field,
                                               double min, double max) {
  const auto *value = readAny(field, Presence::Optional);
  if (!value)
    return std::nullopt;
  if (!value->is_number()) {
    reportType(field, "a number");
    return std::nullopt;
  }
  auto number = value->to_number<double>();
  if (number >= min && number <= max)
    return number;
  report(field, ResultCode::OutOfRange,
         fmt::format("must be {} to {}", min, max));
  return std::nullopt;
}

const json::array *ObjectReader::readArray(std::string_view field,
                                           Presence need,
                                           std::size_t maxitems) {
  const auto *value = readAny(field, need);
  if (!value)
    return nullptr;
  const auto *items = value->if_array();
  if (!items) {
    reportType(field, "a list");
    return nullptr;
  }
  if (items->size() <= maxitems)
    return items;
  report(field, ResultCode::OutOfRange,
         fmt::format("must have at most {} items", maxitems));
  return nullptr;
}

const json::object *ObjectReader::readObject(std::string_view field,
                                             Presence need) {
  const auto *value = readAny(field, need);
  if (!value)
    return nullptr;
  if (const auto *object = value->if_object())
    return object;
  reportType(field, "an object");
  return nullptr;
}

std::vector<std::string> ObjectReader::readStrings(std::string_view field,
                                                   Presence need,
                                                   std::size_t maxitems) {
  std::vector<std::string> texts;
  const auto *items = readArray(field, need, maxitems);
  if (!items)
    return texts;
  for (std::size_t i = 0; i < items->size(); ++i) {
    const auto *text = (*items)[i].if_string();
    if (text)
      texts.emplace_back(text->data(), text->size());
    else
      Found.push_back({ResultCode::WrongType,
                       fmt::format("{}/{}", pathOf(field), i),
                       "must be a string"});
  }
  return texts;
}

void ObjectReader::finish() {
  if (!Object)
    return;
  for (const auto &member : *Object) {
    std::string_view name(member.key().data(), member.key().size());
    if (!Known.contains(name))
      report(name, ResultCode::UnknownField, "unknown field");
  }
}

void ObjectReader::report(std::string_view field, ResultCode code,
                          std::string message) {
  Found.push_back({code, pathOf(field), std::move(message)});
}

void ObjectReader::reportType(std::string_view field, std::string_view wanted) {
  report(field, ResultCode::WrongType, fmt::format("must be {}", wanted));
}

std::string ObjectReader::pathOf(std::string_view field) const {
  return Path + "/" + escapePointer(field);
}

bool ObjectReader::has(std::string_view field) const {
  return Object && Object->contains({field.data(), field.size()});
}

} // namespace magnoliamill::settings::internal
