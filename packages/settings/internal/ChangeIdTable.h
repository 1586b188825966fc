// Remembers the outcomes of recent changes by change id, so that a resent
// change gets the outcome of the first attempt.
#pragma once

#include "consensus/Types.h"
#include "settings/Commands.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace magnoliamill::settings::internal {

/// In characters.
constexpr std::size_t MaxIdLength = 128;

/// Ids are separate for each principal: two teams may use the same id.
struct ChangeKey {
  std::string Who;
  std::string Id;
  auto operator<=>(const ChangeKey &) const = default;
};

struct RememberedChange {
  /// Hash of the requested change, to distinguish a resend from a reuse of the
  /// id.
  std::uint64_t Digest = 0;
  ChangeOutcome Outcome;
};

class ChangeIdTable {
public:
  explicit ChangeIdTable(std::uint64_t window) : Window(window) {}

  /// The outcome of the same change under the same id, or null.
  const ChangeOutcome *findOutcome(const ChangeKey &key,
                                   std::uint64_t digest) const;
  /// Checks the id of a change that is not a resend. Returns the refusal:
  /// ChangeIdReused, ChangeIdExpired, or BadRequest for a malformed id or one
  /// with a future index. Nothing when the id is acceptable.
  std::optional<ChangeOutcome> validate(const ChangeKey &key,
                                        consensus::LogIndex now) const;
  /// Stores the outcome of a change. Must be called in order of outcome.Index.
  void remember(ChangeKey key, std::uint64_t digest, ChangeOutcome outcome);
  /// Drops the changes that lie more than the window before index \p now.
  void expire(consensus::LogIndex now);

  /// The keys, oldest first.
  const std::deque<ChangeKey> &order() const { return Order; }
  const RememberedChange &at(const ChangeKey &key) const {
    return Changes.at(key);
  }

private:
  std::uint64_t Window;
  std::map<ChangeKey, RememberedChange> Changes;
  // Oldest first; holds exactly the keys of Changes.
  std::deque<ChangeKey> Order;
};

} // namespace magnoliamill::settings::internal
