// Records when each round of requests was sent, by the leader's own clock.
#pragma once

#include "base/Time.h"

#include <deque>
#include <optional>

namespace magnoliamill::consensus::internal {

class RoundSendTimes {
public:
  std::uint64_t current() const { return Current; }

  /// Starts a round at \p now and forgets rounds that are older than \p keep.
  void start(base::MonoTime now, base::Duration keep) {
    while (!Sent.empty() && Sent.front().At + keep < now)
      Sent.pop_front();
    Sent.push_back({++Current, now});
  }

  /// Nothing if \p round has not been started or is no longer recorded.
  std::optional<base::MonoTime> sentAt(std::uint64_t round) const {
    if (Sent.empty() || round < Sent.front().Number || round > Current)
      return std::nullopt;
    return Sent[static_cast<std::size_t>(round - Sent.front().Number)].At;
  }

private:
  struct Round {
    std::uint64_t Number = 0;
    base::MonoTime At;
  };

  std::uint64_t Current = 0;
  std::deque<Round> Sent;
};

} // namespace magnoliamill::consensus::internal
