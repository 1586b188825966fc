// Start, periodic tasks and stop of a node.
#include "node/internal/NodeState.h"

#include "base/Log.h"
#include "base/Metrics.h"

#include <boost/asio/post.hpp>
#include <boost/json/parse.hpp>
#include <prometheus/gauge.h>

namespace magnoliamill::node {
namespace {

constexpr base::Duration TickInterval = std::chrono::milliseconds(50);
// Time for the platform's load balancer to notice that the VM is no longer
// ready.
constexpr base::Duration LoadBalancerDelay = std::chrono::milliseconds(500);
// A planned stop ends after this time even if requests are still in flight.
constexpr base::Duration MaxStopDuration = std::chrono::seconds(20);

} // namespace

Node::Node(settings::NodeSettings settings, bool bootstrap)
    : Self(std::make_unique<State>(std::move(settings), bootstrap)) {}
Node::~Node() = default;
base::Result<void> Node::start() { return Self->start(); }
void Node::beginStop(std::function<void()> done) {
  Self->beginStop(std::move(done));
}

Node::State::State(settings::NodeSettings settings, bool bootstrap)
    : Settings(std::move(settings)), Bootstrap(bootstrap),
      Incarnation(static_cast<std::uint64_t>(base::readWallMs())),
      FrontThread("front", Settings.Limits.RingCapacity),
      DispatchThread("dispatch", Settings.Limits.RingCapacity),
      StateThread("state", Settings.Limits.RingCapacity),
      StorageThread("storage", Settings.Limits.RingCapacity),
      StateTimer(StateThread.context()) {
  peer::PeerConfig links;
  links.Self = {Settings.Vm, Settings.PeerListen.Host,
                Settings.PeerListen.Port};
  links.OnlyKnownHosts = true;
  Peers = std::make_unique<peer::PeerLinks>(links, makePeerHandlers());
  SettingsGroup = std::make_unique<SettingsParticipant>(
      StateThread, StorageThread, Settings, makeSettingsHooks());
  DataCentre = std::make_unique<DataCentreParticipant>(
      StateThread, Settings, Incarnation, makeDataCentreHooks());
  Api = std::make_unique<OperatorApi>(
      Settings, *SettingsGroup, *DataCentre,
      [this](const base::VmId &to, protocol::QueryRequest request,
             protocol::Reply<protocol::QueryReply> reply) {
        Peers->query(to, std::move(request), ControlTimeout, std::move(reply));
      });
  Dispatch = std::make_unique<DispatchFlow>(
      DispatchThread,
      DispatchFlowConfig{.Self = Settings.Vm,
                         .DataCentre = Settings.DataCentre,
                         .Incarnation = Incarnation,
                         .Targets = {}},
      makeDispatchHooks());
  Requests = std::make_unique<RequestFlow>(
      FrontThread,
      RequestFlowConfig{.Self = Settings.Vm,
                        .DataCentre = Settings.DataCentre,
                        .Incarnation = Incarnation,
                        .MaxDeadlineMs = Settings.Limits.MaxDeadlineMs},
      makeRequestHooks());
  gateway::GatewayConfig front;
  front.Host = Settings.HttpListen.Host;
  front.Port = Settings.HttpListen.Port;
  front.Limits.MaxBodyBytes = Settings.Limits.MaxBodyBytes;
  front.Limits.MaxHeaderBytes = Settings.Limits.MaxHeaderBytes;
  front.Limits.MaxConnections = Settings.Limits.MaxConnections;
  Gateway = std::make_unique<gateway::HttpGateway>(FrontThread, front,
                                                   makeGatewayHandlers());
}

Node::State::~State() {
  // Stops the threads before the objects that they use are destroyed.
  if (Peers)
    Peers->stop();
  FrontThread.stop();
  DispatchThread.stop();
  StateThread.stop();
  StorageThread.stop();
}

base::Result<void> Node::State::start() {
  auto linked = Peers->start();
  if (!linked)
    return linked;
  std::vector<peer::PeerAddress> seeds;
  for (const auto &seed : Settings.Seeds)
    if (seed.Id != Settings.Vm)
      seeds.push_back({seed.Id, seed.Host, seed.PeerPort});
  Peers->setPeers(std::move(seeds));
  // The threads start after this, so opening needs no lock.
  auto opened = SettingsGroup->open(Bootstrap);
  if (!opened)
    return opened;
  auto listening = Gateway->start();
  if (!listening)
    return listening;
  boost::asio::post(StateThread.context(), [this] { tick(); });
  StorageThread.start();
  StateThread.start();
  DispatchThread.start();
  FrontThread.start();
  base::logInfo("node", "started", {{"incarnation", Incarnation}});
  return base::ok();
}

void Node::State::onSettingsView(const settings::ViewPtr &view) {
  std::vector<peer::PeerAddress> peers;
  for (const auto &[id, vm] : view->Vms)
    if (id != Settings.Vm)
      peers.push_back({id, vm.Host, vm.PeerPort});
  if (!peers.empty())
    Peers->setPeers(std::move(peers));
  DataCentre->setSettings(view);
  Requests->setSettings(view);
  Dispatch->setSettings(view);
}

void Node::State::tick() {
  SettingsGroup->tick();
  DataCentre->tick();
  Api->answerWatchers();
  sendReports();
  updateReadiness();
  StateTimer.expires_after(TickInterval);
  StateTimer.async_wait([this](const boost::system::error_code &ec) {
    if (!ec)
      tick();
  });
}

void Node::State::sendReports() {
  auto now = base::readMonotonic();
  if (now - LastReport < ReportInterval)
    return;
  LastReport = now;
  publishMetrics();
  NodeReport report;
  report.Vm = Settings.Vm;
  report.DataCentre = Settings.DataCentre;
  report.InForce = SettingsGroup->inForce();
  report.SettingsIncarnation = SettingsGroup->incarnation();
  report.DataCentreReplica = DataCentre->replicaReport();
  SettingsGroup->onReport(report);
  DataCentre->onReport(report);
  std::string text = encodeNodeReport(report);
  auto vms = SettingsGroup->view()->Vms;
  if (vms.empty())
    for (const auto &seed : Settings.Seeds)
      vms[seed.Id] = seed;
  for (const auto &[id, vm] : vms) {
    bool receives = vm.HasDisk || vm.DataCentre == Settings.DataCentre;
    if (id == Settings.Vm || !receives)
      continue;
    Peers->query(id, {"report", text}, ControlTimeout,
                 [this](base::Result<protocol::QueryReply> answer) {
                   StateThread.postReply(
                       [this, answer] { onReportAnswer(answer); });
                 });
  }
}

void Node::State::onReportAnswer(
    const base::Result<protocol::QueryReply> &answer) {
  if (!answer)
    return;
  boost::system::error_code ec;
  auto parsed = boost::json::parse(answer.value().Document, ec);
  if (ec || !parsed.is_object() || !parsed.at("leader").as_bool())
    return;
  SettingsGroup->onLeaderCommit(
      parsed.at("commit").to_number<consensus::LogIndex>());
}

void Node::State::updateReadiness() {
  SettingsReady = SettingsGroup->isReady();
  DataCentreReady = DataCentre->isReady();
}

std::string Node::State::describeUnready() const {
  if (IsStopping)
    return "stopping";
  if (!SettingsReady)
    return "settings are not caught up yet";
  if (!DataCentreReady)
    return "the data-centre group has not started";
  return {};
}

void Node::State::publishMetrics() {
  static auto &InForce = base::gauge("mill_settings_in_force_index",
                                     "Settings index in force on this VM.");
  static auto &Leads = base::gauge("mill_leads_data_centre",
                                   "1 while this VM leads its data centre.");
  static auto &LeadsSettings = base::gauge(
      "mill_leads_settings", "1 while this VM leads the settings group.");
  static auto &Open =
      base::gauge("mill_requests_open", "Callers' requests in this VM.");
  static auto &Refused =
      base::gauge("mill_ring_refused",
                  "Tasks refused because the ring of a thread was full.");
  InForce.Set(static_cast<double>(SettingsGroup->inForce()));
  Leads.Set(DataCentre->isLeader() ? 1 : 0);
  LeadsSettings.Set(SettingsGroup->isLeader() ? 1 : 0);
  Open.Set(static_cast<double>(Requests->countOpen()));
  Refused.Set(static_cast<double>(
      FrontThread.countRefused() + DispatchThread.countRefused() +
      StateThread.countRefused() + StorageThread.countRefused()));
  publishServiceMetrics();
}

void Node::State::publishServiceMetrics() {
  std::map<base::ServiceId, std::vector<std::uint32_t>> homes;
  for (const auto &[service, slots] : SettingsGroup->view()->Homes)
    for (std::uint32_t i = 0; i < slots.size(); ++i)
      if (slots[i].Home == Settings.DataCentre)
        homes[service].push_back(i);
  Metrics.update(*DataCentre->view(), homes, base::readMonotonic());
  for (const auto &[service, measured] : Metrics.services()) {
    base::MetricLabels label{{"service", service.Value}};
    base::gauge("mill_service_imbalance",
                "Slots of the busiest active target by the mean.", label)
        .Set(measured.Imbalance);
    base::gauge("mill_service_owner_changes",
                "Slots that got another owner since the start.", label)
        .Set(static_cast<double>(measured.OwnerChanges));
    base::gauge("mill_service_unserved_slots",
                "Slots at home here that no target serves.", label)
        .Set(measured.UnservedSlots);
    base::gauge("mill_service_unserved_slot_seconds",
                "Time of all slots without a target that serves them.", label)
        .Set(measured.UnservedSeconds);
  }
}

void Node::State::beginStop(std::function<void()> done) {
  base::logInfo("node", "planned stop");
  IsStopping = true;
  Requests->beginStop(MaxStopDuration);
  boost::asio::post(StateThread.context(), [this, done = std::move(done)] {
    OnStopped = done;
    auto timeout = std::make_shared<boost::asio::steady_timer>(
        StateThread.context(), MaxStopDuration);
    timeout->async_wait([this, timeout](const boost::system::error_code &ec) {
      if (!ec)
        finishStop();
    });
    Dispatch->beginStopping([this] {
      StateThread.postReply([this] {
        SettingsGroup->handOverLeadership();
        DataCentre->handOverLeadership();
        drainGateway();
      });
    });
  });
}

void Node::State::drainGateway() {
  if (GatewayDrainStarted.exchange(true))
    return;
  auto delay = std::make_shared<boost::asio::steady_timer>(
      StateThread.context(), LoadBalancerDelay);
  delay->async_wait([this, delay](const boost::system::error_code &) {
    boost::asio::post(FrontThread.context(), [this] {
      Gateway->drain(
          [this] { StateThread.postReply([this] { finishStop(); }); });
    });
  });
}

void Node::State::finishStop() {
  auto done = std::exchange(OnStopped, nullptr);
  if (!done)
    return;
  base::logInfo("node", "stopped");
  done();
}

} // namespace magnoliamill::node
