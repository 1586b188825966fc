// The grants of a target that checks tokens. Uses no clock and no sockets.
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
  /// Applies the full list of grants from a dispatcher:
  /// {"dispatcher","dispatch_token",
  /// "as_of","ttl_ms","slots":[{"slot","token"}]} and, when given, "sequence",
  /// which orders grants of one dispatch token. Returns the JSON reply, which
  /// says whether the grant was accepted or refused as stale. Fails with
  /// JsonMalformed, or with the error of a malformed token.
  base::Result<std::string> apply(std::string_view body, std::int64_t now);

  /// The reason why a request for \p slot may not run, or nothing when it may.
  std::optional<std::string>
  findRefusalReason(base::SlotNumber slot,
                    const std::optional<base::Token> &token,
                    std::int64_t now) const;

  /// Number of slots that are granted at \p now.
  std::size_t countGranted(std::int64_t now) const {
    return now < ExpiresAt ? Slots.size() : 0;
  }
  /// Number of grants refused as stale.
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

  // Position of the newest accepted grant; an older one must never replace it.
  base::Token HighestDispatchToken;
  std::int64_t LastAsOf = 0;
  std::uint64_t LastSequence = 0;
  std::int64_t ExpiresAt = 0;
  std::map<base::SlotNumber, base::Token> Slots;
  // Entries are never removed: a slot that is granted again has a higher token.
  std::map<base::SlotNumber, base::Token> HighestTokens;
  std::uint64_t StaleCount = 0;
};

} // namespace magnoliamill::fakes
