// Heartbeats, departures, configuration, publication.
#include "fleet/FleetLeader.h"

#include "base/Log.h"

#include <algorithm>

namespace magnoliamill::fleet {

using base::ResultCode;
using keyspace::TargetInstance;

namespace {

constexpr std::uint16_t StatusOk = 200;
constexpr std::uint16_t StatusBadRequest = 400;
constexpr std::uint16_t StatusUnavailable = 503;
constexpr base::Duration SilenceCheckInterval = std::chrono::seconds(2);

/// Collects \p change into \p update, by service.
void addChange(ViewUpdate &update, const keyspace::KeyTable &keys,
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

/// Entries route by the decoded fields and never read items back.
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
                         const ControlFormat &dialect, const View &known,
                         FleetLeaderHooks hooks, base::MonoTime now)
    : Config(std::move(config)), State(state), Dialect(dialect),
      Hooks(std::move(hooks)), Directory(known.targets()),
      Grants(state.keys(), makeGrantConfig(), now), Targets(known.targets()),
      Cores(known.cores()), NextSilenceCheck(now + SilenceCheckInterval) {
  for (auto &[life, target] : Targets) {
    LastHeard[life] = now;
    if (State.hasDeparted(life))
      target.State = TargetState::Leaving;
    if (target.State == TargetState::Leaving)
      Grants.onDeparture(life);
  }
}

keyspace::GrantConfig FleetLeader::makeGrantConfig() const {
  auto config = Config.Grants;
  config.CountRowBytes = Dialect.CountRowBytes;
  config.SpeedOf = [this](const TargetInstance &life) {
    return Speeds.speedOf(life);
  };
  return config;
}

void FleetLeader::start() {
  Grants.takeChanges();
  Pending = {};
  Pending.IsWhole = true;
  Pending.Items = withoutDocuments(State.config().listAll());
  for (const auto &[life, target] : Targets)
    Pending.Targets.push_back(target);
  for (const auto &[service, keys] : State.keys().services()) {
    ServiceHolders holders{service, keys.countStripes(), {}};
    for (std::uint32_t i = 0; i < keys.countStripes(); ++i)
      if (const TargetInstance *holder = Grants.holderOf(service, i))
        holders.Changes.push_back({i, *holder});
    Pending.Holders.push_back(std::move(holders));
  }
  Pending.Cores = Cores;
  HasPending = true;
  flush();
}

void FleetLeader::handle(const Call &call, ReplyHook reply,
                         base::MonoTime now) {
  if (!Hooks.HasLease())
    return refuse(reply, StatusUnavailable,
                  {ResultCode::NoQuorum, "the leader has no quorum"});
  switch (call.Kind) {
  case CallKind::Heartbeat:
    return handleHeartbeat(call, reply, now);
  case CallKind::Leave:
    return handleLeave(call, reply);
  case CallKind::ChangeConfig:
    return handleChange(call, reply);
  case CallKind::ReadConfig:
    return reply(StatusOk, Dialect.WriteConfig(State.config().listActive()));
  }
}

void FleetLeader::refuse(const ReplyHook &reply, std::uint16_t status,
                         base::Error error) {
  reply(status, Dialect.WriteError(error));
}

bool FleetLeader::isKeyed(const std::string &service) const {
  const auto *item = State.config().findService(service);
  return item && item->IsKeyed;
}

void FleetLeader::handleHeartbeat(const Call &call, const ReplyHook &reply,
                                  base::MonoTime now) {
  auto read = Dialect.ReadHeartbeat(call.Name, call.Body);
  if (!read) {
    base::logWarning("fleet", read.error().Code, "a heartbeat can't be read",
                     {{"target", call.Name}, {"error", read.error().Message}});
    return refuse(reply, StatusBadRequest, read.error());
  }
  Heartbeat heartbeat = std::move(read.value());
  const TargetInstance &life = heartbeat.About.Instance;
  auto verdict = Directory.judge(heartbeat.About);
  if (!verdict.IsNews) {
    base::logInfo("fleet", "a late heartbeat was left out",
                  {{"target", life.Id},
                   {"born", life.StartedAtMs},
                   {"sequence", heartbeat.About.Sequence}});
    return reply(StatusOk, Dialect.WriteHeartbeatAnswer(
                               {Config.ControlAddress, std::nullopt, {}}));
  }
  for (const TargetInstance &ended : verdict.Ended)
    endLife(ended, "a later process has its id or address");
  LastHeard[life] = now;
  if (State.hasDeparted(life))
    heartbeat.About.State = TargetState::Leaving;
  const bool IsNewlyLeaving =
      heartbeat.About.State == TargetState::Leaving && !State.hasDeparted(life);
  if (!IsNewlyLeaving)
    return answerHeartbeat(heartbeat, reply, now);
  commitDeparture(life, [this, alive = Alive, heartbeat,
                         reply](const base::Result<void> &committed) {
    if (!committed || !*alive)
      return reply(StatusUnavailable, "");
    answerHeartbeat(heartbeat, reply, base::readMonotonic());
  });
}

void FleetLeader::answerHeartbeat(const Heartbeat &heartbeat,
                                  const ReplyHook &reply, base::MonoTime now) {
  updateTarget(heartbeat.About);
  HeartbeatAnswer answer{Config.ControlAddress, std::nullopt, {}};
  if (isKeyed(heartbeat.About.Service)) {
    keyspace::KeyReport report;
    report.Instance = heartbeat.About.Instance;
    report.Service = heartbeat.About.Service;
    report.Slots = heartbeat.About.Slots;
    report.IsLeaving = heartbeat.About.State == TargetState::Leaving;
    report.Holds = heartbeat.Holds;
    report.Released = heartbeat.Released;
    // The lease is asked for immediately before the grant leaves.
    if (!Hooks.HasLease())
      return refuse(reply, StatusUnavailable,
                    {ResultCode::NoQuorum, "the leader has no quorum"});
    answer.Rows = Grants.onHeartbeat(report, now);
    answer.HoldTime = Grants.config().HoldTime;
  }
  reply(StatusOk, Dialect.WriteHeartbeatAnswer(answer));
  if (!heartbeat.Released.empty())
    plan(now);
}

void FleetLeader::commitDeparture(
    const TargetInstance &life, std::function<void(base::Result<void>)> done) {
  Hooks.Propose(TargetDeparture{life},
                [this, alive = Alive, life,
                 done = std::move(done)](const base::Result<void> &committed) {
                  if (committed && *alive) {
                    base::logInfo(
                        "fleet", "a target leaves",
                        {{"target", life.Id}, {"born", life.StartedAtMs}});
                    Grants.onDeparture(life);
                    if (auto it = Targets.find(life); it != Targets.end()) {
                      it->second.State = TargetState::Leaving;
                      Pending.Targets.push_back(it->second);
                      HasPending = true;
                    }
                    // Entries are told before the target is.
                    flush();
                  }
                  done(committed);
                });
}

void FleetLeader::handleLeave(const Call &call, const ReplyHook &reply) {
  const Target *known = Directory.find(call.Name);
  const auto born = Dialect.ReadLeaverBorn(call.Body);
  const bool IsPast = known && born && *born < known->Instance.StartedAtMs;
  if (!known || IsPast || State.hasDeparted(known->Instance)) {
    base::logInfo("fleet", "a target that isn't known to serve leaves",
                  {{"target", call.Name}});
    return reply(StatusOk, Dialect.WriteHeartbeatAnswer(
                               {Config.ControlAddress, std::nullopt, {}}));
  }
  commitDeparture(known->Instance, [this, alive = Alive, reply](
                                       const base::Result<void> &committed) {
    if (!committed || !*alive)
      return reply(StatusUnavailable, "");
    reply(StatusOk, Dialect.WriteHeartbeatAnswer(
                        {Config.ControlAddress, std::nullopt, {}}));
  });
}

void FleetLeader::handleChange(const Call &call, const ReplyHook &reply) {
  auto read = Dialect.ReadConfigChange(call.Body);
  auto checked = read ? State.config().check(read.value())
                      : base::Result<void>(base::fail(read.error()));
  if (!checked) {
    base::logWarning("fleet", checked.error().Code,
                     "a change of configuration was refused",
                     {{"error", checked.error().Message}});
    return refuse(reply, StatusBadRequest, checked.error());
  }
  Hooks.Propose(
      std::move(read.value()),
      [this, alive = Alive, reply](const base::Result<void> &committed) {
        if (!*alive)
          return reply(StatusUnavailable, "");
        if (!committed)
          return refuse(reply, StatusUnavailable, committed.error());
        reply(StatusOk, "{}");
      });
}

void FleetLeader::endLife(const TargetInstance &life, std::string_view reason) {
  base::logInfo(
      "fleet", "a target has ended",
      {{"target", life.Id}, {"born", life.StartedAtMs}, {"reason", reason}});
  Directory.remove(life);
  Grants.onTerminated(life);
  Speeds.remove(life);
  LastHeard.erase(life);
  if (Targets.erase(life) == 0)
    return;
  Pending.GoneTargets.push_back(life);
  HasPending = true;
}

void FleetLeader::updateTarget(const Target &target) {
  auto [it, added] = Targets.try_emplace(target.Instance, target);
  Target previous = std::exchange(it->second, target);
  // Sequence numbers alone are no news for entries.
  previous.Sequence = target.Sequence;
  if (!added && previous == target)
    return;
  if (added)
    base::logInfo("fleet", "a target serves",
                  {{"target", target.Instance.Id},
                   {"born", target.Instance.StartedAtMs},
                   {"service", target.Service},
                   {"address", target.Address}});
  Pending.Targets.push_back(target);
  HasPending = true;
}

void FleetLeader::onApplied(const StateChange &change) {
  if (!change.Items.empty()) {
    auto taken = withoutDocuments(change.Items);
    auto &items = Pending.Items;
    std::ranges::move(taken.Routes, std::back_inserter(items.Routes));
    std::ranges::move(taken.Services, std::back_inserter(items.Services));
    if (taken.Limits)
      items.Limits = std::move(taken.Limits);
    HasPending = true;
  }
  if (!change.Service.empty())
    Grants.onApplied(change.Service, change.Moved);
  // Before the acknowledgement, which follows the command's application.
  if (!change.Items.empty())
    flush();
}

void FleetLeader::tick(base::MonoTime now) {
  if (!Hooks.HasLease())
    return;
  plan(now);
  if (now >= NextSilenceCheck) {
    NextSilenceCheck = now + SilenceCheckInterval;
    dropSilentTargets(now);
  }
  flush();
}

void FleetLeader::plan(base::MonoTime now) {
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
  std::vector<TargetInstance> silent;
  for (const auto &[life, heard] : LastHeard)
    if (now - heard > Config.SilentTargetTime)
      silent.push_back(life);
  for (const TargetInstance &life : silent) {
    base::logWarning("fleet", ResultCode::TargetTimeout,
                     "a silent target is dropped",
                     {{"target", life.Id}, {"born", life.StartedAtMs}});
    Directory.remove(life);
    LastHeard.erase(life);
    Targets.erase(life);
    Pending.GoneTargets.push_back(life);
    HasPending = true;
  }
}

void FleetLeader::setCores(std::vector<CoreAddress> cores) {
  if (cores == Cores)
    return;
  Cores = std::move(cores);
  Pending.Cores = Cores;
  HasPending = true;
}

void FleetLeader::flush() {
  for (auto &change : Grants.takeChanges()) {
    addChange(Pending, State.keys(), std::move(change));
    HasPending = true;
  }
  if (!HasPending)
    return;
  HasPending = false;
  Pending.Version = {Config.Term, ++Published};
  Hooks.Publish(std::exchange(Pending, {}));
}

} // namespace magnoliamill::fleet
