// The fencing token of a key. It strictly increases with every handover.
#pragma once

#include "base/Result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace magnoliamill::base {

/// Ordered by Epoch, then by Index. The settings group issues a new Epoch for
/// every move of a home and every start of a data-centre group. Index is the
/// position of the assignment in the data-centre group's log.
struct Token {
  std::uint64_t Epoch = 0;
  std::uint64_t Index = 0;
  auto operator<=>(const Token &) const = default;
};

/// "epoch.index", the form of the Mill-Token header.
std::string formatToken(Token token);
/// Fails with GrantStale when \p text is not of that form.
Result<Token> parseToken(std::string_view text);

} // namespace magnoliamill::base
