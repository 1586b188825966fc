// What targets told this VM about themselves in their answers: that they leave,
// that they want no requests for a while, or how many requests they take.
// Decides whether a target may get a request. Performs no I/O.
#pragma once

#include "base/Time.h"
#include "dispatch/RateLimiter.h"
#include "keyspace/Types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>

namespace magnoliamill::entry {

/// Belongs to target instances, not to addresses: the next target at an address
/// starts without notices. Independent of the view, since a target that the
/// view lost and found again is still the same one.
class TargetNotices {
public:
  /// A target that leaves gets requests for \p drain after its first
  /// notice. \p seed spreads the times at which VMs start to send to a target
  /// that limits the rate.
  explicit TargetNotices(base::Duration drain, std::uint64_t seed = 0);

  /// The target said that it leaves. False if that was known.
  bool onLeaving(const keyspace::TargetInstance &instance, base::MonoTime now);
  /// The target asked for no requests for \p pause. False if an earlier notice
  /// asked for a pause that lasts as long.
  bool onPause(const keyspace::TargetInstance &instance, base::Duration pause,
               base::MonoTime now);
  /// An answer of the target named the requests per second that it takes from
  /// all VMs together, or none if it takes any number. \p SenderCount VMs send
  /// to it. False if that was known.
  bool onRateLimit(const keyspace::TargetInstance &instance,
                   std::optional<double> limit, std::uint32_t SenderCount,
                   base::MonoTime now);
  /// A request is sent to the target without a permit. Permits keep the rate by
  /// themselves.
  void onSentWithoutPermit(const keyspace::TargetInstance &instance,
                           base::MonoTime now);

  /// The requests per second that the target takes; not set if it takes any
  /// number.
  std::optional<double>
  rateLimit(const keyspace::TargetInstance &instance) const;
  bool isLeaving(const keyspace::TargetInstance &instance) const;
  /// The time from which the target may get requests with a permit: \p now if
  /// it may at present, MonoTime::max() if it never may again.
  base::MonoTime opensAt(const keyspace::TargetInstance &instance,
                         base::MonoTime now) const;
  bool isOpen(const keyspace::TargetInstance &instance,
              base::MonoTime now) const {
    return opensAt(instance, now) <= now;
  }
  /// The same for requests without a permit, of which this VM may send its
  /// share of the target's rate.
  base::MonoTime opensWithoutPermit(const keyspace::TargetInstance &instance,
                                    base::MonoTime now) const;
  std::size_t size() const { return Notices.size(); }

  /// Maximum number of targets with notices, so that targets which are gone
  /// don't accumulate. Those with the oldest notices are forgotten.
  static constexpr std::size_t MaxTargets = 1024;

private:
  struct Notice {
    base::MonoTime ReceivedAt;
    base::MonoTime PausedUntil{};
    base::MonoTime DrainedAt = base::MonoTime::max();
    std::optional<double> RateLimit;
    /// This VM's share of the rate.
    dispatch::RateLimiter Share;
  };

  Notice &put(const keyspace::TargetInstance &instance, base::MonoTime now);
  /// Makes room for another target.
  void forget(base::MonoTime now);

  base::Duration DrainTime;
  std::mt19937_64 Random;
  std::map<keyspace::TargetInstance, Notice> Notices;
};

} // namespace magnoliamill::entry
