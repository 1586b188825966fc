// Clocks and time types. Time is in microseconds on the monotonic clock.
// Decision logic never reads a clock: it receives the time as an argument.
#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace magnoliamill::base {

using Duration = std::chrono::microseconds;
using MonoTime = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

/// Reads the monotonic clock that also advances while the VM is suspended, so
/// that a holder that resumes after its lease ran out sees it as expired. Only
/// for I/O code; decision logic takes `now` as an argument. Event loop timers
/// run on a different clock: set them with delayUntil().
inline MonoTime readMonotonic() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return MonoTime(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

/// The delay until \p time for an event loop timer. Never negative, and at most
/// one hour, so that a timer can also be set for a time that means "never".
inline Duration delayUntil(MonoTime time) {
  const MonoTime now = readMonotonic();
  constexpr Duration Longest = std::chrono::hours(1);
  if (time <= now)
    return Duration::zero();
  return time - now < Longest ? time - now : Longest;
}

/// Wall clock in milliseconds since 1970. Only for the audit trail and logs,
/// never for decisions.
inline std::int64_t readWallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline std::int64_t toMs(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

} // namespace magnoliamill::base
