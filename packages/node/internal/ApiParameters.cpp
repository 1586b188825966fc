// Percent decoding and number parsing for control API calls.
#include "node/internal/ApiParameters.h"

#include <charconv>

namespace magnoliamill::node::internal {

std::string decodePercent(std::string_view text) {
  std::string out;
  out.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      unsigned value = 0;
      const char *from = text.data() + i + 1;
      auto [ptr, ec] = std::from_chars(from, from + 2, value, 16);
      if (ec == std::errc() && ptr == from + 2) {
        out.push_back(static_cast<char>(value));
        i += 2;
        continue;
      }
    }
    out.push_back(text[i] == '+' ? ' ' : text[i]);
  }
  return out;
}

std::map<std::string, std::string> parseQuery(std::string_view query) {
  std::map<std::string, std::string> parameters;
  while (!query.empty()) {
    auto end = query.find('&');
    auto part = query.substr(0, end);
    auto equals = part.find('=');
    if (equals == std::string_view::npos)
      parameters[decodePercent(part)] = "";
    else
      parameters[decodePercent(part.substr(0, equals))] =
          decodePercent(part.substr(equals + 1));
    if (end == std::string_view::npos)
      break;
    query.remove_prefix(end + 1);
  }
  return parameters;
}

std::optional<std::uint64_t>
readNumber(const std::map<std::string, std::string> &parameters,
           const std::string &name, std::uint64_t fallback) {
  auto it = parameters.find(name);
  if (it == parameters.end() || it->second.empty())
    return fallback;
  std::uint64_t value = 0;
  const char *end = it->second.data() + it->second.size();
  auto [ptr, ec] = std::from_chars(it->second.data(), end, value);
  if (ec != std::errc() || ptr != end)
    return std::nullopt;
  return value;
}

std::string readText(const std::map<std::string, std::string> &parameters,
                     const std::string &name) {
  auto it = parameters.find(name);
  return it == parameters.end() ? std::string() : it->second;
}

} // namespace magnoliamill::node::internal
