// A strict parser for JSON from untrusted sources.
#pragma once

#include "base/Result.h"

#include <boost/json/value.hpp>
#include <cstddef>
#include <limits>
#include <string_view>

namespace magnoliamill::base {

struct JsonLimits {
  std::size_t Depth = 32;
  /// Arrays, objects and their items and members. A small one takes up to 60
  /// times as much memory as text.
  std::size_t Values = std::numeric_limits<std::size_t>::max();
};

/// Parses one JSON value within \p limits. Fails with JsonMalformed, also if a
/// number is too large for a double, or with DuplicateField when an object has
/// two members of the same name: lenient parsers silently drop one of them, and
/// which one differs.
Result<boost::json::value> parseStrictJson(std::string_view text,
                                           JsonLimits limits = {});

} // namespace magnoliamill::base
