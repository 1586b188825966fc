// What a target that checks tokens knows of its grants. No clock, no sockets.
#pragma once

#include "base/Ids.h"
#include "base/Result.h"
#include "base/Token.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace magnoliamill::fakes {

/// All times are milliseconds on the target's own clock.
class GrantTable {
public:
  /// Takes the full list of a dispatcher: {"dispatcher","dispatch_token",
  /// "as_of","ttl_ms","slots":[{"slot","token"}]} and, when given, "sequence",
  /// which orders grants of one dispatch token. Returns the JSON reply; a stale
  /// grant is refused in it. Error: JsonMalformed.
  base::Result<std::string> apply(std::string_view body, std::int64_t now);

  /// Why a request for \p slot may not run, or nothing when it may.
  std::optional<std::string>
  findRefusalReason(base::SlotNumber slot,
                    const std::optional<base::Token> &token,
                    std::int64_t now) const;

  /// Slots that are granted now.
  std::size_t countGranted(std::int64_t now) const {
    return now < ExpiresAt ? Slots.size() : 0;
  }
  std::uint64_t countStaleGrants() const { return StaleCount; }

private:
  struct Grant {
    std::string Dispatcher;
    base::Token DispatchToken;
    std::int64_t AsOf = 0;
    std::int64_t TtlMs = 0;
    std::uint64_t Sequence = 0;
    std::map<base::SlotNumber, base::Token> Slots;
  };
  static base::Result<Grant> parse(std::string_view body);
  bool isStale(const Grant &grant, std::int64_t now) const;

  // Order of the newest accepted grant: an older one must never replace it.
  base::Token HighestDispatchToken;
  std::int64_t LastAsOf = 0;
  std::uint64_t LastSequence = 0;
  std::int64_t ExpiresAt = 0;
  std::map<base::SlotNumber, base::Token> Slots;
  // Never shrinks: a slot that comes back has a higher token.
  std::map<base::SlotNumber, base::Token> HighestTokens;
  std::uint64_t StaleCount = 0;
};

} // namespace magnoliamill::fakes
