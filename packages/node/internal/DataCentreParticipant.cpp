// The data-centre group on this VM: group epochs, the replica or follower,
// answers to followers, and membership changes.
#include "node/DataCentreParticipant.h"

#include "base/Hash.h"
#include "base/Log.h"
#include "node/MembershipPolicy.h"

#include <algorithm>

namespace magnoliamill::node {
namespace {

constexpr std::size_t WindowBytes = 8u << 20;
constexpr base::Duration MembershipChangeInterval =
    std::chrono::milliseconds(200);

} // namespace

DataCentreParticipant::DataCentreParticipant(base::EventLoopThread &eventloop,
                                             const settings::NodeSettings &node,
                                             std::uint64_t number,
                                             DataCentreParticipantHooks hooks)
    : EventLoop(eventloop), Node(node), Hooks(std::move(hooks)),
      Settings(std::make_shared<settings::View>()), Incarnation(number),
      View(std::make_shared<ownership::View>()), FollowerWindow(WindowBytes),
      Fetches([this](const auto &request) { return readAfter(request); }),
      Controller({.DataCentre = Node.DataCentre}) {}

void DataCentreParticipant::setSettings(settings::ViewPtr view) {
  Settings = std::move(view);
  auto group = Settings->Groups.find(Node.DataCentre);
  if (group != Settings->Groups.end() && group->second.Epoch > Epoch)
    startGroup(group->second);
  stepController(ownership::SettingsChanged{Settings});
}

void DataCentreParticipant::startGroup(
    const settings::DataCentreGroupView &group) {
  const std::uint64_t epoch = group.Epoch;
  const consensus::Membership &first = group.FirstMembers;
  base::logInfo("data-centre", "group starts", {{"epoch", epoch}});
  // A replica that holds no state and has not heard from a leader keeps its
  // incarnation, because the settings may name it as a first member of this
  // group. With a new incarnation it could not join, and a lost group would be
  // founded again and again.
  bool IsIdentityUsed = Runner && (holdsState() || Runner->core().term() > 0);
  Epoch = epoch;
  Fetches.failWaiting(
      {base::ResultCode::NotRunNotReady, "the group was replaced"});
  Runner.reset();
  Follower.reset();
  if (LeadingTerm != 0) {
    LeadingTerm = 0;
    stepController(ownership::LostLeadership{});
  }
  // The state of the earlier group is discarded, so the replica needs a new
  // incarnation.
  if (IsIdentityUsed)
    ++Incarnation;
  Machine = ownership::StateMachine(epoch);
  if (!Node.DataCentreReplica) {
    startFollower();
    return;
  }
  consensus::ReplicaId self{Node.Vm, Incarnation};
  bool IsFirstMember =
      std::ranges::find(first.Voters, self) != first.Voters.end();
  // PreviousEpoch 0 means that the data centre had no group before; as a first
  // member this VM was running when the group was founded.
  if (IsFirstMember && group.PreviousEpoch == 0)
    Hooks.OnFirstGroup();
  startRunner(IsFirstMember ? first : consensus::Membership{});
}

void DataCentreParticipant::startRunner(const consensus::Membership &members) {
  auto opened = consensus::openMemoryStorage(Incarnation);
  opened.Restored.Members = members;
  consensus::ReplicaConfig core;
  core.Self = {Node.Vm, Incarnation};
  core.Seed = base::hash64(Node.Vm.Value, Incarnation);
  GroupRunnerHooks hooks;
  hooks.Send = Hooks.Send;
  hooks.Apply = [this](const consensus::Entry &entry) {
    return applyEntry(entry);
  };
  hooks.Restore = [this](const consensus::RestoreSnapshot &snapshot) {
    auto restored = Machine.restore(snapshot.Data);
    if (!restored)
      base::logError("data-centre", restored.error().Code,
                     restored.error().Message);
  };
  hooks.TakeSnapshot = [this] { return Machine.snapshot(); };
  hooks.AfterStep = [this] { afterApply(); };
  Runner =
      std::make_unique<GroupRunner>(EventLoop, nullptr, GroupRunnerConfig{},
                                    core, std::move(opened), std::move(hooks));
  Runner->start();
}

void DataCentreParticipant::startFollower() {
  FollowerWindow.restart(0);
  GroupFollowerHooks hooks;
  hooks.Fetch = Hooks.Fetch;
  hooks.Sources = [this] { return replicas(); };
  hooks.Restore = [this](consensus::LogIndex, const std::string &data) {
    auto restored = Machine.restore(data);
    if (!restored)
      base::logError("data-centre", restored.error().Code,
                     restored.error().Message);
  };
  hooks.Apply = [this](const consensus::Entry &entry) { applyEntry(entry); };
  hooks.AfterFetch = [this](bool) { afterApply(); };
  Follower = std::make_unique<GroupFollower>(
      EventLoop, protocol::GroupKind::DataCentre, Node.Vm, std::move(hooks));
  Follower->start();
}

std::string DataCentreParticipant::applyEntry(const consensus::Entry &entry) {
  if (entry.Kind == consensus::EntryKind::Command)
    return Machine.apply(entry.Index, entry.Command);
  return {};
}

void DataCentreParticipant::afterApply() {
  Fetches.answerWaiting();
  updateLeadership();
  auto now = Machine.viewNow();
  if (now == View)
    return;
  View = now;
  stepController(ownership::ViewChanged{View});
  Hooks.OnView(View);
}

bool DataCentreParticipant::leadsWithLease() const {
  return isLeader() && Runner->core().hasLeaderLease(base::readMonotonic());
}

void DataCentreParticipant::updateLeadership() {
  if (!Runner)
    return;
  auto term = Runner->core().term();
  if (LeadingTerm != 0 && (!isLeader() || term != LeadingTerm)) {
    LeadingTerm = 0;
    stepController(ownership::LostLeadership{});
  }
  if (LeadingTerm == 0 && leadsWithLease()) {
    LeadingTerm = term;
    base::logInfo("data-centre", "this VM became leader", {{"term", term}});
    stepController(ownership::BecameLeader{term});
    stepController(ownership::ViewChanged{Machine.viewNow()});
    stepController(ownership::SettingsChanged{Settings});
  }
}

void DataCentreParticipant::receive(consensus::Message message) {
  if (Runner)
    Runner->receive(std::move(message));
}

std::vector<base::VmId> DataCentreParticipant::replicas() const {
  std::vector<base::VmId> found;
  auto group = Settings->Groups.find(Node.DataCentre);
  if (group == Settings->Groups.end())
    return found;
  // Any VM of the data centre may have become a replica since the start.
  for (const auto &[id, vm] : Settings->Vms)
    if (vm.DataCentre == Node.DataCentre && id != Node.Vm && Hooks.IsAlive(id))
      found.push_back(id);
  const auto &first = group->second.FirstMembers.Voters;
  std::stable_partition(
      found.begin(), found.end(), [&first](const base::VmId &vm) {
        return std::ranges::find(first, vm, &consensus::ReplicaId::Vm) !=
               first.end();
      });
  return found;
}

protocol::FetchReply
DataCentreParticipant::readAfter(const protocol::FetchRequest &request) const {
  return LogFetchServer::readWindow(Runner->window(), request,
                                    Runner->appliedIndex(),
                                    [this] { return Machine.snapshot(); });
}

void DataCentreParticipant::answerFetch(
    protocol::FetchRequest request,
    protocol::Reply<protocol::FetchReply> reply) {
  if (!Runner || Runner->appliedIndex() == 0) {
    reply(base::fail(base::ResultCode::NotRunNotReady,
                     "this VM has no replica with state"));
    return;
  }
  Fetches.answer(std::move(request), std::move(reply));
}

void DataCentreParticipant::onReport(const NodeReport &report) {
  Reports[report.Vm] = {report, base::readMonotonic()};
}

bool DataCentreParticipant::holdsState() const {
  return Runner && !Runner->core().membership().Voters.empty();
}

settings::ReplicaReport DataCentreParticipant::replicaReport() const {
  settings::ReplicaReport report;
  report.DataCentre = Node.DataCentre;
  report.Replica = {Node.Vm, Incarnation};
  report.Candidate = Node.DataCentreReplica;
  // A replica that has not been added to the group yet holds no state.
  bool holds = holdsState();
  report.HeldEpoch = holds ? Epoch : 0;
  report.KnownEpoch = Epoch;
  if (holds)
    report.Voters = Runner->core().membership().Voters;
  return report;
}

void DataCentreParticipant::updateMembership() {
  auto now = base::readMonotonic();
  if (!leadsWithLease() ||
      now - LastMembershipChange < MembershipChangeInterval)
    return;
  MembershipInputs inputs;
  inputs.CurrentMembership = Runner->core().membership();
  for (const auto &[vm, seen] : Reports) {
    const auto &replica = seen.Report.DataCentreReplica;
    if (replica.Candidate && replica.DataCentre == Node.DataCentre &&
        now - seen.At < ReportLifetime)
      inputs.Candidates[vm] = replica.Replica.Incarnation;
  }
  for (const auto &[id, vm] : Settings->Vms)
    if (vm.DataCentre == Node.DataCentre)
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

void DataCentreParticipant::tick() {
  Fetches.answerWaiting();
  updateLeadership();
  updateMembership();
  stepController(ownership::ControllerTick{base::readWallMs()});
}

bool DataCentreParticipant::isReady() const {
  if (View->Index == 0)
    return false;
  if (!Runner)
    return true;
  // A learner does not count towards the quorum: if it were reported as ready,
  // an operator who waits for this VM before stopping the next one could lose
  // the group's quorum.
  const auto &voters = Runner->core().membership().Voters;
  return std::ranges::find(voters, consensus::ReplicaId{
                                       Node.Vm, Incarnation}) != voters.end();
}

base::VmId DataCentreParticipant::leader() const {
  if (!Runner || !Runner->core().leader())
    return {};
  return Runner->core().leader()->Vm;
}

std::optional<consensus::Membership> DataCentreParticipant::membership() const {
  if (!Runner)
    return std::nullopt;
  return Runner->core().membership();
}

void DataCentreParticipant::handOverLeadership() {
  if (isLeader())
    Runner->transferLeadership();
}

} // namespace magnoliamill::node
