// How much of the VM's own network link is promised to answers that are under
// way. Answers the load of large answers on a narrow link: a client that is
// told at once to come back finds another entry, while one more large answer
// would delay everything on this link, the updates of the view included.
// Without I/O.
#pragma once

#include "base/Time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace magnoliamill::entry {

class LinkBudget {
public:
  /// \p rate of one direction of the link; 0 for no limit.
  explicit LinkBudget(double rate) : Rate(rate * UsableShare) {}

  /// The time in which the link has carried what is promised.
  base::Duration backlog(base::MonoTime now) {
    drain(now);
    if (Rate <= 0)
      return base::Duration::zero();
    return std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(ReservedBytes / Rate));
  }

  /// The time that an answer of \p route takes on the idle link.
  base::Duration expectedTime(const std::string &route) const {
    if (Rate <= 0)
      return base::Duration::zero();
    return std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(expectedBytes(route) / Rate));
  }

  /// Promises the link to an answer; returns the bytes for release().
  double reserve(const std::string &route, base::MonoTime now) {
    drain(now);
    const double bytes = expectedBytes(route);
    ReservedBytes += bytes;
    return bytes;
  }

  /// An answer did not come, or not now.
  void release(double bytes) {
    ReservedBytes = std::max(0.0, ReservedBytes - bytes);
  }

  /// An answer of this size came.
  void recordSize(const std::string &route, double bytes) {
    auto [it, added] = MeanBytes.try_emplace(route, bytes);
    if (!added)
      it->second += (bytes - it->second) * SmoothingFactor;
  }

private:
  /// Part of the link that answers may take; the rest is for requests, views
  /// and the overhead of packets.
  static constexpr double UsableShare = 0.85;
  static constexpr double SmoothingFactor = 0.05;
  static constexpr double DefaultAnswerBytes = 2000;

  double expectedBytes(const std::string &route) const {
    auto it = MeanBytes.find(route);
    return it == MeanBytes.end() ? DefaultAnswerBytes : it->second;
  }
  void drain(base::MonoTime now) {
    const std::chrono::duration<double> passed = now - DrainedAt;
    DrainedAt = now;
    ReservedBytes = std::max(0.0, ReservedBytes - passed.count() * Rate);
  }

  double Rate;
  double ReservedBytes = 0;
  base::MonoTime DrainedAt;
  std::map<std::string, double> MeanBytes;
};

} // namespace magnoliamill::entry
