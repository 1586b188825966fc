// The leader's side of the dispatcher leases: which VM was granted one and
// when.
#pragma once

#include "base/Time.h"
#include "ownership/Controller.h"
#include "ownership/Timing.h"
#include "ownership/View.h"

#include <map>
#include <vector>

namespace magnoliamill::ownership::internal {

/// Leases are granted to one run of a VM's process.
struct LeaseHolderId {
  base::VmId Vm;
  std::uint64_t Incarnation = 0;
  auto operator<=>(const LeaseHolderId &) const = default;
};

LeaseHolderId dispatcherOf(const TargetView &target);

/// Exists for one term of the leader. A lease is granted only to a VM whose
/// view shows every target that was taken from it.
class LeaseTable {
public:
  /// \p index is that of the entry that began the term.
  LeaseTable(consensus::LogIndex index, base::MonoTime now)
      : TermIndex(index), TermStart(now) {}

  /// True when the lease is granted.
  bool renew(const LeaseRequested &request, base::MonoTime now);
  /// True while \p holder may hold a lease from this leader or an earlier one.
  bool mayHoldLease(const LeaseHolderId &holder, base::MonoTime now) const;
  /// Holders that may be assigned targets.
  std::vector<LeaseHolderId> listCandidates(base::MonoTime now) const;
  /// Assigns \p holder no targets until \p until.
  void avoid(const LeaseHolderId &holder, base::MonoTime until);
  /// The last report of \p holder in this term; null if there is none.
  const DispatchReport *findReport(const LeaseHolderId &holder) const;

  /// Refuses leases to \p holder until the target's dispatch token in the view
  /// differs from \p token and the holder has reported that view.
  void beginRevocation(const LeaseHolderId &holder,
                       const base::TargetInstanceId &instance,
                       base::Token token);
  /// Ends the revocations that have taken effect in \p view.
  void finishRevocations(const View &view);

  base::MonoTime termStart() const { return TermStart; }

private:
  struct Holder {
    /// When a lease was last granted; empty if never in this term.
    std::optional<base::MonoTime> GrantedAt;
    bool Leaving = false;
    DispatchReport Report;
    /// The view index that the holder must have reached to get a lease.
    consensus::LogIndex RequiredIndex = 0;
    base::MonoTime AvoidUntil{};
  };
  struct Revocation {
    LeaseHolderId Holder;
    base::Token Token;
  };
  /// True unless a later run of the same VM is known.
  bool isLatest(const LeaseHolderId &holder) const;

  consensus::LogIndex TermIndex;
  base::MonoTime TermStart;
  std::map<LeaseHolderId, Holder> Holders;
  std::map<base::TargetInstanceId, Revocation> Revocations;
};

} // namespace magnoliamill::ownership::internal
