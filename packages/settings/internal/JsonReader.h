// Reads JSON objects field by field and collects every fault on the way.
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

/// Parses \p text; a text that is not JSON or nested too deeply is one fault.
std::optional<boost::json::value> parseJson(std::string_view text,
                                            std::size_t depth, Faults &faults);

enum class Presence { Required, Optional };

struct IntegerRange {
  std::int64_t Min = 0;
  std::int64_t Max = 0;
};

/// One object of a document. Each read names a field that is known; finish()
/// reports the others. Reads return nothing when the field is absent or wrong,
/// and wrong fields are reported.
class ObjectReader {
public:
  /// \p path is the place of \p value in the document, "" for its root.
  ObjectReader(const boost::json::value &value, std::string path,
               Faults &faults);

  std::optional<std::string> readString(std::string_view field, Presence need);
  /// A name as in settings paths.
  std::optional<std::string> readName(std::string_view field, Presence need);
  std::optional<bool> readBool(std::string_view field, Presence need);
  std::optional<std::int64_t> readInteger(std::string_view field, Presence need,
                                          IntegerRange range);
  std::optional<double> readNumber(std::string_view field, double min,
                                   double max);
  /// The array's items, or null.
  const boost::json::array *readArray(std::string_view field, Presence need,
                                      std::size_t maxitems);
  const boost::json::object *readObject(std::string_view field, Presence need);
  std::vector<std::string> readStrings(std::string_view field, Presence need,
                                       std::size_t maxitems);
  /// A field of any type, or null.
  const boost::json::value *readAny(std::string_view field, Presence need);

  /// Reports fields that no read has named.
  void finish();
  void report(std::string_view field, base::ResultCode code,
              std::string message);
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
