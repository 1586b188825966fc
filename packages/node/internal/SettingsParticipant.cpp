// The settings group on this VM: replica or follower, proposals, answers to
// followers, and membership changes.
#include "node/SettingsParticipant.h"

#include "base/Hash.h"
#include "base/Log.h"
#include "node/MembershipPolicy.h"
#include "node/ReplicaOrder.h"

#include <algorithm>
#include <filesystem>
#include <fmt/format.h>

namespace magnoliamill::node {
namespace {

constexpr std::size_t WindowBytes = 8u << 20;
constexpr std::uint32_t ProposeTries = 6;
constexpr base::Duration ProposeRetryDelay = std::chrono::milliseconds(150);
// Incarnation of the members of a new installation; later members use the wall
// time in milliseconds.
constexpr std::uint64_t FirstIncarnation = 1;
constexpr std::size_t MaxSettingsVoters = 5;
constexpr base::Duration MembershipChangeInterval =
    std::chrono::milliseconds(200);

/// True when a proposal that failed with \p code is certainly in no replica's
/// log.
bool isSurelyNotLogged(base::ResultCode code) {
  using enum base::ResultCode;
  return code == NotLeader || code == PeerUnreachable ||
         code == ProposalDropped || code == PeerQueueFull;
}

} // namespace

SettingsParticipant::SettingsParticipant(base::EventLoopThread &eventloop,
                                         base::EventLoopThread &storage,
                                         const settings::NodeSettings &node,
                                         SettingsParticipantHooks hooks)
    : EventLoop(eventloop), StorageThread(storage), Node(node),
      Hooks(std::move(hooks)), View(std::make_shared<settings::View>()),
      FollowerWindow(WindowBytes),
      Fetches([this](const auto &request) { return readAfter(request); }) {}

base::Result<void> SettingsParticipant::open(bool bootstrap) {
  if (!Node.SettingsReplica) {
    startFollower();
    return base::ok();
  }
  auto fresh = bootstrap ? FirstIncarnation
                         : static_cast<std::uint64_t>(base::readWallMs());
  auto opened = consensus::openDiskStorage(
      std::filesystem::path(Node.DataFolder) / "settings", fresh);
  if (!opened)
    return base::fail(opened.error());
  if (bootstrap && opened.value().IsNew) {
    auto written = writeFirstMembership(opened.value());
    if (!written)
      return written;
  }
  startRunner(std::move(opened.value()));
  return base::ok();
}

base::Result<void> SettingsParticipant::writeFirstMembership(
    consensus::OpenedStorage &opened) const {
  consensus::Membership members;
  for (const auto &seed : Node.Seeds)
    if (seed.HasDisk)
      members.Voters.push_back({seed.Id, FirstIncarnation});
  opened.Restored.Members = members;
  // The first membership is in no log entry, so it must be on disk before the
  // replica takes part in the group.
  return opened.Store->writeSnapshot({0, 0, members, ""});
}

void SettingsParticipant::startRunner(consensus::OpenedStorage opened) {
  Incarnation = opened.Incarnation;
  consensus::ReplicaConfig core;
  core.Self = {Node.Vm, Incarnation};
  core.Seed = base::hash64(Node.Vm.Value, Incarnation);
  GroupRunnerHooks hooks;
  hooks.Send = Hooks.Send;
  hooks.Apply = [this](const consensus::Entry &entry) {
    if (entry.Kind == consensus::EntryKind::Command)
      return Machine.apply(entry.Index, entry.Command);
    Machine.skip(entry.Index);
    return std::string();
  };
  hooks.Restore = [this](const consensus::RestoreSnapshot &snapshot) {
    auto restored = Machine.restore(snapshot.Data);
    if (!restored)
      base::logError("settings", restored.error().Code,
                     restored.error().Message);
  };
  hooks.TakeSnapshot = [this] { return Machine.snapshot(); };
  hooks.AfterStep = [this] { afterApply(); };
  Runner = std::make_unique<GroupRunner>(EventLoop, &StorageThread,
                                         GroupRunnerConfig{}, core,
                                         std::move(opened), std::move(hooks));
  Runner->start();
}

void SettingsParticipant::startFollower() {
  GroupFollowerHooks hooks;
  hooks.Fetch = Hooks.Fetch;
  hooks.Sources = [this] { return replicas(); };
  hooks.Restore = [this](consensus::LogIndex index, const std::string &data) {
    auto restored = Machine.restore(data);
    if (!restored)
      base::logError("settings", restored.error().Code,
                     restored.error().Message);
    FollowerWindow.restart(index);
  };
  hooks.Apply = [this](const consensus::Entry &entry) {
    if (entry.Kind == consensus::EntryKind::Command)
      Machine.apply(entry.Index, entry.Command);
    else
      Machine.skip(entry.Index);
    FollowerWindow.add({&entry, 1});
  };
  hooks.AfterFetch = [this](bool CaughtUp) {
    // With an applied index of 0 the group has no entry yet, and the empty
    // settings tree must not be served.
    if (CaughtUp && Machine.appliedIndex() > 0)
      Ready = true;
    afterApply();
  };
  Follower = std::make_unique<GroupFollower>(
      EventLoop, protocol::GroupKind::Settings, Node.Vm, std::move(hooks));
  Follower->start();
}

void SettingsParticipant::afterApply() {
  if (isLeader() && Runner->core().hasLeaderLease(base::readMonotonic()))
    onLeaderCommit(Runner->core().commitIndex());
  Fetches.answerWaiting();
  auto now = Machine.viewNow();
  if (now == View)
    return;
  View = now;
  Hooks.OnView(View);
}

void SettingsParticipant::onLeaderCommit(consensus::LogIndex commit) {
  // Everything that was committed before this VM started has been applied.
  if (commit > 0 && Machine.appliedIndex() >= commit)
    Ready = true;
}

std::vector<base::VmId> SettingsParticipant::replicas() const {
  std::vector<settings::VmView> found;
  auto add = [&](const settings::VmView &vm) {
    if (vm.HasDisk && vm.Id != Node.Vm &&
        std::ranges::find(found, vm.Id, &settings::VmView::Id) == found.end())
      found.push_back(vm);
  };
  for (const auto &[id, vm] : View->Vms)
    add(vm);
  if (View->Vms.empty())
    std::ranges::for_each(Node.Seeds, add);
  return orderReplicas(found, Node.DataCentre, Hooks.IsAlive);
}

void SettingsParticipant::receive(consensus::Message message) {
  if (Runner)
    Runner->receive(std::move(message));
}

base::VmId SettingsParticipant::leader() const {
  if (!Runner || !Runner->core().leader())
    return {};
  return Runner->core().leader()->Vm;
}

base::VmId SettingsParticipant::chooseReplica() {
  base::VmId known = leader();
  return known.empty() ? Finder.choose(replicas()) : known;
}

void SettingsParticipant::proposeLocally(
    std::string command, protocol::Reply<protocol::ProposeReply> reply) {
  if (!isLeader()) {
    reply(base::fail(base::ResultCode::NotLeader, leader().Value));
    return;
  }
  Runner->propose(std::move(command), std::move(reply));
}

void SettingsParticipant::propose(
    const settings::Command &command,
    std::function<void(base::Result<settings::ChangeOutcome>)> reply) {
  proposeWithRetries(settings::encodeCommand(command), {ProposeTries, false},
                     std::move(reply));
}

void SettingsParticipant::proposeWithRetries(
    std::string command, ProposeProgress progress,
    std::function<void(base::Result<settings::ChangeOutcome>)> reply) {
  base::VmId vm = isLeader() ? Node.Vm : Finder.choose(replicas());
  auto done = [this, vm, command, progress,
               reply](base::Result<protocol::ProposeReply> answered) {
    if (answered) {
      Finder.onAnswer(vm);
      reply(settings::decodeOutcome(answered.value().Outcome));
      return;
    }
    Finder.onFailure(vm, answered.error());
    ProposeProgress next{progress.TriesLeft - 1,
                         progress.MayHaveRun ||
                             !isSurelyNotLogged(answered.error().Code)};
    if (next.TriesLeft == 0) {
      using enum base::ResultCode;
      reply(base::fail(next.MayHaveRun ? ChangeOutcomeUnknown : NoQuorum,
                       next.MayHaveRun
                           ? "resend with the same change id"
                           : "the settings group has no leader now"));
      return;
    }
    auto timer =
        std::make_shared<boost::asio::steady_timer>(EventLoop.context());
    timer->expires_after(ProposeRetryDelay);
    timer->async_wait([this, timer, command, next,
                       reply](const boost::system::error_code &ec) {
      if (!ec)
        proposeWithRetries(command, next, reply);
    });
  };
  if (vm.empty()) {
    done(base::fail(base::ResultCode::PeerUnreachable, "no replica known"));
    return;
  }
  if (vm == Node.Vm) {
    proposeLocally(command, done);
    return;
  }
  Hooks.ProposeTo(vm, {protocol::GroupKind::Settings, command},
                  [this, done](base::Result<protocol::ProposeReply> answered) {
                    EventLoop.postReply([done, answered] { done(answered); });
                  });
}

protocol::FetchReply
SettingsParticipant::readAfter(const protocol::FetchRequest &request) const {
  return LogFetchServer::readWindow(Runner ? Runner->window() : FollowerWindow,
                                    request, Machine.appliedIndex(),
                                    [this] { return Machine.snapshot(); });
}

void SettingsParticipant::answerFetch(
    protocol::FetchRequest request,
    protocol::Reply<protocol::FetchReply> reply) {
  InForceByVm[request.Vm] = request.InForce;
  if (!Ready) {
    reply(base::fail(base::ResultCode::NotRunNotReady, "not caught up yet"));
    return;
  }
  Fetches.answer(std::move(request), std::move(reply));
}

void SettingsParticipant::onReport(const NodeReport &report) {
  InForceByVm[report.Vm] = report.InForce;
  Reports[report.Vm] = {report, base::readMonotonic()};
  if (Homes)
    Homes->report(report.DataCentreReplica, base::readMonotonic());
}

void SettingsParticipant::registerSelf() {
  if (!Ready || RegisterProposed || View->Vms.empty())
    return;
  RegisterProposed = true;
  auto own = std::ranges::find(Node.Seeds, Node.Vm, &settings::VmView::Id);
  auto known = View->Vms.find(Node.Vm);
  bool IsKnown = known != View->Vms.end() && own != Node.Seeds.end() &&
                 known->second == *own;
  if (own == Node.Seeds.end() || IsKnown)
    return;
  propose(settings::RegisterVm{base::readWallMs(), *own},
          [this](const base::Result<settings::ChangeOutcome> &outcome) {
            // Without an outcome the next tick proposes it again.
            RegisterProposed = outcome.has_value();
          });
}

void SettingsParticipant::tick() {
  Fetches.answerWaiting();
  registerSelf();
  if (!isLeader()) {
    Homes.reset();
    BootstrapProposed = false;
    return;
  }
  if (!Homes)
    Homes.emplace();
  runLeaderTasks();
}

void SettingsParticipant::runLeaderTasks() {
  if (!Runner->core().hasLeaderLease(base::readMonotonic()))
    return;
  auto send = [this](settings::Command command) {
    settings::setWhenMs(command, base::readWallMs());
    Runner->propose(settings::encodeCommand(command), [](const auto &) {});
  };
  if (View->Vms.empty() && !BootstrapProposed) {
    BootstrapProposed = true;
    send(settings::BootstrapVms{0, Node.Seeds});
  }
  for (auto &command : Homes->step(*View, base::readMonotonic()))
    send(std::move(command));
  updateMembership();
}

void SettingsParticipant::updateMembership() {
  auto now = base::readMonotonic();
  if (now - LastMembershipChange < MembershipChangeInterval)
    return;
  MembershipInputs inputs;
  inputs.CurrentMembership = Runner->core().membership();
  inputs.MaxVoters = MaxSettingsVoters;
  for (const auto &[vm, seen] : Reports)
    if (seen.Report.SettingsIncarnation > 0 && now - seen.At < ReportLifetime)
      inputs.Candidates[vm] = seen.Report.SettingsIncarnation;
  for (const auto &[id, vm] : View->Vms)
    if (vm.HasDisk)
      inputs.Registered.insert(id);
  if (inputs.Registered.empty())
    return;
  inputs.IsCaughtUp = [this](const consensus::ReplicaId &replica) {
    return Runner->core().isCaughtUp(replica);
  };
  if (auto next = decideMembership(inputs)) {
    LastMembershipChange = now;
    Runner->proposeMembership(*next);
  }
}

std::string SettingsParticipant::renderCommit() const {
  bool leads =
      isLeader() && Runner->core().hasLeaderLease(base::readMonotonic());
  return fmt::format("{{\"leader\":{},\"commit\":{}}}", leads,
                     leads ? Runner->core().commitIndex() : 0);
}

std::optional<consensus::Membership> SettingsParticipant::membership() const {
  if (!Runner)
    return std::nullopt;
  return Runner->core().membership();
}

void SettingsParticipant::handOverLeadership() {
  if (isLeader())
    Runner->transferLeadership();
}

} // namespace magnoliamill::node
