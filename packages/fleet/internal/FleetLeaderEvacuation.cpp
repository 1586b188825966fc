// The leader's part of the evacuation of data centres: checks, commits and
// publishes the calls, and warms targets up afterwards.
#include "base/Log.h"
#include "base/Metrics.h"
#include "fleet/FleetLeader.h"

#include <algorithm>
#include <prometheus/counter.h>

namespace magnoliamill::fleet {

using base::ResultCode;

namespace {

constexpr std::uint16_t StatusOk = 200;
constexpr std::uint16_t StatusBadRequest = 400;
constexpr std::uint16_t StatusNotFound = 404;
constexpr std::uint16_t StatusUnavailable = 503;
/// Names of evacuated data centres are kept and are part of each whole view.
constexpr std::size_t MaxNameBytes = 256;

void countCall(bool IsStart, const char *result) {
  base::counter("mill_evacuation_calls_total",
                "Calls that start or end the evacuation of a data centre.",
                {{"call", IsStart ? "start" : "end"}, {"result", result}})
      .Increment();
}

} // namespace

std::optional<std::pair<std::uint16_t, base::Error>>
FleetLeader::checkEvacuation(const Call &call) const {
  if (call.Name.empty() || call.Name.size() > MaxNameBytes)
    return std::pair(StatusBadRequest,
                     base::Error{ResultCode::ValueInvalid,
                                 "the name of the data centre is empty or too "
                                 "long"});
  // One that is not in the settings any more can still be ended.
  const bool IsKnown = Config.DataCentres.empty() ||
                       State.evacuations().contains(call.Name) ||
                       std::ranges::find(Config.DataCentres, call.Name) !=
                           Config.DataCentres.end();
  if (!IsKnown)
    return std::pair(StatusNotFound,
                     base::Error{ResultCode::UnknownDataCentre,
                                 "the deployment has no such data centre"});
  if (call.Kind == CallKind::StartEvacuation &&
      !State.evacuations().contains(call.Name) &&
      State.evacuations().size() + PendingEvacuations.size() >=
          Config.MaxEvacuations)
    return std::pair(StatusUnavailable,
                     base::Error{ResultCode::RateLimited,
                                 "too many data centres are evacuated"});
  return std::nullopt;
}

void FleetLeader::handleEvacuation(const Call &call, const ReplyHook &reply) {
  const bool IsStart = call.Kind == CallKind::StartEvacuation;
  if (const auto refusal = checkEvacuation(call)) {
    const auto &[status, error] = *refusal;
    countCall(IsStart, "refused");
    base::logWarning("fleet", error.Code, "an evacuation call was refused",
                     {{"data_centre", call.Name.substr(0, MaxNameBytes)},
                      {"start", IsStart},
                      {"error", error.Message}});
    return refuse(reply, status, error);
  }
  // A call that is still pending comes before this one in the log.
  const bool IsRepeated = State.evacuations().contains(call.Name) == IsStart &&
                          !PendingEvacuations.contains(call.Name);
  if (IsRepeated) {
    countCall(IsStart, "repeated");
    return reply(StatusOk, "{}");
  }
  const auto pending = PendingEvacuations.insert(call.Name);
  Hooks.Propose(Evacuation{call.Name, IsStart},
                [this, alive = Alive, reply, pending,
                 IsStart](const base::Result<void> &committed) {
                  if (!*alive)
                    return reply(StatusUnavailable, "");
                  PendingEvacuations.erase(pending);
                  countCall(IsStart, committed ? "committed" : "failed");
                  if (!committed)
                    return refuse(reply, StatusUnavailable, committed.error());
                  reply(StatusOk, "{}");
                });
}

void FleetLeader::applyEvacuations(base::MonoTime now) {
  const auto former = std::exchange(Evacuated, State.evacuations());
  Grants.setEvacuated(Evacuated, now);
  for (const auto &centre : Evacuated)
    if (!former.contains(centre))
      logEvacuation(centre, true);
  for (const auto &centre : former) {
    if (Evacuated.contains(centre))
      continue;
    logEvacuation(centre, false);
    warmTargets(centre, now);
  }
  if (former != Evacuated && areAllEvacuated())
    base::logWarning("fleet", ResultCode::NotRunNoTarget,
                     "all data centres are evacuated, no requests are served",
                     {{"data_centres", Evacuated.size()}});
  PendingUpdate.Evacuated.emplace(Evacuated.begin(), Evacuated.end());
  HasPendingUpdate = true;
}

void FleetLeader::logEvacuation(const std::string &centre, bool active) const {
  base::logInfo(
      "fleet",
      active ? "the evacuation of a data centre starts"
             : "the evacuation of a data centre ends",
      {{"data_centre", centre},
       {"targets", std::ranges::count_if(Targets,
                                         [&](const auto &entry) {
                                           return entry.second.DataCentre ==
                                                  centre;
                                         })},
       {"evacuated", Evacuated.size()}});
}

bool FleetLeader::areAllEvacuated() const {
  if (Evacuated.empty())
    return false;
  if (!Config.DataCentres.empty())
    return std::ranges::includes(Evacuated, std::set(Config.DataCentres.begin(),
                                                     Config.DataCentres.end()));
  return !Targets.empty() &&
         std::ranges::all_of(Targets, [&](const auto &entry) {
           return Evacuated.contains(entry.second.DataCentre);
         });
}

void FleetLeader::warmTargets(const std::string &centre, base::MonoTime now) {
  WarmUps.onEvacuationEnd(centre, now);
  for (auto &[instance, target] : Targets) {
    const auto *service = State.config().findService(target.Service);
    if (!service || target.DataCentre != centre)
      continue;
    const auto end = WarmUps.endOf(target, service->TargetWarmUpTime);
    if (end == target.WarmUntil)
      continue;
    target.WarmUntil = end;
    PendingUpdate.Targets.push_back(target);
  }
}

void FleetLeader::revokeOverdue(base::MonoTime now) {
  for (const auto &revocation : Grants.revokeOverdue(now)) {
    base::counter("mill_evacuation_revoked_stripes_total",
                  "Stripes that were revoked in an evacuated data centre "
                  "because they had not moved in time.")
        .Increment(static_cast<double>(revocation.Stripes));
    base::logInfo("fleet",
                  "the targets of an evacuated data centre keep no "
                  "stripes from now on",
                  {{"data_centre", revocation.DataCentre},
                   {"revoked", revocation.Stripes}});
  }
}

} // namespace magnoliamill::fleet
