// Measures how fast targets answer: entries report samples, and the leader
// combines them into the relative speed of each target.
#pragma once

#include "base/Time.h"
#include "keyspace/Types.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace magnoliamill::fleet {

/// Answers of one target that one entry received in one interval.
struct SpeedSample {
  keyspace::TargetInstance Instance;
  std::uint32_t Answers = 0;
  /// Mean of log(time of an answer / mean time of its route).
  double MeanLogRatio = 0;
};

using SpeedReport = std::vector<SpeedSample>;

/// Used by an entry. Compares each answer with the mean of its route, so that
/// targets with heavier requests don't count as slow.
class SpeedMeter {
public:
  void onAnswer(const keyspace::TargetInstance &instance,
                const std::string &route, base::Duration time) {
    const double us = static_cast<double>(time.count());
    if (us <= 0)
      return;
    double &mean = MeanLog.try_emplace(route, std::log(us)).first->second;
    const double deviation = std::log(us) - mean;
    mean += deviation * RouteGain;
    Sum &sum = Sums[instance];
    ++sum.Answers;
    sum.LogRatio += deviation;
  }

  /// Returns the samples measured since the last call.
  SpeedReport take() {
    SpeedReport report;
    for (const auto &[instance, sum] : Sums)
      report.push_back({instance, sum.Answers, sum.LogRatio / sum.Answers});
    Sums.clear();
    return report;
  }

private:
  static constexpr double RouteGain = 0.01;
  struct Sum {
    std::uint32_t Answers = 0;
    double LogRatio = 0;
  };
  std::map<std::string, double> MeanLog;
  std::map<keyspace::TargetInstance, Sum> Sums;
};

/// Used by the leader. Estimates the relative speed of each target, so that
/// load is shared by speed: equal shares would overload slow targets.
class SpeedTable {
public:
  void add(const SpeedReport &report) {
    for (const auto &sample : report) {
      Entry &entry = Entries[sample.Instance];
      entry.Weight =
          entry.Weight * decayFactor(sample.Answers) + sample.Answers;
      entry.LogRatio += (sample.MeanLogRatio - entry.LogRatio) *
                        sample.Answers / entry.Weight;
    }
  }

  /// Speed relative to the mean. It is 1 for a target as fast as the mean and
  /// for one with too few answers. Only the deviation beyond the noise of the
  /// estimate counts: moving stripes because of noise interrupts their keys
  /// without benefit.
  double speedOf(const keyspace::TargetInstance &instance) const {
    auto it = Entries.find(instance);
    if (it == Entries.end() || it->second.Weight < MinAnswers)
      return 1.0;
    const Entry &entry = it->second;
    const double noise = AnswerNoise / std::sqrt(entry.Weight);
    const double excess = std::max(std::abs(entry.LogRatio) - noise, 0.0);
    return std::clamp(std::exp(-std::copysign(excess, entry.LogRatio)),
                      MinSpeed, MaxSpeed);
  }
  void remove(const keyspace::TargetInstance &instance) {
    Entries.erase(instance);
  }

private:
  /// Answers needed for an estimate: the times of single requests vary more
  /// than the speeds of targets.
  static constexpr double MinAnswers = 20;
  /// Number of answers after which the weight of earlier ones has fallen to
  /// 1/e. A target that turns slow is recognized after about as many.
  static constexpr double DecayAnswers = 150;
  /// Two standard deviations of the logarithm of one answer's time.
  static constexpr double AnswerNoise = 1.6;
  static constexpr double MinSpeed = 0.25;
  static constexpr double MaxSpeed = 2.5;
  static double decayFactor(std::uint32_t answers) {
    return std::exp(-static_cast<double>(answers) / DecayAnswers);
  }

  struct Entry {
    double Weight = 0;
    double LogRatio = 0;
  };
  std::map<keyspace::TargetInstance, Entry> Entries;
};

} // namespace magnoliamill::fleet
