// Reads typed fields out of a JSON object and remembers the first error.
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

/// Getters return an empty value after an error; the caller asks error() once
/// at the end.
class JsonReader {
public:
  explicit JsonReader(const boost::json::value &value);

  std::string text(std::string_view name);
  std::uint64_t
  number(std::string_view name,
         std::uint64_t max = std::numeric_limits<std::uint64_t>::max());
  /// A clock value in milliseconds.
  std::int64_t milliseconds(std::string_view name);
  /// A number of any kind, not below 0.
  double decimal(std::string_view name);
  bool flag(std::string_view name, bool fallback);
  Token token(std::string_view name);
  bool has(std::string_view name) const;
  /// The elements of an array.
  const boost::json::array &list(std::string_view name);
  /// An object or other value as it stands.
  const boost::json::value &value(std::string_view name);

  /// Takes over the error of a part that was read by itself.
  void mergeError(const std::optional<Error> &error);
  const std::optional<Error> &error() const { return FirstError; }

private:
  const boost::json::value *find(std::string_view name);
  void setError(ResultCode code, std::string_view name, std::string_view text);

  const boost::json::object *Object = nullptr;
  std::optional<Error> FirstError;
};

} // namespace magnoliamill::base
