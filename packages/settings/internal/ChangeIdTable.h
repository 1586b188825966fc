// The outcomes of recent changes by change id, so that a resend gets the first
// outcome.
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

constexpr std::size_t MaxIdLength = 128;

/// An id belongs to the one who used it: ids of two teams do not meet.
struct ChangeKey {
  std::string Who;
  std::string Id;
  auto operator<=>(const ChangeKey &) const = default;
};

struct RememberedChange {
  /// Hash of what was asked for, to tell a resend from a reuse of the id.
  std::uint64_t Digest = 0;
  ChangeOutcome Outcome;
};

class ChangeIdTable {
public:
  explicit ChangeIdTable(std::uint64_t window) : Window(window) {}

  /// The first outcome of the same change under the same id, or null.
  const ChangeOutcome *findOutcome(const ChangeKey &key,
                                   std::uint64_t digest) const;
  /// Why a change that is no resend is refused for its id: ChangeIdReused,
  /// ChangeIdExpired, or BadRequest for a malformed id.
  std::optional<ChangeOutcome> validate(const ChangeKey &key,
                                        consensus::LogIndex now) const;
  /// Remembers the outcome decided at outcome.Index.
  void remember(ChangeKey key, std::uint64_t digest, ChangeOutcome outcome);
  /// Drops what lies more than the window before \p now.
  void expire(consensus::LogIndex now);

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
