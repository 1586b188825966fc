// Connects the replica, links, leader and pending calls of a core.
#include "fleet/CoreNode.h"

#include "base/Hash.h"
#include "base/Log.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <filesystem>

namespace magnoliamill::fleet {

using base::ResultCode;

namespace {

/// Incarnation of the members of a new group. Later incarnations are wall-clock
/// times in milliseconds.
constexpr std::uint64_t FirstIncarnation = 1;
constexpr base::Duration TickInterval = FleetLeader::TickInterval;
/// How long an encoded view is sent to new subscribers: it has times that are
/// left. Encoding it for each one would be slow when all subscribe at once.
constexpr base::Duration MaxEncodedViewAge = std::chrono::milliseconds(500);
constexpr base::Duration CoreListInterval = std::chrono::milliseconds(200);
/// How often subscribers are told that their view is current.
constexpr base::Duration ViewCurrentInterval = std::chrono::milliseconds(400);
/// Callers try another core after a second without an answer.
constexpr base::Duration CallTime = std::chrono::milliseconds(900);
constexpr std::uint16_t StatusTooLarge = 413;
constexpr std::uint16_t StatusUnavailable = 503;
/// A call is sent to the leader in one frame, on the link that also carries the
/// log. The largest heartbeat names each key in a row of its own.
constexpr std::size_t MaxChangeBytes = 16u << 20;
constexpr std::size_t MaxOtherCallBytes = 4u << 20;

consensus::ReplicaConfig makeReplicaConfig(const std::string &host,
                                           std::uint64_t Incarnation) {
  consensus::ReplicaConfig config;
  config.Self = {base::VmId(host), Incarnation};
  config.Seed = base::hash64(host, Incarnation);
  // Twice the times of a mesh deployment: the VMs of a fleet have a fraction of
  // a CPU core and pause for tens of milliseconds.
  config.HeartbeatInterval = std::chrono::milliseconds(150);
  config.ElectionTimeoutMin = std::chrono::milliseconds(700);
  config.ElectionTimeoutMax = std::chrono::milliseconds(1200);
  return config;
}

std::string formatAddress(const settings::ListenAddress &address) {
  return address.Host + ":" + std::to_string(address.Port);
}

} // namespace

CoreNode::CoreNode(base::EventLoopThread &loop, FleetSettings settings,
                   ControlFormat format, IdentifyProcessHook identify)
    : EventLoop(loop), Settings(std::move(settings)), Format(std::move(format)),
      IdentifyProcess(std::move(identify)),
      Links(loop, Settings.Host, Settings.LinkPort,
            {[this](const auto &link, const auto &host, Frame frame) {
               onFrame(link, host, std::move(frame));
             },
             [this](const auto &link) {
               Subscribers.erase(link);
               CorePeers.erase(link);
               Entries.remove(link.get());
               Permits.onLinkClosed(link, base::readMonotonic());
             },
             [this](const auto &host) { return makeHello(host); }}),
      Permits(
          base::hash64(Settings.Host, 2),
          [this](std::uint64_t content) { return Crashes.isKnown(content); },
          {Settings.WarmUpOverrun, Settings.WarmUpSlack}),
      Timer(loop.context()) {}

CoreNode::~CoreNode() { Links.closeAll(); }

base::Result<void> CoreNode::start() {
  auto opened = openReplica();
  if (!opened)
    return opened;
  auto listening = Links.listen();
  if (!listening)
    return listening;
  updateSeeds(Settings.Seeds);
  Runner->start();
  armTick();
  return base::ok();
}

base::Result<void> CoreNode::openReplica() {
  const auto initial = Settings.IsFirstStart
                           ? FirstIncarnation
                           : static_cast<std::uint64_t>(base::readWallMs());
  auto opened = consensus::openDiskStorage(
      std::filesystem::path(Settings.DataFolder) / "fleet", initial);
  if (!opened)
    return base::fail(opened.error());
  const bool IsSeed =
      std::ranges::any_of(Settings.Seeds, [&](const auto &seed) {
        return seed.Host == Settings.Host;
      });
  if (Settings.IsFirstStart && opened.value().IsNew && IsSeed) {
    auto created = createGroup(opened.value());
    if (!created)
      return created;
  }
  startRunner(std::move(opened.value()));
  return base::ok();
}

base::Result<void>
CoreNode::createGroup(consensus::OpenedStorage &opened) const {
  consensus::Membership members;
  for (const auto &seed : Settings.Seeds)
    members.Voters.push_back({base::VmId(seed.Host), FirstIncarnation});
  opened.Restored.Members = members;
  // The initial membership is in no log entry, so it must be on disk before the
  // replica takes part.
  return opened.Store->writeSnapshot({0, 0, members, ""});
}

void CoreNode::startRunner(consensus::OpenedStorage opened) {
  Incarnation = opened.Incarnation;
  base::logInfo("fleet", "the replica is starting",
                {{"incarnation", Incarnation},
                 {"is_new", opened.IsNew},
                 {"term", opened.Restored.Term},
                 {"voters", opened.Restored.Members.Voters.size()}});
  node::GroupRunnerHooks hooks;
  hooks.Send = [this](const base::VmId &vm,
                      std::vector<consensus::Message> messages) {
    Links.send(vm.Value, std::move(messages));
  };
  hooks.Apply = [this](const consensus::Entry &entry) { return apply(entry); };
  hooks.Restore = [this](const consensus::RestoreSnapshot &snapshot) {
    if (auto restored = State.restore(snapshot.Data); !restored)
      base::logError("fleet", restored.error().Code, restored.error().Message,
                     {{"index", snapshot.Index}});
  };
  hooks.TakeSnapshot = [this] { return State.encodeSnapshot(); };
  hooks.AfterStep = [this] { afterStep(); };
  internal::GroupMembershipConfig group;
  group.Self = {base::VmId(Settings.Host), Incarnation};
  group.DataCentre = Settings.DataCentre;
  group.LossTolerance = Settings.LossTolerance;
  Members.emplace(std::move(group), base::readMonotonic());
  Runner = std::make_unique<node::GroupRunner>(
      EventLoop, nullptr, node::GroupRunnerConfig{},
      makeReplicaConfig(Settings.Host, Incarnation), std::move(opened),
      std::move(hooks));
}

void CoreNode::updateSeeds(const std::vector<settings::ListenAddress> &seeds) {
  for (const auto &seed : seeds)
    Links.add(seed.Host);
}

std::string CoreNode::apply(const consensus::Entry &entry) {
  if (entry.Kind != consensus::EntryKind::Command)
    return {};
  auto command = decodeCommand(entry.Command);
  if (!command) {
    base::logError("fleet", command.error().Code, command.error().Message,
                   {{"index", entry.Index}});
    return {};
  }
  const StateChange change = State.apply(command.value(), entry.Index);
  if (Leader)
    Leader->onApplied(change);
  return {};
}

void CoreNode::afterStep() {
  // The runner's constructor already runs a step, before Runner is set.
  if (Runner)
    updateLeadership();
}

void CoreNode::updateLeadership() {
  const auto &core = Runner->core();
  const bool IsLeading = core.role() == consensus::Role::Leader;
  if (Leader && (!IsLeading || core.term() != LeaderTerm)) {
    base::logInfo("fleet", "this core lost leadership", {{"term", LeaderTerm}});
    // The leader's own proposal may be on the call stack, so the leader is
    // destroyed only after that call has returned.
    boost::asio::post(EventLoop.context(),
                      [ended = std::shared_ptr(std::move(Leader))] {});
  }
  if (!Leader && IsLeading && core.hasLeaderLease(base::readMonotonic()))
    startLeading();
  followLeader();
}

void CoreNode::startLeading() {
  const auto now = base::readMonotonic();
  LeaderTerm = Runner->core().term();
  LeadingSince = now;
  base::logInfo("fleet", "this core became leader",
                {{"term", LeaderTerm},
                 {"index", Runner->appliedIndex()},
                 {"targets", LocalView.targets().size()},
                 {"view_term", LocalView.version().Term}});
  FleetLeaderConfig config;
  config.Term = LeaderTerm;
  config.ControlAddress = formatAddress(Settings.ControlListen);
  config.DataCentres = Settings.DataCentres;
  config.BalancesByLoad = Settings.BalancesByLoad;
  config.Grants.HoldTime = Settings.HoldTime;
  config.Grants.HeartbeatInterval = Settings.HeartbeatInterval;
  FleetLeaderHooks hooks;
  hooks.Propose = [this](Command command, auto done) {
    propose(std::move(command), std::move(done));
  };
  hooks.Publish = [this](ViewUpdate update) { publish(std::move(update)); };
  hooks.HasLease = [this] {
    return Runner->core().hasLeaderLease(base::readMonotonic());
  };
  hooks.IdentifyProcess = IdentifyProcess;
  hooks.ReadWorkTime = [this](const std::string &service) {
    return Permits.typicalServiceTime(service);
  };
  Leader = std::make_unique<FleetLeader>(std::move(config), State, Format,
                                         LocalView, std::move(hooks), now);
  Leader->setCores(listCores());
  Leader->start();
  sendPending();
}

void CoreNode::followLeader() {
  const std::string leader = leaderHost();
  if (leader == FollowedCore)
    return;
  base::logInfo("fleet", "the leader has changed",
                {{"leader", leader}, {"term", Runner->core().term()}});
  const std::string former = std::exchange(FollowedCore, leader);
  Links.add(leader);
  // Ends the subscription at the former leader, starts one at the new leader,
  // and tells cores that are not members yet whom to contact.
  for (const auto &[host, peer] : Links.peers())
    if (!leader.empty() || host == former)
      Links.send(host, makeHello(host));
  sendPending();
}

Hello CoreNode::makeHello(const std::string &host) const {
  Hello hello;
  hello.Host = Settings.Host;
  hello.DataCentre = Settings.DataCentre;
  hello.IsCore = true;
  hello.Incarnation = Incarnation;
  hello.WantsView = !host.empty() && host == FollowedCore;
  hello.KnownView = LocalView.version();
  hello.Leader = FollowedCore;
  return hello;
}

std::string CoreNode::leaderHost() const {
  const auto leader = Runner->core().leader();
  return leader ? leader->Vm.Value : std::string();
}

void CoreNode::propose(Command command,
                       std::function<void(base::Result<void>)> done) {
  Runner->propose(
      encodeCommand(command),
      [done = std::move(done)](base::Result<protocol::ProposeReply> reply) {
        if (reply)
          return done(base::ok());
        base::logWarning("fleet", reply.error().Code, "a proposal failed",
                         {{"error", reply.error().Message}});
        done(base::fail(reply.error()));
      });
}

void CoreNode::onFrame(const std::shared_ptr<Link> &from,
                       const std::string &host, Frame frame) {
  if (auto *hello = std::get_if<Hello>(&frame))
    return onHello(from, *hello);
  if (auto *batch = std::get_if<ConsensusBatch>(&frame)) {
    for (auto &message : *batch)
      Runner->receive(std::move(message));
    return;
  }
  if (auto *update = std::get_if<ViewUpdate>(&frame)) {
    // Only updates of the current leader are applied; those of an earlier
    // leader are stale.
    if (host == FollowedCore)
      onViewUpdate(std::move(*update));
    return;
  }
  if (auto *current = std::get_if<ViewCurrent>(&frame)) {
    if (host == FollowedCore)
      relayViewCurrent(*current);
    return;
  }
  if (auto *reply = std::get_if<CallReply>(&frame))
    return onReply(std::move(*reply));
  if (auto *report = std::get_if<SpeedReport>(&frame)) {
    if (Leader)
      Leader->onSpeeds(*report);
    else if (host.empty() && !FollowedCore.empty())
      Links.send(FollowedCore, std::move(*report));
    return;
  }
  if (const auto *report = std::get_if<StripeLoadReport>(&frame))
    return onStripeLoads(host, *report);
  if (const auto *report = std::get_if<dispatch::CrashReport>(&frame))
    return onCrashReport(*report, !host.empty() || CorePeers.contains(from)
                                      ? CrashRelay::Source::Core
                                      : CrashRelay::Source::Entry);
  if (std::holds_alternative<Ping>(frame))
    return from->send(Pong{});
  if (std::holds_alternative<EntriesAsk>(frame)) {
    if (const auto *asker = Entries.find(from.get()))
      from->send(EntryList{Entries.listOthers(*asker)});
    return;
  }
  if (const auto *ask = std::get_if<PermitAsk>(&frame))
    return Permits.onAsk(from, *ask, base::readMonotonic());
  if (const auto *end = std::get_if<PermitEnd>(&frame))
    return Permits.onEnd(from, *end, base::readMonotonic());
  auto *call = std::get_if<Call>(&frame);
  if (!call)
    return;
  const std::uint64_t id = call->Id;
  auto reply = [weak = std::weak_ptr(from), id](std::uint16_t status,
                                                std::string body) {
    if (auto link = weak.lock())
      link->send(CallReply{id, status, std::move(body)});
  };
  if (!Leader)
    return reply(StatusUnavailable, "");
  Leader->handle(*call, std::move(reply), base::readMonotonic());
}

void CoreNode::onHello(const std::shared_ptr<Link> &from, const Hello &hello) {
  if (hello.IsCore) {
    CorePeers.insert(from);
    Links.onHello(hello, base::readMonotonic());
    Links.add(hello.Leader);
  } else {
    Entries.put(from.get(), {hello.Host, hello.DataCentre});
    from->send(makeHello({}));
  }
  const auto now = base::readMonotonic();
  const auto crashes = hello.IsCore ? Crashes.describeForCore(now)
                                    : Crashes.describeForEntry(now);
  if (!crashes.empty() && (hello.IsCore || hello.WantsView))
    from->send(crashes);
  if (!hello.WantsView) {
    Subscribers.erase(from);
    return;
  }
  base::logInfo("fleet", "a peer subscribed to the view",
                {{"peer", hello.Host},
                 {"is_core", hello.IsCore},
                 {"term", LocalView.version().Term},
                 {"number", LocalView.version().Number}});
  Subscribers.insert(from);
  if (LocalView.isEmpty())
    return;
  sendMissing(*from, hello.KnownView);
  // An entry leaves a core that has lost the leader.
  if (!hello.IsCore)
    from->send(describeCurrent());
}

void CoreNode::sendMissing(Link &to, const ViewVersion &known) {
  const auto updates =
      Recent.listAfter(known, base::readMonotonic(), MaxEncodedViewAge);
  if (!updates)
    return to.send(encodedView());
  for (const auto &update : *updates)
    to.send(update);
}

ViewCurrent CoreNode::describeCurrent() const {
  return {LocalView.version(), base::readMonotonic() - ViewConfirmedAt};
}

/// Encoded once for all subscribers that ask for the same view: after a restart
/// of the cores, all entries ask at the same time.
const EncodedFrame &CoreNode::encodedView() {
  const auto now = base::readMonotonic();
  if (EncodedView && now - ViewEncodedAt < MaxEncodedViewAge)
    return EncodedView;
  EncodedView = encodeShared(LocalView.describeWhole());
  ViewEncodedAt = now;
  return EncodedView;
}

void CoreNode::onViewUpdate(ViewUpdate update) {
  EncodedView = nullptr;
  switch (LocalView.apply(update)) {
  case View::Outcome::Applied:
    ViewConfirmedAt = base::readMonotonic();
    Permits.onView(LocalView);
    return passOn(std::move(update));
  case View::Outcome::Stale:
    return;
  case View::Outcome::Gap:
    base::logWarning(
        "fleet", ResultCode::PeerProtocol, "updates of the view are missing",
        {{"has", LocalView.version().Number}, {"got", update.Version.Number}});
    Hello hello = makeHello(FollowedCore);
    hello.KnownView = {};
    return Links.send(FollowedCore, hello);
  }
}

void CoreNode::onCrashReport(const dispatch::CrashReport &report,
                             CrashRelay::Source source) {
  const auto news = Crashes.merge(report, source, base::readMonotonic());
  if (!news.ForCores.empty())
    for (const auto &[host, peer] : Links.peers())
      Links.send(host, news.ForCores);
  if (news.ForEntries.empty())
    return;
  base::logInfo("fleet", "requests under which targets ended have changed",
                {{"refused", news.ForEntries.Crashes.size() /
                                 dispatch::RequestQuarantine::CrashesToRefuse},
                 {"cleared", news.ForEntries.Cleared.size()}});
  broadcast(encodeShared(news.ForEntries));
}

void CoreNode::onStripeLoads(const std::string &host,
                             const StripeLoadReport &report) {
  if (!Settings.BalancesByLoad)
    return;
  if (Leader)
    return Leader->onStripeLoads(report, base::readMonotonic());
  const auto leader = Links.peers().find(FollowedCore);
  if (host.empty() && leader != Links.peers().end() &&
      leader->second.Protocol >= StripeLoadProtocolVersion)
    Links.send(FollowedCore, report);
}

void CoreNode::relayViewCurrent(const ViewCurrent &current) {
  if (current.Version != LocalView.version())
    return;
  ViewConfirmedAt = base::readMonotonic() - current.Age;
  broadcast(encodeShared(current));
}

void CoreNode::publish(ViewUpdate update) {
  EncodedView = nullptr;
  LocalView.apply(update);
  ViewConfirmedAt = base::readMonotonic();
  Permits.onView(LocalView);
  passOn(std::move(update));
}

void CoreNode::passOn(ViewUpdate update) {
  logItems(update);
  auto frame = encodeShared(update);
  broadcast(frame);
  // A leader that has been replaced may publish what isn't applied any more.
  if (update.Version == LocalView.version())
    Recent.add(std::move(update), std::move(frame), base::readMonotonic());
}

void CoreNode::logItems(const ViewUpdate &update) const {
  if (!LocalView.lastChange().Items.empty())
    base::logInfo("fleet", "a change of configuration is sent to subscribers",
                  {{"term", update.Version.Term},
                   {"number", update.Version.Number},
                   {"whole", update.IsWhole},
                   {"routes", LocalView.lastChange().Items.Routes.size()},
                   {"services", LocalView.lastChange().Items.Services.size()},
                   {"subscribers", Subscribers.size()}});
}

void CoreNode::broadcast(const EncodedFrame &frame) {
  // A link that fails while sending is removed later, when its end is reported,
  // so Subscribers doesn't change in this loop.
  for (const auto &link : Subscribers)
    link->send(frame);
}

void CoreNode::handle(CallKind kind, std::string name, std::string body,
                      ReplyHook reply) {
  if (body.size() >
      (kind == CallKind::ChangeConfig ? MaxChangeBytes : MaxOtherCallBytes)) {
    base::logInfo("fleet", "a call was refused, its body is too large",
                  {{"name", name}, {"bytes", body.size()}});
    return reply(StatusTooLarge, Format.WriteError({ResultCode::BodyTooLarge,
                                                    "the body is too large"}));
  }
  const std::uint64_t id = NextCall++;
  PendingCall pending;
  pending.Request = {id, kind, std::move(name), std::move(body)};
  pending.Reply = std::move(reply);
  pending.Deadline = base::readMonotonic() + CallTime;
  PendingCalls.emplace(id, std::move(pending));
  sendPending();
}

void CoreNode::sendPending() {
  if (!Runner)
    return;
  // Handling a call may end the leadership.
  while (Leader && !PendingCalls.empty()) {
    auto pending =
        std::move(PendingCalls.extract(PendingCalls.begin()).mapped());
    Leader->handle(pending.Request, std::move(pending.Reply),
                   base::readMonotonic());
  }
  if (Leader)
    return;
  const std::string leader = leaderHost();
  if (leader.empty() || leader == Settings.Host || !Links.isOpen(leader))
    return;
  for (auto &[id, pending] : PendingCalls) {
    if (std::exchange(pending.IsSent, true))
      continue;
    Links.send(leader, pending.Request);
  }
}

void CoreNode::onReply(CallReply reply) {
  auto node = PendingCalls.extract(reply.Id);
  if (!node.empty())
    node.mapped().Reply(reply.Status, std::move(reply.Body));
}

void CoreNode::expireCalls(base::MonoTime now) {
  for (auto it = PendingCalls.begin(); it != PendingCalls.end();) {
    if (now < it->second.Deadline) {
      ++it;
      continue;
    }
    base::logWarning("fleet", ResultCode::NoQuorum,
                     "a call got no answer from the leader",
                     {{"name", it->second.Request.Name},
                      {"leader", leaderHost()},
                      {"is_sent", it->second.IsSent}});
    it->second.Reply(StatusUnavailable, "");
    it = PendingCalls.erase(it);
  }
}

std::vector<VmAddress> CoreNode::listCores() const {
  std::vector<VmAddress> cores;
  const auto &members = Runner->core().membership();
  for (const auto *list : {&members.Voters, &members.Learners}) {
    for (const auto &member : *list) {
      const std::string &host = member.Vm.Value;
      auto peer = Links.peers().find(host);
      std::string centre = host == Settings.Host ? Settings.DataCentre : "";
      if (peer != Links.peers().end())
        centre = peer->second.DataCentre;
      cores.push_back({host, centre});
    }
  }
  std::ranges::sort(cores);
  cores.erase(std::unique(cores.begin(), cores.end(),
                          [](const VmAddress &left, const VmAddress &right) {
                            return left.Host == right.Host;
                          }),
              cores.end());
  return cores;
}

void CoreNode::updateMembership(base::MonoTime now) {
  if (now >= NextCoreList) {
    NextCoreList = now + CoreListInterval;
    Leader->setCores(listCores());
  }
  if (auto next =
          Members->decide(Runner->core(), Links.peers(), LeadingSince, now))
    Runner->proposeMembership(std::move(*next));
}

void CoreNode::armTick() {
  Timer.expires_after(TickInterval);
  Timer.async_wait([this](const boost::system::error_code &ec) {
    if (ec)
      return;
    tick();
    armTick();
  });
}

void CoreNode::tick() {
  const auto now = base::readMonotonic();
  Links.tick(now);
  for (const auto *list : {&Runner->core().membership().Voters,
                           &Runner->core().membership().Learners})
    for (const auto &member : *list)
      Links.add(member.Vm.Value);
  updateLeadership();
  Members->report(Runner->core(), Links.peers(), now);
  if (Leader) {
    Leader->tick(now);
    if (Leader)
      updateMembership(now);
  }
  if (Leader && now >= NextViewCurrent && Runner->core().hasLeaderLease(now)) {
    NextViewCurrent = now + ViewCurrentInterval;
    ViewConfirmedAt = now;
    broadcast(encodeShared(ViewCurrent{Leader->version()}));
  }
  sendPending();
  expireCalls(now);
  Permits.tick(now);
}

void CoreNode::stop(std::function<void()> done) {
  base::logInfo("fleet", "the core is stopping",
                {{"is_leader", Leader != nullptr}});
  if (!Leader)
    return done();
  Runner->transferLeadership();
  // Time for a round trip to another core and its election.
  constexpr auto TransferTime = std::chrono::milliseconds(400);
  auto timer = std::make_shared<boost::asio::steady_timer>(EventLoop.context(),
                                                           TransferTime);
  timer->async_wait([timer, done = std::move(done)](
                        const boost::system::error_code &) { done(); });
}

} // namespace magnoliamill::fleet
