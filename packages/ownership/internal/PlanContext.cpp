// Queries on the settings, reports and announcements that the planners share.
#include "ownership/internal/PlanContext.h"

#include <algorithm>

namespace magnoliamill::ownership::internal {

const settings::ServiceView *
PlanContext::findService(const base::ServiceId &service) const {
  auto it = Settings.Services.find(service);
  return it == Settings.Services.end() ? nullptr : &it->second;
}

settings::TargetRule PlanContext::ruleFor(const TargetView &target) const {
  auto rules = Settings.TargetRules.find(target.Service);
  if (rules == Settings.TargetRules.end())
    return {};
  auto it = rules->second.find(target.Name);
  return it == rules->second.end() ? settings::TargetRule{} : it->second;
}

bool PlanContext::isAllowed(const base::ServiceId &service,
                            const std::string &host) const {
  const auto *known = findService(service);
  if (known == nullptr)
    return false;
  const auto &centres = known->DataCentres;
  const bool IsHere =
      centres.empty() ||
      std::ranges::find(centres, Config.DataCentre) != centres.end();
  return IsHere && isHostAllowed(host, known->TargetHosts);
}

const DispatchReport *
PlanContext::findDispatcherReport(const TargetView &target) const {
  return Leases.findReport(dispatcherOf(target));
}

bool PlanContext::isReady(const TargetView &target) const {
  const auto *report = findDispatcherReport(target);
  return report != nullptr && Leases.mayHoldLease(dispatcherOf(target), Now) &&
         std::ranges::find(report->Ready, target.Instance) !=
             report->Ready.end();
}

bool PlanContext::isLost(const TargetView &target) const {
  const auto *report = findDispatcherReport(target);
  return report != nullptr &&
         std::ranges::find(report->Lost, target.Instance) != report->Lost.end();
}

bool PlanContext::isIsolated(const LeaseHolderId &holder) const {
  const auto *report = Leases.findReport(holder);
  if (report == nullptr || report->Lost.empty())
    return false;
  std::size_t silent = 0;
  bool OthersReachTargets = false;
  for (const auto &[instance, target] : Ownership.Targets) {
    if (target.State == TargetState::Lost)
      continue;
    if (dispatcherOf(target) != holder)
      OthersReachTargets = OthersReachTargets || isReady(target);
    else if (isLost(target) || std::ranges::find(report->Failing, instance) !=
                                   report->Failing.end())
      ++silent;
    else
      return false;
  }
  return silent >= 2 && OthersReachTargets;
}

base::MonoTime
PlanContext::lastAnnouncedAt(const base::TargetInstanceId &instance) const {
  auto it = Announcements.find(instance);
  const auto start = Leases.termStart();
  return it == Announcements.end() ? start : std::max(start, it->second.At);
}

bool hasSuccessor(const View &view, const TargetView &target) {
  return std::ranges::any_of(view.Targets, [&](const auto &entry) {
    const auto &other = entry.second;
    return other.Instance != target.Instance &&
           other.Service == target.Service && other.Name == target.Name &&
           other.State != TargetState::Lost;
  });
}

} // namespace magnoliamill::ownership::internal
