// Reads typed fields from a JSON object and keeps the first error.
#pragma once

#include "base/Result.h"
#include "base/Token.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace magnoliamill::base {

/// After an error, getters return an empty value, so that the caller needs to
/// check error() only once at the end. A missing or mistyped field is an error
/// unless noted otherwise.
class JsonReader {
public:
  explicit JsonReader(const boost::json::value &value);

  std::string text(std::string_view name);
  std::uint64_t
  number(std::string_view name,
         std::uint64_t max = std::numeric_limits<std::uint64_t>::max());
  /// A time or duration in milliseconds, not below 0.
  std::int64_t milliseconds(std::string_view name);
  /// An integer or finite floating-point number, not below 0.
  double decimal(std::string_view name);
  /// \p fallback when the field is absent.
  bool flag(std::string_view name, bool fallback);
  Token token(std::string_view name);
  bool has(std::string_view name) const;
  /// The elements of an array.
  const boost::json::array &list(std::string_view name);
  /// The unparsed value of the field.
  const boost::json::value &value(std::string_view name);

  /// Takes over the error of a nested reader unless there is one already.
  void mergeError(const std::optional<Error> &error);
  const std::optional<Error> &error() const { return FirstError; }

private:
  const boost::json::value *find(std::string_view name);
  // Sets the error unless there is one already.
  void setError(ResultCode code, std::string_view name, std::string_view text);

  const boost::json::object *Object = nullptr;
  std::optional<Error> FirstError;
};

} // namespace magnoliamill::base
