// The VM's side of its dispatcher lease: when to renew it and how long it is
// valid.
#pragma once

#include "ownership/DispatchAgent.h"
#include "ownership/Timing.h"

namespace magnoliamill::ownership::internal {

class LeaseHolder {
public:
  explicit LeaseHolder(base::MonoTime now) : StartedAt(now) {}

  /// True when a request is due: the renewal interval is over or the report has
  /// changed.
  bool isDue(const DispatchReport &report, base::MonoTime now) const;
  SendLeaseRequest send(DispatchReport report, bool leaving,
                        base::MonoTime now);
  void onReply(const LeaseReplied &reply, base::MonoTime now);
  bool isValid(base::MonoTime now) const { return now < ValidUntil; }
  base::MonoTime nextWake() const;

private:
  /// Time until the next request after one sent at \p sent.
  base::Duration intervalAfter(base::MonoTime sent) const;

  /// Replies to requests sent before this time are ignored: they belong to an
  /// earlier run of the process.
  base::MonoTime StartedAt;
  std::optional<base::MonoTime> LastSent;
  DispatchReport LastReport;
  /// Counted from when the granted request was sent.
  base::MonoTime ValidUntil{};
};

} // namespace magnoliamill::ownership::internal
