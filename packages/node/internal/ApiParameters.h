// Parses the query string of a control API call.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace magnoliamill::node::internal {

/// "a=1&b=x%2Fy" as a map, percent-decoded.
std::map<std::string, std::string> parseQuery(std::string_view query);

std::string decodePercent(std::string_view text);

/// Returns the number in parameter \p name, \p fallback when it is absent or
/// empty, and nothing when it is malformed.
std::optional<std::uint64_t>
readNumber(const std::map<std::string, std::string> &parameters,
           const std::string &name, std::uint64_t fallback);

std::string readText(const std::map<std::string, std::string> &parameters,
                     const std::string &name);

} // namespace magnoliamill::node::internal
