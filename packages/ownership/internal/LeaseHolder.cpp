// The VM's side of its dispatcher lease.
#include "ownership/internal/LeaseHolder.h"

#include <algorithm>

namespace magnoliamill::ownership::internal {

base::Duration LeaseHolder::intervalAfter(base::MonoTime sent) const {
  // Fewer than two renewal intervals are left: the last request was lost or
  // refused.
  const bool retry = ValidUntil < sent + 2 * LeaseRenewInterval;
  return retry ? LeaseRetryInterval : LeaseRenewInterval;
}

bool LeaseHolder::isDue(const DispatchReport &report,
                        base::MonoTime now) const {
  if (!LastSent || now >= *LastSent + intervalAfter(*LastSent))
    return true;
  return now >= *LastSent + MinReportInterval && report != LastReport;
}

SendLeaseRequest LeaseHolder::send(DispatchReport report, bool leaving,
                                   base::MonoTime now) {
  LastSent = now;
  LastReport = std::move(report);
  return {now.time_since_epoch().count(), leaving, encodeReport(LastReport)};
}

void LeaseHolder::onReply(const LeaseReplied &reply, base::MonoTime now) {
  const auto sent = base::MonoTime(base::Duration(reply.SentAtUs));
  if (!reply.Granted || sent < StartedAt || sent > now)
    return;
  const auto granted = std::min(reply.Duration, LeaseDuration);
  ValidUntil = std::max(ValidUntil, sent + minLocalDuration(granted));
}

base::MonoTime LeaseHolder::nextWake() const {
  return LastSent ? *LastSent + intervalAfter(*LastSent) : StartedAt;
}

} // namespace magnoliamill::ownership::internal
