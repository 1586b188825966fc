// Formats and parses fencing tokens.
#include "base/Token.h"

#include <charconv>
#include <fmt/format.h>

namespace magnoliamill::base {

std::string formatToken(Token token) {
  return fmt::format("{}.{}", token.Epoch, token.Index);
}

Result<Token> parseToken(std::string_view text) {
  Token parsed;
  const char *end = text.data() + text.size();
  auto epoch = std::from_chars(text.data(), end, parsed.Epoch);
  if (epoch.ec != std::errc() || epoch.ptr == end || *epoch.ptr != '.')
    return fail(ResultCode::GrantStale, "token is not of the form epoch.index");
  auto index = std::from_chars(epoch.ptr + 1, end, parsed.Index);
  if (index.ec != std::errc() || index.ptr != end)
    return fail(ResultCode::GrantStale, "token is not of the form epoch.index");
  return parsed;
}

} // namespace magnoliamill::base
