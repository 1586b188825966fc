// How fast targets answer, as entries see it and as the leader puts it
// together.
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

/// Answers of one target in one interval of one entry.
struct SpeedSample {
  keyspace::TargetInstance Instance;
  std::uint32_t Answers = 0;
  /// Mean logarithm of the time of each answer over the mean time of its route.
  double MeanLogRatio = 0;
};

using SpeedReport = std::vector<SpeedSample>;

/// An entry's part: compares each answer with the others of its route, so that
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

  /// What was measured since the last call.
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

/// The leader's part: the relative speed of each target. Answers the load of
/// targets that differ in speed: equal shares would overload the slow ones.
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

  /// 1 for a target as fast as the mean, or of which too little is known. Only
  /// what exceeds the noise of the estimate counts: moves that follow noise
  /// interrupt keys for nothing.
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
  /// Answers that make an estimate: the times of single requests vary by more
  /// than the speeds of targets.
  static constexpr double MinAnswers = 20;
  /// Answers that are remembered, about: a target that turns slow shows after
  /// as many.
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
