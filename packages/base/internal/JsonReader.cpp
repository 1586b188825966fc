// Typed access to the fields of a JSON object.
#include "base/JsonReader.h"

#include <boost/json/array.hpp>
#include <cmath>
#include <fmt/format.h>

namespace magnoliamill::base {

JsonReader::JsonReader(const boost::json::value &value)
    : Object(value.if_object()) {
  if (Object == nullptr)
    FirstError = Error{ResultCode::WrongType, "an object is expected"};
}

void JsonReader::setError(ResultCode code, std::string_view name,
                          std::string_view text) {
  if (!FirstError)
    FirstError = Error{code, fmt::format("field \"{}\" {}", name, text)};
}

void JsonReader::mergeError(const std::optional<Error> &error) {
  if (!FirstError && error)
    FirstError = error;
}

bool JsonReader::has(std::string_view name) const {
  return Object != nullptr && Object->if_contains(name) != nullptr;
}

const boost::json::value *JsonReader::find(std::string_view name) {
  if (FirstError)
    return nullptr;
  const auto *found = Object->if_contains(name);
  if (found == nullptr)
    setError(ResultCode::MissingField, name, "is missing");
  return found;
}

std::string JsonReader::text(std::string_view name) {
  const auto *found = find(name);
  if (found == nullptr)
    return {};
  const auto *text = found->if_string();
  if (text == nullptr) {
    setError(ResultCode::WrongType, name, "must be a string");
    return {};
  }
  return {text->data(), text->size()};
}

std::uint64_t JsonReader::number(std::string_view name, std::uint64_t max) {
  const auto *found = find(name);
  if (found == nullptr)
    return 0;
  if (!found->is_int64() && !found->is_uint64()) {
    setError(ResultCode::WrongType, name, "must be a whole number");
    return 0;
  }
  boost::json::error_code ec;
  auto number = found->to_number<std::uint64_t>(ec);
  if (ec || number > max) {
    setError(ResultCode::OutOfRange, name,
             fmt::format("must be between 0 and {}", max));
    return 0;
  }
  return number;
}

std::int64_t JsonReader::milliseconds(std::string_view name) {
  return static_cast<std::int64_t>(
      number(name, std::numeric_limits<std::int64_t>::max()));
}

double JsonReader::decimal(std::string_view name) {
  const auto *found = find(name);
  if (found == nullptr)
    return 0;
  if (!found->is_number()) {
    setError(ResultCode::WrongType, name, "must be a number");
    return 0;
  }
  const auto number = found->to_number<double>();
  if (!(number >= 0) || !std::isfinite(number))
    setError(ResultCode::OutOfRange, name, "must be finite and not below 0");
  return FirstError ? 0 : number;
}

bool JsonReader::flag(std::string_view name, bool fallback) {
  if (!has(name))
    return fallback;
  const auto *found = find(name);
  if (found == nullptr)
    return fallback;
  if (!found->is_bool()) {
    setError(ResultCode::WrongType, name, "must be true or false");
    return fallback;
  }
  return found->as_bool();
}

Token JsonReader::token(std::string_view name) {
  auto written = text(name);
  if (FirstError)
    return {};
  auto token = parseToken(written);
  if (!token) {
    setError(ResultCode::OutOfRange, name, "must be a token \"epoch.index\"");
    return {};
  }
  return token.value();
}

const boost::json::array &JsonReader::list(std::string_view name) {
  static const boost::json::array None;
  const auto *found = find(name);
  if (found == nullptr)
    return None;
  const auto *list = found->if_array();
  if (list == nullptr) {
    setError(ResultCode::WrongType, name, "must be an array");
    return None;
  }
  return *list;
}

const boost::json::value &JsonReader::value(std::string_view name) {
  static const boost::json::value None;
  const auto *found = find(name);
  return found == nullptr ? None : *found;
}

} // namespace magnoliamill::base
