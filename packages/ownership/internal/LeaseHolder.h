// A VM's own side of its dispatcher lease: when to renew, whether it holds.
#pragma once

#include "ownership/DispatchAgent.h"
#include "ownership/Timing.h"

namespace magnoliamill::ownership::internal {

class LeaseHolder {
public:
  explicit LeaseHolder(base::MonoTime now) : StartedAt(now) {}

  /// True when a request is due: the interval is over or there is news to
  /// report.
  bool isDue(const DispatchReport &report, base::MonoTime now) const;
  SendLeaseRequest send(DispatchReport report, bool leaving,
                        base::MonoTime now);
  void onReply(const LeaseReplied &reply, base::MonoTime now);
  bool isValid(base::MonoTime now) const { return now < ValidUntil; }
  base::MonoTime nextWake() const;

private:
  base::Duration intervalAfter(base::MonoTime sent) const;

  /// Replies to requests of an earlier run of the process are not counted.
  base::MonoTime StartedAt;
  std::optional<base::MonoTime> LastSent;
  DispatchReport LastReport;
  /// The lease counts from the sending of the request that was granted.
  base::MonoTime ValidUntil{};
};

} // namespace magnoliamill::ownership::internal
