// The leader's side of the dispatcher leases.
#include "ownership/internal/LeaseTable.h"

#include <algorithm>

namespace magnoliamill::ownership::internal {

LeaseHolderId dispatcherOf(const TargetView &target) {
  return {target.Dispatcher, target.DispatcherIncarnation};
}

bool LeaseTable::renew(const LeaseRequested &request, base::MonoTime now) {
  const LeaseHolderId id{request.Vm, request.Incarnation};
  auto &holder = Holders[id];
  holder.Leaving = holder.Leaving || request.Leaving;
  // Requests may arrive out of order; a leaving VM stays leaving and an older
  // report does not replace a newer one.
  if (request.Report.ViewIndex >= holder.Report.ViewIndex)
    holder.Report = request.Report;
  const bool IsBeingRevoked =
      std::ranges::any_of(Revocations, [&](const auto &entry) {
        return entry.second.Holder == id;
      });
  const auto required = std::max(holder.RequiredIndex, TermIndex);
  if (IsBeingRevoked || request.Report.ViewIndex < required || !isLatest(id))
    return false;
  holder.GrantedAt = now;
  return true;
}

bool LeaseTable::isLatest(const LeaseHolderId &holder) const {
  // Holders are ordered by VM, then by incarnation.
  auto next = Holders.upper_bound(holder);
  return next == Holders.end() || next->first.Vm != holder.Vm;
}

bool LeaseTable::mayHoldLease(const LeaseHolderId &holder,
                              base::MonoTime now) const {
  const auto duration = maxLocalDuration(LeaseDuration);
  if (now <= TermStart + duration)
    return true;
  auto it = Holders.find(holder);
  return it != Holders.end() && it->second.GrantedAt &&
         now <= *it->second.GrantedAt + duration;
}

std::vector<LeaseHolderId>
LeaseTable::listCandidates(base::MonoTime now) const {
  std::vector<LeaseHolderId> candidates;
  for (const auto &[id, holder] : Holders)
    if (holder.GrantedAt && now < *holder.GrantedAt + LeaseDuration &&
        !holder.Leaving && now >= holder.AvoidUntil && isLatest(id))
      candidates.push_back(id);
  return candidates;
}

void LeaseTable::avoid(const LeaseHolderId &holder, base::MonoTime until) {
  Holders[holder].AvoidUntil = until;
}

const DispatchReport *
LeaseTable::findReport(const LeaseHolderId &holder) const {
  auto it = Holders.find(holder);
  return it == Holders.end() ? nullptr : &it->second.Report;
}

void LeaseTable::beginRevocation(const LeaseHolderId &holder,
                                 const base::TargetInstanceId &instance,
                                 base::Token token) {
  Revocations[instance] = {holder, token};
}

void LeaseTable::finishRevocations(const View &view) {
  std::erase_if(Revocations, [&](const auto &entry) {
    auto it = view.Targets.find(entry.first);
    if (it != view.Targets.end() &&
        it->second.DispatchToken == entry.second.Token)
      return false;
    auto &required = Holders[entry.second.Holder].RequiredIndex;
    required = std::max(required, view.Index);
    return true;
  });
}

} // namespace magnoliamill::ownership::internal
