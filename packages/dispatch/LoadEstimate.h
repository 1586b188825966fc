// Estimates when a target would answer a request that is sent now, from the
// load that it reported last and from the sender's own requests. Answers the
// load of targets whose queues and speeds differ and change several times a
// second. Without a report, all figures are those of the sender's own requests
// and measured times. Performs no I/O.
#pragma once

#include "base/Time.h"
#include "dispatch/TargetLoad.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <optional>

namespace magnoliamill::dispatch {

class LoadEstimate {
public:
  /// The target reported \p load. \p own requests of this sender are still at
  /// the target; the others that it reported are those of other senders.
  void onReport(const TargetLoad &load, std::uint32_t own, base::MonoTime now) {
    const double others =
        std::max(static_cast<double>(load.Running) + load.Waiting - own, 0.0);
    const double slowness = load.SlownessPercent / 100.0;
    const double share = isKnown(now) ? SmoothingFactor : 1;
    MeanOthers += (others - MeanOthers) * share;
    MeanSlowness += (slowness - MeanSlowness) * share;
    LastOthers = others;
    LastSlowness = slowness;
    ReportedAt = now;
  }

  /// Whether a report is recent enough to be used.
  bool isKnown(base::MonoTime now) const {
    return ReportedAt && now - *ReportedAt < MaxAge;
  }
  /// Age of the last report; not set if there is none in use.
  std::optional<base::Duration> age(base::MonoTime now) const {
    return isKnown(now) ? std::optional(now - *ReportedAt) : std::nullopt;
  }

  /// Requests of other senders at the target; moves from the last report to the
  /// mean of the reports with age.
  double others(base::MonoTime now) const {
    return isKnown(now) ? MeanOthers + (LastOthers - MeanOthers) *
                                           weight(now, OthersFade)
                        : 0;
  }
  /// All requests at the target, of which \p own are this sender's.
  double present(std::uint32_t own, base::MonoTime now) const {
    return own + others(now);
  }
  /// The target's speed relative to its usual speed, at which the measured mean
  /// times hold.
  double speed(base::MonoTime now) const {
    if (!isKnown(now))
      return 1;
    const double reported =
        std::clamp(MeanSlowness / LastSlowness, MinSpeed, MaxSpeed);
    return 1 + (reported - 1) * weight(now, SlownessFade);
  }
  /// How long something takes that takes \p usual at the usual speed, if the
  /// present \p speed moves back to the usual one as quickly as slowdowns end.
  static base::Duration timeAt(double speed, base::Duration usual) {
    if (speed == 1)
      return usual;
    // Solves time + gain * (1 - exp(-time / fade)) = usual for the time, with
    // Newton's method. The left side rises everywhere, since speed is positive.
    const double fade = static_cast<double>(SlownessFade.count());
    const double gain = (speed - 1) * fade;
    const auto work = static_cast<double>(usual.count());
    double time = work;
    for (int i = 0; i < SolverSteps; ++i) {
      const double left = std::exp(-time / fade);
      time -= (time + gain * (1 - left) - work) / (1 + (speed - 1) * left);
      time = std::max(time, 0.0);
    }
    return base::Duration(std::llround(time));
  }
  /// The time until the answer to a request that is sent now, if \p own
  /// requests of this sender are at the target, requests take \p mean at the
  /// usual speed, and \p lanes requests run at once.
  base::Duration answerTime(base::Duration mean, std::uint32_t own,
                            double lanes, base::MonoTime now) const {
    const double rounds = std::max((present(own, now) + 1) / lanes, 1.0);
    return timeAt(speed(now),
                  std::chrono::duration_cast<base::Duration>(
                      std::chrono::duration<double, std::micro>(
                          static_cast<double>(mean.count()) * rounds)));
  }

  /// Reports that are older are not used: about five times the fade times, so
  /// that they have next to no weight by then.
  static constexpr base::Duration MaxAge = std::chrono::milliseconds(2000);
  /// Slowdowns of a machine begin and end every 400 ms on average.
  static constexpr base::Duration SlownessFade = std::chrono::milliseconds(400);
  /// The other senders' requests at a target are replaced by later ones within
  /// about the time of two requests (160 to 370 ms each).
  static constexpr base::Duration OthersFade = std::chrono::milliseconds(500);

private:
  double weight(base::MonoTime now, base::Duration fade) const {
    return std::exp(-std::chrono::duration<double>(now - *ReportedAt) /
                    std::chrono::duration<double>(fade));
  }

  /// Share of the latest report in the means, which cover about 20 reports.
  static constexpr double SmoothingFactor = 0.05;
  /// Bounds of the relative speed: a report of a machine that almost stands
  /// still must not exclude it for longer than the report is used.
  static constexpr double MinSpeed = 0.1;
  static constexpr double MaxSpeed = 4;
  /// Steps until the result is exact to about a millisecond.
  static constexpr int SolverSteps = 6;

  std::optional<base::MonoTime> ReportedAt;
  double LastOthers = 0;
  double LastSlowness = 1;
  double MeanOthers = 0;
  double MeanSlowness = 1;
};

} // namespace magnoliamill::dispatch
