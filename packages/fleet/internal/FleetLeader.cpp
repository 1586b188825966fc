// Handles heartbeats, departures and configuration changes, and publishes the
// view.
#include "fleet/FleetLeader.h"

#include "base/Log.h"
#include "base/Metrics.h"
#include "base/Utf8.h"

#include <algorithm>
#include <prometheus/counter.h>

namespace magnoliamill::fleet {

using base::ResultCode;
using keyspace::TargetInstance;

namespace {

constexpr std::uint16_t StatusOk = 200;
constexpr std::uint16_t StatusBadRequest = 400;
constexpr std::uint16_t StatusUnavailable = 503;
constexpr base::Duration SilenceCheckInterval = std::chrono::seconds(2);
/// A target that has missed more heartbeats than this may be replaced by
/// another process with its id or address.
constexpr int MissedHeartbeats = 2;
/// Bounds the connections of checks that are in progress.
constexpr std::size_t MaxAddressChecks = 64;
/// Longer ids are refused: ids of departed targets are kept.
constexpr std::size_t MaxIdBytes = 256;
/// Bounds the size of the command of a departure.
constexpr std::size_t MaxExpiredPerCommand = 16;

/// Added to the published end of a warm-up: the time left that heartbeats state
/// varies by some milliseconds with their way here.
constexpr base::Duration WarmUpMargin = std::chrono::milliseconds(250);
/// A warm-up that ends earlier than published by less than this is not
/// published again. The target is only limited for longer.
constexpr base::Duration MaxWarmUpExcess = std::chrono::seconds(1);
/// A later end is published this many heartbeats before the published one, so
/// that it arrives in time although two heartbeats are lost.
constexpr int WarmUpRenewalHeartbeats = 3;

/// Whether the end of a warm-up that a heartbeat states is to be published. The
/// end of a target without traffic moves with each heartbeat.
bool isWarmUpNews(base::MonoTime published, base::MonoTime reported,
                  base::Duration interval, base::MonoTime now) {
  if (reported > published)
    return reported > now &&
           published - now < interval * WarmUpRenewalHeartbeats;
  return published - std::max(reported, now) > MaxWarmUpExcess;
}

/// Adds \p change to the holders of its service in \p update.
void addHolderChange(ViewUpdate &update, const keyspace::KeyTable &keys,
                     keyspace::StripeChange change) {
  const auto *service = keys.find(change.Service);
  if (!service)
    return;
  auto it = std::ranges::find(update.Holders, change.Service,
                              &ServiceHolders::Service);
  if (it == update.Holders.end()) {
    update.Holders.push_back({change.Service, service->countStripes(), {}});
    it = update.Holders.end() - 1;
  }
  it->Changes.push_back({change.Stripe, std::move(change.Holder)});
}

void recordLoadTransfers(const keyspace::LoadTransferRound &round) {
  base::counter("mill_stripe_load_transfers_total",
                "Transfers of stripes by load that were begun.",
                {{"service", round.Service}})
      .Increment(static_cast<double>(round.Transfers));
  base::counter("mill_stripe_load_checks_total",
                "Checks of the load of a service's targets by stripe.",
                {{"service", round.Service},
                 {"result", round.Overloaded > 0 ? "overloaded" : "balanced"}})
      .Increment();
  if (round.Overloaded > 0)
    base::logInfo("fleet", "stripes are transferred by load",
                  {{"service", round.Service},
                   {"overloaded", round.Overloaded},
                   {"stripes", round.Transfers}});
}

/// Drops the items' documents: entries route by the decoded fields and never
/// return the items to operators.
routing::ConfigItems withoutDocuments(routing::ConfigItems items) {
  for (auto &route : items.Routes)
    route.Document.clear();
  for (auto &service : items.Services)
    service.Document.clear();
  if (items.Limits)
    items.Limits->Document.clear();
  return items;
}

} // namespace

FleetLeader::FleetLeader(FleetLeaderConfig config, const FleetState &state,
                         const ControlFormat &format, const View &known,
                         FleetLeaderHooks hooks, base::MonoTime now)
    : Config(std::move(config)), State(state), Format(format),
      Hooks(std::move(hooks)), Directory(known.targets()),
      StripeLoads(state.keys(), Hooks.ReadWorkTime),
      Grants(state.keys(), makeGrantConfig(), now), Targets(known.targets()),
      Cores(known.cores()),
      Evacuated(known.evacuated().begin(), known.evacuated().end()),
      WarmUps(known.targets(), now),
      NextSilenceCheck(now + SilenceCheckInterval) {
  for (const auto &[instance, index] : State.departures())
    DepartedCalls[instance] = now;
  for (auto &[instance, target] : Targets) {
    LastHeartbeat[instance] = now;
    if (State.hasDeparted(instance))
      target.State = TargetState::Leaving;
    if (target.State == TargetState::Leaving)
      Grants.onDeparture(instance);
  }
}

keyspace::GrantConfig FleetLeader::makeGrantConfig() {
  auto config = Config.Grants;
  config.CountRowBytes = Format.CountRowBytes;
  config.SpeedOf = [this](const TargetInstance &instance) {
    return Speeds.speedOf(instance);
  };
  if (Config.BalancesByLoad)
    config.LoadsOf = [this](const std::string &service) {
      return StripeLoads.find(service, Hooks.ReadTime());
    };
  config.OnLoadTransfers = recordLoadTransfers;
  return config;
}

void FleetLeader::start() {
  applyEvacuations(Hooks.ReadTime());
  Grants.takeChanges();
  PendingUpdate = {};
  PendingUpdate.IsWhole = true;
  PendingUpdate.Items = withoutDocuments(State.config().listAll());
  for (const auto &[instance, target] : Targets)
    PendingUpdate.Targets.push_back(target);
  for (const auto &[service, keys] : State.keys().services()) {
    ServiceHolders holders{service, keys.countStripes(), {}};
    for (std::uint32_t i = 0; i < keys.countStripes(); ++i)
      if (const TargetInstance *holder = Grants.holderOf(service, i))
        holders.Changes.push_back({i, *holder});
    PendingUpdate.Holders.push_back(std::move(holders));
  }
  PendingUpdate.Cores = Cores;
  PendingUpdate.Evacuated.emplace(Evacuated.begin(), Evacuated.end());
  HasPendingUpdate = true;
  publishPending();
}

void FleetLeader::handle(const Call &call, ReplyHook reply,
                         base::MonoTime now) {
  if (!Hooks.HasLease())
    return refuse(reply, StatusUnavailable,
                  {ResultCode::NoQuorum, "the leader has no quorum"});
  // Names go to views, logs and metrics.
  if (!base::isUtf8(call.Name))
    return refuse(
        reply, StatusBadRequest,
        {ResultCode::AnnouncementInvalid, "the name in the path is not UTF-8"});
  if (call.Kind == CallKind::StartEvacuation ||
      call.Kind == CallKind::EndEvacuation)
    return handleEvacuation(call, reply);
  if (call.Name.size() > MaxIdBytes)
    return refuse(
        reply, StatusBadRequest,
        {ResultCode::AnnouncementInvalid, "the target's id is too long"});
  switch (call.Kind) {
  case CallKind::Heartbeat:
    return handleHeartbeat(call, reply, now);
  case CallKind::Leave:
    return handleLeave(call, reply);
  case CallKind::ChangeConfig:
    return handleConfigChange(call, reply);
  case CallKind::ReadConfig:
    return reply(StatusOk, Format.WriteConfig(State.config().listActive()));
  case CallKind::StartEvacuation:
  case CallKind::EndEvacuation:
    return;
  }
}

void FleetLeader::refuse(const ReplyHook &reply, std::uint16_t status,
                         base::Error error) {
  reply(status, Format.WriteError(error));
}

bool FleetLeader::isKeyed(const std::string &service) const {
  const auto *item = State.config().findService(service);
  return item && item->IsKeyed;
}

void FleetLeader::handleHeartbeat(const Call &call, const ReplyHook &reply,
                                  base::MonoTime now, SenderProof proof) {
  auto read = Format.ReadHeartbeat(call.Name, call.Body);
  if (!read) {
    base::logWarning("fleet", read.error().Code,
                     "an invalid heartbeat was refused",
                     {{"target", call.Name}, {"error", read.error().Message}});
    return refuse(reply, StatusBadRequest, read.error());
  }
  Heartbeat heartbeat = std::move(read.value());
  const TargetInstance &instance = heartbeat.Sender.Instance;
  // Before the first configuration no service is known.
  if (!State.config().empty() &&
      !State.config().findService(heartbeat.Sender.Service)) {
    base::logWarning("fleet", ResultCode::UnknownService,
                     "a heartbeat of an unknown service was refused",
                     {{"target", instance.Id},
                      {"service", heartbeat.Sender.Service},
                      {"address", heartbeat.Sender.Address}});
    return refuse(
        reply, StatusBadRequest,
        {ResultCode::UnknownService, "the configuration has no service '" +
                                         heartbeat.Sender.Service + "'"});
  }
  if (!heartbeat.HasKeyLists && isKeyed(heartbeat.Sender.Service)) {
    base::logWarning("fleet", ResultCode::AnnouncementInvalid,
                     "a heartbeat without lists of keys was refused",
                     {{"target", instance.Id},
                      {"service", heartbeat.Sender.Service},
                      {"address", heartbeat.Sender.Address}});
    return refuse(reply, StatusBadRequest,
                  {ResultCode::AnnouncementInvalid,
                   "a heartbeat of a service with keys must list them"});
  }
  const Target *known = Directory.find(instance.Id);
  heartbeat.IsIdentified = proof == SenderProof::HealthCheck ||
                           (known && known->Instance == instance);
  // A departure is kept for good, so it needs more than an id and a start time.
  if (heartbeat.Sender.State == TargetState::Leaving &&
      !heartbeat.IsIdentified && !State.hasDeparted(instance) &&
      Hooks.IdentifyProcess && Grants.isUnreportedHolder(instance, now))
    return checkDeparture(call, heartbeat.Sender, reply, now);
  const auto result =
      isOutdated(heartbeat.Sender)
          ? TargetDirectory::UpdateResult{}
          : Directory.update(heartbeat.Sender,
                             {[&](const auto &it) { return isAlive(it, now); },
                              [&](const auto &it) {
                                return Grants.isUnreportedHolder(it, now);
                              },
                              [&](const auto &it) {
                                return Grants.isOwner(it) &&
                                       !Grants.isUnreportedHolder(it, now);
                              }});
  if (result.Occupant && result.Verdict != HeartbeatVerdict::Accepted &&
      checkAddress(call, heartbeat.Sender, result, reply, now))
    return;
  if (result.Verdict != HeartbeatVerdict::Accepted)
    return answerUnaccepted(heartbeat.Sender, result.Verdict, reply);
  if (result.Former) {
    base::logInfo("fleet", "a target has started again",
                  {{"target", instance.Id},
                   {"born", instance.StartedAtMs},
                   {"former_born", result.Former->StartedAtMs}});
    removeFromView(*result.Former);
  }
  if (result.Occupant) {
    base::logInfo("fleet", "a target is displaced by another process",
                  {{"target", result.Occupant->Id},
                   {"born", result.Occupant->StartedAtMs},
                   {"successor", instance.Id},
                   {"successor_born", instance.StartedAtMs}});
    // Its keys stay its own until its hold ends: that its process has ended is
    // not certain.
    Grants.onReplaced(*result.Occupant, now);
    removeFromView(*result.Occupant);
  }
  LastHeartbeat[instance] = now;
  const bool HasDeparted = State.hasDeparted(instance);
  if (HasDeparted) {
    heartbeat.Sender.State = TargetState::Leaving;
    DepartedCalls[instance] = now;
  }
  const bool IsNewlyLeaving =
      heartbeat.Sender.State == TargetState::Leaving && !HasDeparted;
  if (IsNewlyLeaving && !mayDepart(instance))
    return refuseDeparture(instance, reply);
  if (!IsNewlyLeaving)
    return answerHeartbeat(heartbeat, reply, now);
  commitDeparture(instance, [this, alive = Alive, heartbeat,
                             reply](const base::Result<void> &committed) {
    if (!committed || !*alive)
      return reply(StatusUnavailable, "");
    answerHeartbeat(heartbeat, reply, Hooks.ReadTime());
  });
}

bool FleetLeader::identify(
    const Target &sender,
    std::function<void(const std::optional<std::string> &id)> done,
    const ReplyHook &reply, base::MonoTime now) {
  const auto *service = State.config().findService(sender.Service);
  auto &next = NextAddressChecks[sender.Address];
  if (!Hooks.IdentifyProcess || !service || now < next ||
      CountAddressChecks >= MaxAddressChecks)
    return false;
  next = now + Config.Grants.HeartbeatInterval;
  ++CountAddressChecks;
  Hooks.IdentifyProcess(
      sender.Address, service->HealthPath,
      [this, alive = Alive, sender, done = std::move(done),
       reply](const std::optional<std::string> &id) {
        if (!*alive)
          return reply(StatusUnavailable, "");
        --CountAddressChecks;
        base::logInfo("fleet", "the process at an address was identified",
                      {{"address", sender.Address},
                       {"answered", id.value_or("")},
                       {"sender", sender.Instance.Id}});
        done(id);
      });
  return true;
}

bool FleetLeader::checkAddress(const Call &call, const Target &sender,
                               const TargetDirectory::UpdateResult &result,
                               const ReplyHook &reply, base::MonoTime now) {
  return identify(
      sender,
      [this, call, sender, occupant = *result.Occupant,
       verdict = result.Verdict, reply](const std::optional<std::string> &id) {
        if (id != sender.Instance.Id)
          return answerUnaccepted(sender, verdict, reply);
        const auto end = Hooks.ReadTime();
        Directory.remove(occupant);
        if (occupant != sender.Instance) {
          Grants.onEnded(occupant, sender.Instance, end);
          removeFromView(occupant);
        }
        handleHeartbeat(call, reply, end, SenderProof::HealthCheck);
      },
      reply, now);
}

void FleetLeader::checkDeparture(const Call &call, const Target &sender,
                                 const ReplyHook &reply, base::MonoTime now) {
  const auto ignore = [this, sender, reply] {
    answerUnaccepted(sender, HeartbeatVerdict::Occupied, reply);
  };
  const bool IsStarted = identify(
      sender,
      [this, call, sender, reply,
       ignore](const std::optional<std::string> &id) {
        if (id != sender.Instance.Id)
          return ignore();
        handleHeartbeat(call, reply, Hooks.ReadTime(),
                        SenderProof::HealthCheck);
      },
      reply, now);
  if (!IsStarted)
    ignore();
}

void FleetLeader::answerUnaccepted(const Target &sender,
                                   HeartbeatVerdict verdict,
                                   const ReplyHook &reply) {
  if (verdict == HeartbeatVerdict::Contradicting) {
    base::logWarning("fleet", ResultCode::AnnouncementInvalid,
                     "a heartbeat that contradicts its sender was refused",
                     {{"target", sender.Instance.Id},
                      {"born", sender.Instance.StartedAtMs},
                      {"address", sender.Address},
                      {"service", sender.Service}});
    return refuse(reply, StatusBadRequest,
                  {ResultCode::AnnouncementInvalid,
                   "the target has another address or service"});
  }
  base::logInfo("fleet",
                verdict == HeartbeatVerdict::Late
                    ? "a late heartbeat was ignored"
                    : "a heartbeat was ignored, its id or address is in use",
                {{"target", sender.Instance.Id},
                 {"born", sender.Instance.StartedAtMs},
                 {"sequence", sender.Sequence},
                 {"address", sender.Address}});
  reply(StatusOk,
        Format.WriteHeartbeatAnswer({Config.ControlAddress, std::nullopt, {}}));
}

bool FleetLeader::isAlive(const TargetInstance &instance,
                          base::MonoTime now) const {
  const auto it = LastHeartbeat.find(instance);
  return it != LastHeartbeat.end() && !State.hasDeparted(instance) &&
         now - it->second <=
             Config.Grants.HeartbeatInterval * (MissedHeartbeats + 1);
}

void FleetLeader::answerHeartbeat(const Heartbeat &heartbeat,
                                  const ReplyHook &reply, base::MonoTime now) {
  updateTarget(heartbeat.Sender, now);
  if (!isKeyed(heartbeat.Sender.Service))
    return reply(StatusOk, Format.WriteHeartbeatAnswer(
                               {Config.ControlAddress, std::nullopt, {}}));
  keyspace::KeyReport report;
  report.Instance = heartbeat.Sender.Instance;
  report.Service = heartbeat.Sender.Service;
  report.DataCentre = heartbeat.Sender.DataCentre;
  report.Slots = heartbeat.Sender.Slots;
  report.IsLeaving = heartbeat.Sender.State == TargetState::Leaving;
  report.IsIdentified = heartbeat.IsIdentified;
  report.Holds = heartbeat.Holds;
  report.Released = heartbeat.Released;
  report.Heartbeat = {heartbeat.Sender.Address, heartbeat.Sender.Sequence};
  // A process at another address has its keys, or has pretended to.
  const auto *last = lastGrantOf(report.Service, report.Instance);
  if (last && last->Address != report.Heartbeat.Address)
    report.IsIdentified = false;
  grantStripes(report, reply, now);
}

bool FleetLeader::isOutdated(const Target &sender) const {
  if (Grants.hasLaterInstance(sender.Instance))
    return true;
  const auto *last = lastGrantOf(sender.Service, sender.Instance);
  return last && last->Address == sender.Address &&
         sender.Sequence <= last->Number;
}

const keyspace::SentHeartbeat *
FleetLeader::lastGrantOf(const std::string &service,
                         const TargetInstance &instance) const {
  const auto *keys = State.keys().find(service);
  return keys ? keys->lastGrantOf(instance) : nullptr;
}

bool FleetLeader::needsRecord(const keyspace::KeyReport &report) const {
  const auto *last = lastGrantOf(report.Service, report.Instance);
  const bool IsRecorded = last && last->Address == report.Heartbeat.Address &&
                          last->Number >= report.Heartbeat.Number;
  return !IsRecorded && Grants.hasNewStripes(report);
}

void FleetLeader::grantStripes(const keyspace::KeyReport &report,
                               const ReplyHook &reply, base::MonoTime now) {
  if (const auto released = Grants.recordHeartbeat(report, now); released > 0)
    base::logInfo("fleet", "a target has released stripes",
                  {{"target", report.Instance.Id},
                   {"born", report.Instance.StartedAtMs},
                   {"sequence", report.Heartbeat.Number},
                   {"stripes", released},
                   {"is_leaving", report.IsLeaving}});
  auto passed = Grants.planInheritance(report.Instance, now);
  if (!passed)
    return recordGrant(report, reply);
  base::logInfo("fleet", "stripes pass to a target that has started again",
                {{"target", report.Instance.Id},
                 {"born", report.Instance.StartedAtMs},
                 {"stripes", passed->Moves.size()}});
  // Answered after the commit, so that the target serves with this answer
  // instead of the next one.
  Hooks.Propose(std::move(*passed), [this, alive = Alive, report,
                                     reply](const base::Result<void> &result) {
    if (!*alive)
      return reply(StatusUnavailable, "");
    if (!result)
      Grants.onDropped(report.Service);
    recordGrant(report, reply);
  });
}

void FleetLeader::recordGrant(const keyspace::KeyReport &report,
                              const ReplyHook &reply) {
  if (!needsRecord(report))
    return answerGrant(report, reply);
  // Later leaders don't receive this heartbeat. Without the record, they could
  // take a delayed earlier one for the release of what it didn't report yet.
  Hooks.Propose(
      keyspace::GrantRecord{report.Service, report.Instance, report.Heartbeat},
      [this, alive = Alive, report, reply](const base::Result<void> &result) {
        if (!*alive || !result)
          return reply(StatusUnavailable, "");
        answerGrant(report, reply);
      });
}

void FleetLeader::answerGrant(const keyspace::KeyReport &report,
                              const ReplyHook &reply) {
  // Checked immediately before stripes are granted.
  if (!Hooks.HasLease())
    return refuse(reply, StatusUnavailable,
                  {ResultCode::NoQuorum, "the leader has no quorum"});
  HeartbeatAnswer answer{Config.ControlAddress, std::nullopt, {}};
  const Target *known = Directory.find(report.Instance.Id);
  // A later heartbeat may have been answered while a record was committed.
  if (known && known->Instance == report.Instance &&
      known->Sequence == report.Heartbeat.Number && !needsRecord(report)) {
    answer.Rows = Grants.grant(report);
    answer.HoldTime = Grants.config().HoldTime;
  }
  reply(StatusOk, Format.WriteHeartbeatAnswer(answer));
}

bool FleetLeader::mayDepart(const TargetInstance &instance) const {
  const std::size_t count = State.departures().size() + CountPendingDepartures;
  const bool IsKnown = Targets.contains(instance) || Grants.isOwner(instance);
  return count <
             (IsKnown ? Config.MaxDepartures : Config.MaxUnknownDepartures) ||
         !listExpiredDepartures().empty();
}

void FleetLeader::refuseDeparture(const TargetInstance &instance,
                                  const ReplyHook &reply) {
  base::logWarning("fleet", ResultCode::RateLimited,
                   "a departure was refused, too many are kept",
                   {{"target", instance.Id},
                    {"born", instance.StartedAtMs},
                    {"kept", State.departures().size()}});
  refuse(reply, StatusUnavailable,
         {ResultCode::RateLimited,
          "too many targets have left; send the call again"});
}

std::vector<consensus::LogIndex> FleetLeader::listExpiredDepartures() const {
  const auto now = Hooks.ReadTime();
  std::vector<consensus::LogIndex> expired;
  for (const auto &[instance, called] : DepartedCalls) {
    if (now - called <= Config.DepartureTime)
      continue;
    if (const auto it = State.departures().find(instance);
        it != State.departures().end())
      expired.push_back(it->second);
    if (expired.size() >= MaxExpiredPerCommand)
      break;
  }
  return expired;
}

void FleetLeader::commitDeparture(
    const TargetInstance &instance,
    std::function<void(base::Result<void>)> done) {
  ++CountPendingDepartures;
  Hooks.Propose(TargetDeparture{instance, listExpiredDepartures()},
                [this, alive = Alive, instance,
                 done = std::move(done)](const base::Result<void> &committed) {
                  if (*alive)
                    --CountPendingDepartures;
                  if (committed && *alive) {
                    DepartedCalls[instance] = Hooks.ReadTime();
                    std::erase_if(DepartedCalls, [this](const auto &call) {
                      return !State.hasDeparted(call.first);
                    });
                    base::logInfo("fleet", "a target leaves",
                                  {{"target", instance.Id},
                                   {"born", instance.StartedAtMs}});
                    Grants.onDeparture(instance);
                    if (auto it = Targets.find(instance); it != Targets.end()) {
                      it->second.State = TargetState::Leaving;
                      PendingUpdate.Targets.push_back(it->second);
                      HasPendingUpdate = true;
                    }
                    // Entries must be told before the target is.
                    publishPending();
                  }
                  done(committed);
                });
}

void FleetLeader::handleLeave(const Call &call, const ReplyHook &reply) {
  const Target *known = Directory.find(call.Name);
  const auto started = Format.ReadLeaveStartTime(call.Body);
  if (!known && !started) {
    base::logWarning("fleet", ResultCode::AnnouncementInvalid,
                     "a leave call without a start time was refused",
                     {{"target", call.Name}});
    return refuse(reply, StatusBadRequest,
                  {ResultCode::AnnouncementInvalid,
                   "the target is unknown, and its start time is missing"});
  }
  const TargetInstance instance{
      call.Name, started ? *started : known->Instance.StartedAtMs};
  const auto Acknowledge = [this, reply] {
    reply(StatusOk, Format.WriteHeartbeatAnswer(
                        {Config.ControlAddress, std::nullopt, {}}));
  };
  if (State.hasDeparted(instance))
    return Acknowledge();
  if (!mayDepart(instance))
    return refuseDeparture(instance, reply);
  // Also if it is not known: a new leader may not have received its heartbeat
  // yet, and one may still be on its way.
  commitDeparture(instance, [alive = Alive, Acknowledge,
                             reply](const base::Result<void> &committed) {
    if (!committed || !*alive)
      return reply(StatusUnavailable, "");
    Acknowledge();
  });
}

void FleetLeader::handleConfigChange(const Call &call, const ReplyHook &reply) {
  auto read = Format.ReadConfigChange(call.Body);
  auto checked = read ? State.config().check(read.value())
                      : base::Result<void>(base::fail(read.error()));
  // Changes that are pending may still fail to commit. A change whose validity
  // depends on them is refused for now, not for good.
  if (read && !PendingChanges.empty()) {
    const auto later = State.config().check(read.value(), PendingChanges);
    if (checked.has_value() != later.has_value()) {
      const auto &error = checked ? later.error() : checked.error();
      base::logInfo(
          "fleet", "a change of configuration waits for another one",
          {{"pending", PendingChanges.size()}, {"error", error.Message}});
      return refuse(reply, StatusUnavailable,
                    {ResultCode::RateLimited,
                     "a change that this one depends on is being committed"});
    }
  }
  if (!checked) {
    base::logWarning("fleet", checked.error().Code,
                     "a change of configuration was refused",
                     {{"error", checked.error().Message}});
    return refuse(reply, StatusBadRequest, checked.error());
  }
  const auto pending =
      PendingChanges.insert(PendingChanges.end(), read.value());
  Hooks.Propose(std::move(read.value()),
                [this, alive = Alive, reply,
                 pending](const base::Result<void> &committed) {
                  if (!*alive)
                    return reply(StatusUnavailable, "");
                  PendingChanges.erase(pending);
                  if (!committed)
                    return refuse(reply, StatusUnavailable, committed.error());
                  reply(StatusOk, "{}");
                });
}

void FleetLeader::removeFromView(const TargetInstance &instance) {
  Speeds.remove(instance);
  LastHeartbeat.erase(instance);
  if (Targets.erase(instance) == 0)
    return;
  PendingUpdate.GoneTargets.push_back(instance);
  HasPendingUpdate = true;
}

void FleetLeader::updateTarget(Target reported, base::MonoTime now) {
  const auto *service = State.config().findService(reported.Service);
  reported.WarmUntil = WarmUps.endOf(
      reported, service ? service->TargetWarmUpTime : base::Duration::zero());
  auto [it, added] = Targets.try_emplace(reported.Instance, reported);
  Target target = reported;
  const auto published = added ? base::MonoTime{} : it->second.WarmUntil;
  if (!isWarmUpNews(published, reported.WarmUntil,
                    Config.Grants.HeartbeatInterval, now))
    target.WarmUntil = published;
  else if (reported.WarmUntil > now)
    target.WarmUntil = reported.WarmUntil + WarmUpMargin;
  Target previous = std::exchange(it->second, target);
  // A new sequence number alone isn't published to entries.
  previous.Sequence = target.Sequence;
  // The time left in a heartbeat varies with the way of the heartbeat.
  if (std::chrono::abs(previous.WarmUntil - target.WarmUntil) <
      WarmUpTimes::Tolerance)
    it->second.WarmUntil = target.WarmUntil = previous.WarmUntil;
  if (!added && previous == target)
    return;
  if (added)
    base::logInfo("fleet", "a target was added",
                  {{"target", target.Instance.Id},
                   {"born", target.Instance.StartedAtMs},
                   {"service", target.Service},
                   {"address", target.Address}});
  PendingUpdate.Targets.push_back(target);
  HasPendingUpdate = true;
  if (published > now || target.WarmUntil <= now || !service ||
      service->WarmUpPerSecond <= 0)
    return;
  base::logInfo("fleet", "a target warms up, its requests are limited",
                {{"target", target.Instance.Id},
                 {"born", target.Instance.StartedAtMs},
                 {"service", target.Service},
                 {"left_ms", base::toMs(target.WarmUntil - now)}});
  // Until they receive it, cores grant permits as for a warm target.
  if (Hooks.HasLease())
    publishPending();
}

void FleetLeader::onApplied(const StateChange &change) {
  if (!change.Items.empty()) {
    auto taken = withoutDocuments(change.Items);
    auto &items = PendingUpdate.Items;
    std::ranges::move(taken.Routes, std::back_inserter(items.Routes));
    std::ranges::move(taken.Services, std::back_inserter(items.Services));
    if (taken.Limits)
      items.Limits = std::move(taken.Limits);
    HasPendingUpdate = true;
  }
  if (!change.Service.empty())
    Grants.onApplied(change.Service, change.MovedStripes);
  if (change.HasEvacuations)
    applyEvacuations(Hooks.ReadTime());
  // Publishes before the change is acknowledged, which follows this call.
  if (!change.Items.empty() || change.HasEvacuations)
    publishPending();
}

void FleetLeader::tick(base::MonoTime now) {
  if (!Hooks.HasLease())
    return;
  plan(now);
  if (now >= NextSilenceCheck) {
    NextSilenceCheck = now + SilenceCheckInterval;
    dropSilentTargets(now);
  }
  publishPending();
}

void FleetLeader::plan(base::MonoTime now) {
  revokeOverdue(now);
  for (auto &assignment : Grants.plan(now)) {
    base::logInfo("fleet", "stripes are assigned",
                  {{"service", assignment.Service},
                   {"stripes", assignment.Moves.size()},
                   {"candidates", assignment.Owners.size()}});
    std::string service = assignment.Service;
    Hooks.Propose(
        std::move(assignment),
        [this, alive = Alive, service](const base::Result<void> &committed) {
          if (!committed && *alive)
            Grants.onDropped(service);
        });
  }
}

void FleetLeader::dropSilentTargets(base::MonoTime now) {
  std::erase_if(NextAddressChecks,
                [&](const auto &check) { return check.second < now; });
  std::vector<TargetInstance> silent;
  for (const auto &[instance, heard] : LastHeartbeat)
    if (now - heard > Config.SilentTargetTime)
      silent.push_back(instance);
  for (const TargetInstance &instance : silent) {
    base::logWarning("fleet", ResultCode::TargetTimeout,
                     "a silent target is removed",
                     {{"target", instance.Id}, {"born", instance.StartedAtMs}});
    Directory.remove(instance);
    LastHeartbeat.erase(instance);
    Targets.erase(instance);
    PendingUpdate.GoneTargets.push_back(instance);
    HasPendingUpdate = true;
  }
}

void FleetLeader::setCores(std::vector<VmAddress> cores) {
  if (cores == Cores)
    return;
  Cores = std::move(cores);
  PendingUpdate.Cores = Cores;
  HasPendingUpdate = true;
}

void FleetLeader::publishPending() {
  for (auto &change : Grants.takeChanges()) {
    addHolderChange(PendingUpdate, State.keys(), std::move(change));
    HasPendingUpdate = true;
  }
  if (!HasPendingUpdate)
    return;
  HasPendingUpdate = false;
  PendingUpdate.Version = {Config.Term, ++LastUpdateNumber};
  Hooks.Publish(std::exchange(PendingUpdate, {}));
}

} // namespace magnoliamill::fleet
