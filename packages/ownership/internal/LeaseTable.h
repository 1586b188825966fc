// The leader's side of the dispatcher leases.
#pragma once

#include "base/Time.h"
#include "ownership/Controller.h"
#include "ownership/Timing.h"
#include "ownership/View.h"

#include <map>
#include <vector>

namespace magnoliamill::ownership::internal {

/// One run of a VM's process: what a lease is granted to.
struct LeaseHolderId {
  base::VmId Vm;
  std::uint64_t Incarnation = 0;
  auto operator<=>(const LeaseHolderId &) const = default;
};

LeaseHolderId dispatcherOf(const TargetView &target);

/// Lives for one term of the leader. A lease is granted only to a VM that knows
/// every target that was taken from it.
class LeaseTable {
public:
  /// \p index is that of the entry that made the term the one in force.
  LeaseTable(consensus::LogIndex index, base::MonoTime now)
      : TermIndex(index), TermStart(now) {}

  /// True when the lease is granted.
  bool renew(const LeaseRequested &request, base::MonoTime now);
  /// True while \p holder may hold a lease, of this leader or an earlier one.
  bool mayHoldLease(const LeaseHolderId &holder, base::MonoTime now) const;
  /// Holders that may be given targets.
  std::vector<LeaseHolderId> listCandidates(base::MonoTime now) const;
  /// Gives \p holder no targets for a while.
  void avoid(const LeaseHolderId &holder, base::MonoTime until);
  /// What \p holder reported in this term; empty when nothing.
  const DispatchReport *findReport(const LeaseHolderId &holder) const;

  /// \p holder gets no lease until the view shows that the target's dispatch
  /// token is no longer \p token, and not before it knows that view.
  void beginRevocation(const LeaseHolderId &holder,
                       const base::TargetInstanceId &instance,
                       base::Token token);
  void finishRevocations(const View &view);

  base::MonoTime termStart() const { return TermStart; }

private:
  struct Holder {
    /// When a lease was last granted.
    std::optional<base::MonoTime> GrantedAt;
    bool Leaving = false;
    DispatchReport Report;
    /// The index that the holder must have in force.
    consensus::LogIndex RequiredIndex = 0;
    base::MonoTime AvoidUntil{};
  };
  struct Revocation {
    LeaseHolderId Holder;
    base::Token Token;
  };
  bool isLatest(const LeaseHolderId &holder) const;

  consensus::LogIndex TermIndex;
  base::MonoTime TermStart;
  std::map<LeaseHolderId, Holder> Holders;
  std::map<base::TargetInstanceId, Revocation> Revocations;
};

} // namespace magnoliamill::ownership::internal
