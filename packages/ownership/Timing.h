// The times on which exclusive ownership rests, and the bound on clock drift
// that they allow for.
#pragma once

#include "base/Time.h"

namespace magnoliamill::ownership {

/// How far two clocks may run apart, as a share of the time measured: both may
/// be off by 1 %.
constexpr double MaxRelativeDrift = 0.0202;

/// A dispatcher's lease, counted from its own sending of the renewal.
constexpr base::Duration LeaseDuration = std::chrono::milliseconds(600);
constexpr base::Duration LeaseRenewInterval = std::chrono::milliseconds(200);
/// A lease request without reply is repeated after this time.
constexpr base::Duration LeaseRetryInterval = std::chrono::milliseconds(100);
/// A changed report leaves at once, but not more often than this.
constexpr base::Duration MinReportInterval = std::chrono::milliseconds(20);

/// A target's grant, counted from the clock value that the target gave.
constexpr base::Duration GrantTtl = std::chrono::milliseconds(800);
constexpr base::Duration GrantRenewInterval = std::chrono::milliseconds(200);
/// A grant without reply counts as failed after this time.
constexpr base::Duration GrantTimeout = std::chrono::milliseconds(250);
constexpr base::Duration GrantRetryInterval = std::chrono::milliseconds(50);

/// The longest that \p duration on another clock can last on one's own.
constexpr base::Duration maxLocalDuration(base::Duration duration) {
  return base::Duration(static_cast<base::Duration::rep>(
      static_cast<double>(duration.count()) * (1.0 + MaxRelativeDrift)));
}
/// The shortest that \p duration on another clock can last on one's own.
constexpr base::Duration minLocalDuration(base::Duration duration) {
  return base::Duration(static_cast<base::Duration::rep>(
      static_cast<double>(duration.count()) * (1.0 - MaxRelativeDrift)));
}

} // namespace magnoliamill::ownership
