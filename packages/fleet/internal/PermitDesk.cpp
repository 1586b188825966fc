// Passes asks to the issuer and its answers back to the links.
#include "fleet/PermitDesk.h"

#include "base/Log.h"
#include "base/Metrics.h"
#include "node/CrashWatch.h"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <vector>

namespace magnoliamill::fleet {

using admission::PermitDecision;

namespace {

void countDecision(PermitDecision decision) {
  static const auto count = [](const char *name) -> prometheus::Counter & {
    return base::counter("mill_permit_decisions_total",
                         "Decisions on permits to send a request to a target.",
                         {{"decision", name}});
  };
  static auto &granted = count("granted");
  static auto &queued = count("queued");
  static auto &refused = count("refused");
  static auto &unknown = count("unknown");
  switch (decision) {
  case PermitDecision::Granted:
    return granted.Increment();
  case PermitDecision::Queued:
    return queued.Increment();
  case PermitDecision::Refused:
    return refused.Increment();
  case PermitDecision::Unknown:
    return unknown.Increment();
  }
}

void countWarmUp(PermitDecision decision) {
  base::counter("mill_permit_warm_up_total",
                "Permits granted for targets that warm up and have a limit, "
                "and permits refused because of that limit.",
                {{"decision",
                  decision == PermitDecision::Granted ? "granted" : "refused"}})
      .Increment();
}

void observeSlowness(const dispatch::TargetLoad &load) {
  static const std::vector<double> Bounds{50, 100, 150, 200, 300, 500, 1000};
  static auto &slowness = base::histogram(
      "mill_permit_reported_slowness_percent",
      "How long work takes on a target's machine, in percent of the usual "
      "time, as reported with answers.",
      Bounds);
  slowness.Observe(load.SlownessPercent);
}

void observeAge(base::Duration age) {
  static const std::vector<double> Bounds{0.05, 0.1, 0.2, 0.4, 0.8, 1.6};
  static auto &ages = base::histogram(
      "mill_permit_report_age_seconds",
      "Age of the load report of the target for which a permit is granted.",
      Bounds);
  ages.Observe(std::chrono::duration<double>(age).count());
}

} // namespace

void PermitDesk::update(const View &view,
                        const keyspace::TargetInstance &instance) {
  const Target *target = view.findTarget(instance);
  if (!target || target->State != TargetState::Ready)
    return answer(Issuer.remove(instance));
  const auto limit = WarmUpPermits.find(target->Service);
  answer(Issuer.put(
      {instance, target->Service, target->DataCentre, target->Slots,
       limit == WarmUpPermits.end() ? 0 : limit->second, target->WarmUntil}));
}

void PermitDesk::updateWarmUpLimits(const View &view) {
  std::map<std::string, std::uint32_t> limits;
  for (const auto &[name, service] : view.config().services())
    if (const auto permits = Bound.countPermits(service.WarmUpPerSecond);
        permits > 0 && !service.IsRemoved)
      limits[name] = permits;
  const auto former = std::exchange(WarmUpPermits, std::move(limits));
  if (former == WarmUpPermits)
    return;
  const auto Find = [](const auto &from, const std::string &service) {
    const auto it = from.find(service);
    return it == from.end() ? 0 : it->second;
  };
  for (const auto &[name, service] : view.config().services())
    if (const auto permits = Find(WarmUpPermits, name);
        permits != Find(former, name))
      base::logInfo("permit",
                    "the limit of permits for a target that warms up changes",
                    {{"service", name},
                     {"permits_per_second", permits},
                     {"warm_up_per_second", service.WarmUpPerSecond}});
  for (const auto &[instance, target] : view.targets())
    if (Find(WarmUpPermits, target.Service) != Find(former, target.Service))
      update(view, instance);
}

void PermitDesk::onView(const View &view) {
  CurrentView = view.version();
  updateWarmUpLimits(view);
  if (!view.lastChange().IsWhole) {
    for (const auto &instance : view.lastChange().Targets)
      update(view, instance);
    return;
  }
  std::vector<keyspace::TargetInstance> known;
  for (const auto &[instance, target] : view.targets())
    known.push_back(instance);
  answer(Issuer.removeAllExcept(known));
  for (const auto &instance : known)
    update(view, instance);
}

void PermitDesk::onAsk(const std::shared_ptr<Link> &from, const PermitAsk &ask,
                       base::MonoTime now) {
  auto [it, added] = Numbers.try_emplace(from, NextNumber);
  if (added)
    Links[NextNumber++] = from;
  const admission::PermitId id{it->second, ask.Number};
  if (!refuseIfOnTrial(id, ask.Request, now))
    answer(Issuer.request(id, ask.Request, now));
}

bool PermitDesk::refuseIfOnTrial(const admission::PermitId &id,
                                 const admission::PermitRequest &request,
                                 base::MonoTime now) {
  const bool MayEndTargets =
      request.Content != 0 && IsSuspect && IsSuspect(request.Content);
  if (!MayEndTargets ||
      Trials.tryBegin(request.Content, id, now + request.Timeout, now))
    return false;
  base::logInfo("permit",
                "a permit is refused, a target has ended under the request and "
                "another attempt at it is under way",
                {{"content", node::formatContent(request.Content)},
                 {"entry_link", id.Requester}});
  answer(
      {{id, PermitDecision::Refused, {}, admission::PermitTrials::RetryAfter}});
  return true;
}

void PermitDesk::onEnd(const std::shared_ptr<Link> &from, const PermitEnd &end,
                       base::MonoTime now) {
  const auto it = Numbers.find(from);
  if (it == Numbers.end())
    return;
  const admission::PermitId id{it->second, end.Number};
  if (end.Notice)
    if (const auto target = Issuer.limitRate(id, end.Notice->RateLimit, now))
      base::logInfo("permit", "a target changes the rate of permits for it",
                    {{"target", target->Id},
                     {"per_second", end.Notice->RateLimit.value_or(-1)},
                     {"entries", Numbers.size()}});
  if (end.Notice && end.Notice->Load)
    reportLoad(id, *end.Notice->Load, now);
  const auto failed = end.Use == admission::PermitUse::Failed
                          ? Issuer.targetOf(id)
                          : std::nullopt;
  if (failed)
    base::logInfo("permit", "an entry reports a failed call to a target",
                  {{"target", failed->Id}, {"entry_link", it->second}});
  removeIfDeparted(id, end);
  Trials.end(id, end.Use, now);
  answer(Issuer.release(id, end.Use, end.Latency, now));
}

void PermitDesk::reportLoad(const admission::PermitId &id,
                            const dispatch::TargetLoad &load,
                            base::MonoTime now) {
  observeSlowness(load);
  if (const auto crowded = Issuer.reportLoad(id, load, now))
    base::logInfo("permit",
                  "a target reports more requests of other senders than it has "
                  "slots",
                  {{"target", crowded->Id},
                   {"running", load.Running},
                   {"waiting", load.Waiting},
                   {"slots", load.Slots},
                   {"slowness_percent", load.SlownessPercent},
                   {"entries", Numbers.size()}});
}

void PermitDesk::removeIfDeparted(const admission::PermitId &id,
                                  const PermitEnd &end) {
  if (!end.ReturnedBy || *end.ReturnedBy <= CurrentView)
    return;
  const auto target = Issuer.targetOf(id);
  if (!target)
    return;
  base::logInfo("permit",
                "no more permits for a target that a newer view does not list "
                "as ready",
                {{"target", target->Id},
                 {"view_term", CurrentView.Term},
                 {"view_number", CurrentView.Number},
                 {"newer_term", end.ReturnedBy->Term},
                 {"newer_number", end.ReturnedBy->Number}});
  // The update that this core lacks lists the target again if it is ready.
  answer(Issuer.remove(*target));
}

void PermitDesk::onLinkClosed(const std::shared_ptr<Link> &link,
                              base::MonoTime now) {
  auto node = Numbers.extract(link);
  if (node.empty())
    return;
  Links.erase(node.mapped());
  Trials.endAll(node.mapped());
  answer(Issuer.releaseAll(node.mapped(), now));
}

void PermitDesk::tick(base::MonoTime now) { answer(Issuer.tick(now)); }

void PermitDesk::answer(const admission::PermitIssuer::Answers &answers) {
  for (const auto &it : answers) {
    countDecision(it.Decision);
    if (it.IsWarmUp)
      countWarmUp(it.Decision);
    if (it.ReportAge)
      observeAge(*it.ReportAge);
    if (it.Decision == PermitDecision::Refused ||
        it.Decision == PermitDecision::Unknown)
      Trials.abandon(it.Id);
    auto link = Links.find(it.Id.Requester);
    if (link == Links.end())
      continue;
    if (const auto to = link->second.lock())
      to->send(PermitReply{it.Id.Number, it.Decision, it.Target, it.RetryAfter,
                           static_cast<std::uint32_t>(Numbers.size()),
                           CurrentView});
  }
}

} // namespace magnoliamill::fleet
