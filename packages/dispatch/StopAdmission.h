// Decides which requests a stopping VM still admits: only those that end before
// the VM exits, even if they take as long as they may. Performs no I/O.
#pragma once

#include "base/Time.h"

#include <optional>

namespace magnoliamill::dispatch {

class StopAdmission {
public:
  /// Time for refusing a request whose wait for a permit ends after its
  /// deadline, and for writing the answer on a slow processor.
  static constexpr base::Duration AnswerMargin = std::chrono::milliseconds(150);

  /// The VM exits \p grace after \p now.
  void begin(base::MonoTime now, base::Duration grace) {
    EndsAt = now + grace - ForcedStopMargin;
  }
  bool isStopping() const { return EndsAt.has_value(); }
  /// When unfinished requests are cut off. Requires isStopping().
  base::MonoTime endsAt() const { return *EndsAt; }

  /// Whether to admit a request that its target answers by \p deadline and
  /// whose answer takes \p delivery to pass on.
  bool admits(base::MonoTime deadline, base::Duration delivery) const {
    return !EndsAt || deadline + delivery + AnswerMargin <= *EndsAt;
  }

private:
  /// Time between the forced stop and the end of the stop grace period, for
  /// sending the last answers.
  static constexpr base::Duration ForcedStopMargin =
      std::chrono::milliseconds(150);

  std::optional<base::MonoTime> EndsAt;
};

} // namespace magnoliamill::dispatch
