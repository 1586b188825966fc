// Reads JSON objects field by field and collects all faults.
#pragma once

#include "settings/Fault.h"

#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliamill::settings::internal {

using Faults = std::vector<Fault>;

/// Parses \p text. Reports a fault when it is not JSON, has duplicate members,
/// or is nested more than \p depth levels deep.
std::optional<boost::json::value> parseJson(std::string_view text,
                                            std::size_t depth, Faults &faults);

enum class Presence { Required, Optional };

struct IntegerRange {
  std::int64_t Min = 0;
  std::int64_t Max = 0;
};

/// Reads one object of a document. Each read marks its field as known, and
/// finish() reports all unknown fields. Reads return nothing when the field is
/// absent or invalid; invalid fields and missing required ones are reported.
class ObjectReader {
public:
  /// \p path is the JSON pointer to \p value in the document, "" for its root.
  ObjectReader(const boost::json::value &value, std::string path,
               Faults &faults);

  std::optional<std::string> readString(std::string_view field, Presence need);
  /// A name that passes isPathName().
  std::optional<std::string> readName(std::string_view field, Presence need);
  std::optional<bool> readBool(std::string_view field, Presence need);
  std::optional<std::int64_t> readInteger(std::string_view field, Presence need,
                                          IntegerRange range);
  std::optional<double> readNumber(std::string_view field, double min,
                                   double max);
  /// An array of at most \p maxitems items, or null.
  const boost::json::array *readArray(std::string_view field, Presence need,
                                      std::size_t maxitems);
  const boost::json::object *readObject(std::string_view field, Presence need);
  /// An array of strings; items of another type are reported and left out.
  std::vector<std::string> readStrings(std::string_view field, Presence need,
                                       std::size_t maxitems);
  /// A field of any type, or null.
  const boost::json::value *readAny(std::string_view field, Presence need);

  /// Reports the fields that were not read. Call it after all reads.
  void finish();
  /// Adds a fault of \p field.
  void report(std::string_view field, base::ResultCode code,
              std::string message);
  /// The JSON pointer to \p field in the document.
  std::string pathOf(std::string_view field) const;
  bool has(std::string_view field) const;

private:
  void reportType(std::string_view field, std::string_view wanted);

  const boost::json::object *Object;
  std::string Path;
  Faults &Found;
  std::set<std::string, std::less<>> Known;
};

} // namespace magnoliamill::settings::internal
