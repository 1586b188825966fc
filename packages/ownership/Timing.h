// The durations of leases and grants, on which exclusive ownership depends, and
// the clock drift that they allow for.
#pragma once

#include "base/Time.h"

namespace magnoliamill::ownership {

/// Maximum drift between two clocks as a fraction of the measured time: each
/// may be off by 1 %, one fast and one slow.
constexpr double MaxRelativeDrift = 0.0202;

/// Duration of a dispatcher's lease, counted by the dispatcher from when it
/// sent the request.
constexpr base::Duration LeaseDuration = std::chrono::milliseconds(600);
constexpr base::Duration LeaseRenewInterval = std::chrono::milliseconds(200);
/// A lease request without a reply is repeated after this time.
constexpr base::Duration LeaseRetryInterval = std::chrono::milliseconds(100);
/// A changed report is sent at once, but at most once in this time.
constexpr base::Duration MinReportInterval = std::chrono::milliseconds(20);

/// Duration of a target's grant, counted from the clock value that the target
/// reported.
constexpr base::Duration GrantTtl = std::chrono::milliseconds(800);
constexpr base::Duration GrantRenewInterval = std::chrono::milliseconds(200);
/// A grant without a reply counts as failed after this time.
constexpr base::Duration GrantTimeout = std::chrono::milliseconds(250);
constexpr base::Duration GrantRetryInterval = std::chrono::milliseconds(50);

/// The longest local time that \p duration on another clock can take.
constexpr base::Duration maxLocalDuration(base::Duration duration) {
  return base::Duration(static_cast<base::Duration::rep>(
      static_cast<double>(duration.count()) * (1.0 + MaxRelativeDrift)));
}
/// The shortest local time that \p duration on another clock can take.
constexpr base::Duration minLocalDuration(base::Duration duration) {
  return base::Duration(static_cast<base::Duration::rep>(
      static_cast<double>(duration.count()) * (1.0 - MaxRelativeDrift)));
}

} // namespace magnoliamill::ownership
