// A strict parser for JSON from untrusted sources.
#pragma once

#include "base/Result.h"

#include <boost/json/value.hpp>
#include <cstddef>
#include <string_view>

namespace magnoliamill::base {

/// Parses one JSON value nested at most \p depth levels. Fails with
/// JsonMalformed, also if a number is too large for a double, or with
/// DuplicateField when an object has two members of the same name: lenient
/// parsers silently drop one of them, and which one differs.
Result<boost::json::value> parseStrictJson(std::string_view text,
                                           std::size_t depth = 32);

} // namespace magnoliamill::base
