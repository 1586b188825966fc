// Tracks how much of the VM's network link is reserved for answers in progress,
// so that requests can be refused when large answers overload a narrow link. A
// client that is refused at once reaches another entry, whereas another large
// answer would delay all traffic on this link, including view updates. Performs
// no I/O.
#pragma once

#include "base/Time.h"
#include "entry/LinkPacer.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace magnoliamill::entry {

class LinkBudget {
public:
  /// \p rate is that of one direction of the link in bytes/s; 0 for no limit.
  explicit LinkBudget(double rate)
      : Rate(rate * UsableShare), PacedRate(rate * LinkPacer::PacedShare) {}

  /// The time the link needs to transfer the reserved bytes.
  base::Duration backlog(base::MonoTime now) {
    drain(now);
    return transferTime(ReservedBytes, Rate);
  }

  /// The time until the reserved large answers have been passed on.
  base::Duration largeBacklog(base::MonoTime now) {
    drain(now);
    return transferTime(ReservedLargeBytes, PacedRate);
  }

  /// The time an average answer of \p route takes on the idle link.
  base::Duration expectedTime(const std::string &route) const {
    return transferTime(expectedBytes(route), Rate);
  }

  /// Reserves the link for an answer of \p route. Returns the reserved bytes,
  /// to be passed to release() if they are not sent.
  double reserve(const std::string &route, base::MonoTime now) {
    drain(now);
    const double bytes = expectedBytes(route);
    ReservedBytes += bytes;
    if (bytes > LargeAnswerBytes)
      ReservedLargeBytes += bytes;
    return bytes;
  }

  /// The mean size of the answers of \p route.
  double expectedBytes(const std::string &route) const {
    auto it = MeanBytes.find(route);
    return it == MeanBytes.end() ? DefaultAnswerBytes : it->second;
  }

  /// Frees the reservation of an answer that was not sent.
  void release(double bytes) {
    ReservedBytes = std::max(0.0, ReservedBytes - bytes);
    if (bytes > LargeAnswerBytes)
      ReservedLargeBytes = std::max(0.0, ReservedLargeBytes - bytes);
  }

  /// Updates the mean answer size of \p route.
  void recordSize(const std::string &route, double bytes) {
    auto [it, added] = MeanBytes.try_emplace(route, bytes);
    if (!added)
      it->second += (bytes - it->second) * SmoothingFactor;
  }

private:
  /// Share of the link's rate that answers may use; the rest is for requests,
  /// views and packet overhead.
  static constexpr double UsableShare = 0.85;
  /// Weight of a new answer in the exponential moving average of sizes.
  static constexpr double SmoothingFactor = 0.05;
  /// Assumed size of a route's answers before the first one.
  static constexpr double DefaultAnswerBytes = 2000;

  static base::Duration transferTime(double bytes, double rate) {
    if (rate <= 0)
      return base::Duration::zero();
    return std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(bytes / rate));
  }

  /// Subtracts what the link has transferred since the last call.
  void drain(base::MonoTime now) {
    const std::chrono::duration<double> passed = now - DrainedAt;
    DrainedAt = now;
    ReservedBytes = std::max(0.0, ReservedBytes - passed.count() * Rate);
    ReservedLargeBytes =
        std::max(0.0, ReservedLargeBytes - passed.count() * PacedRate);
  }

  double Rate;
  /// The rate at which large answers are passed on.
  double PacedRate;
  /// All reserved answers, large ones included.
  double ReservedBytes = 0;
  double ReservedLargeBytes = 0;
  base::MonoTime DrainedAt;
  std::map<std::string, double> MeanBytes;
};

} // namespace magnoliamill::entry
