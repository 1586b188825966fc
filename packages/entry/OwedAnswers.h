// Forecasts when the answers that a VM owes its clients have been passed on, if
// each of them is as late as it may be. Performs no I/O.
#pragma once

#include "base/Time.h"
#include "entry/LinkPacer.h"

#include <algorithm>
#include <vector>

namespace magnoliamill::entry {

struct OwedAnswer {
  /// When its target has answered at the latest.
  base::MonoTime DueBy;
  /// Known or expected bytes that were not passed on yet.
  double Bytes = 0;
};

/// Returns the latest time at which an answer due by \p deadline, which must be
/// one of \p answers, and the answers that it can delay have been passed on.
inline base::MonoTime latestDelivery(std::vector<OwedAnswer> answers,
                                     base::MonoTime deadline,
                                     const LinkPacer &pacer) {
  std::ranges::sort(answers, std::ranges::greater(), &OwedAnswer::DueBy);
  auto latest = deadline;
  double bytes = 0;
  // The link is busy from one of the due times on, in the worst case with all
  // answers that are due then or later.
  for (const auto &answer : answers) {
    bytes += answer.Bytes;
    if (answer.DueBy <= deadline)
      latest = std::max(latest, answer.DueBy + pacer.transferTime(bytes));
  }
  return latest;
}

} // namespace magnoliamill::entry
