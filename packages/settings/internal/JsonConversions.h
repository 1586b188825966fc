// Conversions between Boost.JSON and standard library types.
#pragma once

#include <boost/json.hpp>
#include <string>
#include <string_view>

namespace magnoliamill::settings::internal {

inline std::string toString(const boost::json::string &text) {
  return {text.data(), text.size()};
}

/// Parses \p value as JSON to embed it in a document. An empty text becomes
/// null, one that is not JSON a string.
inline boost::json::value embedJson(std::string_view value) {
  if (value.empty())
    return nullptr;
  boost::system::error_code ec;
  auto parsed = boost::json::parse({value.data(), value.size()}, ec);
  if (ec)
    return boost::json::value(value);
  return parsed;
}

} // namespace magnoliamill::settings::internal
