// Paces the parts of large answers in one direction of the VM's network link,
// so that the link's queue stays short. Answers the load of large answers on a
// narrow link: what is sent behind one, connections to targets included, would
// wait for the whole of it. Without I/O.
#pragma once

#include "base/Time.h"

#include <algorithm>

namespace magnoliamill::entry {

class LinkPacer {
public:
  /// \p rate of the direction in bytes/s; 0 for no limit.
  explicit LinkPacer(double rate) : Rate(rate * PacedShare) {}

  /// How long the part after one of \p bytes has to wait.
  base::Duration delayAfter(std::size_t bytes, base::MonoTime now) {
    if (Rate <= 0)
      return base::Duration::zero();
    FreeAt =
        std::max(FreeAt, now) +
        std::chrono::duration_cast<base::Duration>(
            std::chrono::duration<double>(static_cast<double>(bytes) / Rate));
    const auto wait = FreeAt - now;
    return wait < MinWait ? base::Duration::zero() : wait;
  }

private:
  /// Part of the link that large answers may take; the rest is for small ones,
  /// requests, connections and the view.
  static constexpr double PacedShare = 0.7;
  /// A shorter wait isn't worth waking the process.
  static constexpr base::Duration MinWait = std::chrono::milliseconds(5);

  double Rate;
  base::MonoTime FreeAt;
};

/// Answers up to this size are passed on at once: 50 ms of a link of 5 Mbit/s.
constexpr std::size_t LargeAnswerBytes = 32u << 10;
/// Parts of a large answer: 25 ms of a link of 5 Mbit/s.
constexpr std::size_t AnswerPartBytes = 16u << 10;

} // namespace magnoliamill::entry
