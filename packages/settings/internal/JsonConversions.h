// Small conversions between Boost.JSON and the standard library's types.
#pragma once

#include <boost/json.hpp>
#include <string>
#include <string_view>

namespace magnoliamill::settings::internal {

inline std::string toString(const boost::json::string &text) {
  return {text.data(), text.size()};
}

/// The text of \p value as JSON; an empty text becomes null.
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
