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
  // Requests may overtake each other; what was reported once stays true.
  if (request.Report.InForce >= holder.Report.InForce)
    holder.Report = request.Report;
  const bool IsBeingTaken = std::ranges::any_of(
      Takings, [&](const auto &entry) { return entry.second.Holder == id; });
  const auto required = std::max(holder.Required, TermIndex);
  if (IsBeingTaken || request.Report.InForce < required || !isLatest(id))
    return false;
  holder.Granted = now;
  return true;
}

bool LeaseTable::isLatest(const LeaseHolderId &holder) const {
  // Holders are ordered by VM, then by incarnation.
  auto next = Holders.upper_bound(holder);
  return next == Holders.end() || next->first.Vm != holder.Vm;
}

bool LeaseTable::mayBeHeld(const LeaseHolderId &holder,
                           base::MonoTime now) const {
  const auto duration = boundAbove(LeaseDuration);
  if (now <= TermStart + duration)
    return true;
  auto it = Holders.find(holder);
  return it != Holders.end() && it->second.Granted &&
         now <= *it->second.Granted + duration;
}

std::vector<LeaseHolderId>
LeaseTable::listCandidates(base::MonoTime now) const {
  std::vector<LeaseHolderId> candidates;
  for (const auto &[id, holder] : Holders)
    if (holder.Granted && now < *holder.Granted + LeaseDuration &&
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

void LeaseTable::beginTaking(const LeaseHolderId &holder,
                             const base::TargetInstanceId &instance,
                             base::Token token) {
  Takings[instance] = {holder, token};
}

void LeaseTable::settleTaking(const View &view) {
  std::erase_if(Takings, [&](const auto &entry) {
    auto it = view.Targets.find(entry.first);
    if (it != view.Targets.end() &&
        it->second.DispatchToken == entry.second.Token)
      return false;
    auto &required = Holders[entry.second.Holder].Required;
    required = std::max(required, view.Index);
    return true;
  });
}

} // namespace magnoliamill::ownership::internal
