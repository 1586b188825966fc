// Paces the parts of large answers in one direction of the VM's network link to
// keep the link's queue short. Without pacing, all later traffic on a narrow
// link, including new connections to targets, would wait until a large answer
// has been sent completely. Performs no I/O.
#pragma once

#include "base/Time.h"

#include <algorithm>

namespace magnoliamill::entry {

class LinkPacer {
public:
  /// Share of the link's rate that large answers may use; the rest is for small
  /// answers, requests, connections and the view.
  static constexpr double PacedShare = 0.55;

  /// \p rate is that of the direction in bytes/s; 0 for no limit.
  explicit LinkPacer(double rate)
      : LinkRate(rate), Rate(rate * PacedShare),
        PartBytes(rate <= 0 ? MaxPartBytes
                            : std::clamp(static_cast<std::size_t>(
                                             rate * MaxPartSeconds),
                                         MinPartBytes, MaxPartBytes)) {}

  /// Size of the parts of a large answer.
  std::size_t partBytes() const { return PartBytes; }

  /// Records a part of \p bytes sent at \p now. Returns how long the next part
  /// has to wait.
  base::Duration delayAfter(std::size_t bytes, base::MonoTime now) {
    if (Rate <= 0)
      return base::Duration::zero();
    FreeAt = std::max(FreeAt, now) + transferTime(static_cast<double>(bytes));
    const auto wait = FreeAt - now;
    return wait < MinWait ? base::Duration::zero() : wait;
  }

  /// Passes on what is left as fast as the link allows, because the VM stops:
  /// it soon gets no new connections, which large answers would hold up.
  void expedite() { Rate = LinkRate * ExpeditedShare; }

  /// How long the pacer takes to let \p bytes pass.
  base::Duration transferTime(double bytes) const {
    if (Rate <= 0)
      return base::Duration::zero();
    return std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(bytes / Rate));
  }

private:
  /// The same while the VM stops; the rest is for the last small answers and
  /// packet overhead.
  static constexpr double ExpeditedShare = 0.85;
  /// Shorter waits are skipped: they are not worth waking the process.
  static constexpr base::Duration MinWait = std::chrono::milliseconds(5);

  /// How long a part may occupy the link: small answers wait for it.
  static constexpr double MaxPartSeconds = 0.012;
  static constexpr std::size_t MinPartBytes = 2u << 10;
  static constexpr std::size_t MaxPartBytes = 16u << 10;

  double LinkRate;
  double Rate;
  std::size_t PartBytes;
  base::MonoTime FreeAt;
};

/// Answers up to this size are passed on without pacing; they take 50 ms on a
/// link of 5 Mbit/s.
constexpr std::size_t LargeAnswerBytes = 32u << 10;

} // namespace magnoliamill::entry
