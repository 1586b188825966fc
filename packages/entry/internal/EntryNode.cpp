// Wires an entry.
#include "entry/EntryNode.h"

#include "base/Log.h"

namespace magnoliamill::entry {
namespace {

/// Each look at time limits wakes the process; the limits that clients have are
/// seconds, so a limit may be late by this.
constexpr base::Duration SweepInterval = std::chrono::milliseconds(250);
/// The balancer takes a VM out after two misses, 2 s; a kept connection ends
/// with its next answer, so most have ended by themselves after this time.
/// Closing idle ones earlier would reset requests that are under way on a busy
/// link.
constexpr base::Duration LeaveTime = std::chrono::milliseconds(4200);
/// A request that comes on a kept connection after this part of the grace might
/// not be answered within it: routes allow some seconds.
constexpr int RefusePercentOfGrace = 60;
/// With a shorter grace: what is left of it is for the last requests.
constexpr int LeavePercentOfGrace = 70;
/// How often the speeds of targets are reported: a slow target shows within a
/// few reports.
constexpr base::Duration ReportInterval = std::chrono::milliseconds(1000);
/// Before the forced end, for the last answers to leave.
constexpr base::Duration ForceMargin = std::chrono::milliseconds(150);
/// An idle connection may still bring a request for this long.
constexpr base::Duration DrainIdleTime = std::chrono::milliseconds(300);

gateway::GatewayConfig makeServerConfig(const settings::ListenAddress &listen) {
  gateway::GatewayConfig config;
  config.Host = listen.Host;
  config.Port = listen.Port;
  config.Limits.SweepInterval = SweepInterval;
  config.Limits.DrainIdleTime = DrainIdleTime;
  return config;
}

} // namespace

EntryNode::EntryNode(base::EventLoopThread &duty, fleet::FleetSettings settings,
                     EntryFormat dialect)
    : Duty(duty), Settings(std::move(settings)), Dialect(std::move(dialect)),
      Source(duty, Settings, [this] { onView(); }),
      Flow(duty, Settings, Dialect, Source.view()), ReportTimer(duty.context()),
      StopTimer(duty.context()), ForceTimer(duty.context()),
      RefuseTimer(duty.context()) {
  Clients = std::make_shared<gateway::HttpServer>(
      Duty, makeServerConfig(Settings.ClientListen),
      [this](gateway::HttpCall call, protocol::AnswerSink sink) {
        return Flow.handle(std::move(call), std::move(sink));
      });
  Readiness = std::make_shared<gateway::HttpServer>(
      Duty, makeServerConfig(Settings.ReadinessListen),
      [this](const gateway::HttpCall &call, const protocol::AnswerSink &sink) {
        answerReadiness(call, sink);
        return protocol::CancelHook();
      });
}

EntryNode::~EntryNode() {
  Clients->close();
  Readiness->close();
}

base::Result<void> EntryNode::start() {
  for (const auto &server : {Clients, Readiness})
    if (auto started = server->start(); !started)
      return started;
  Source.start();
  armReport();
  return base::ok();
}

void EntryNode::armReport() {
  ReportTimer.expires_after(ReportInterval);
  ReportTimer.async_wait([this](const boost::system::error_code &ec) {
    if (ec)
      return;
    if (auto report = Flow.speeds().take(); !report.empty())
      Source.send(std::move(report));
    armReport();
  });
}

void EntryNode::onView() {
  Flow.onView();
  if (Source.view().lastChange().Items.Limits)
    applyLimits();
  if (isReady() && !std::exchange(WasReady, true))
    base::logInfo("entry", "this VM is ready",
                  {{"term", Source.view().version().Term},
                   {"targets", Source.view().targets().size()}});
}

void EntryNode::applyLimits() {
  const auto *limits = Source.view().config().limits();
  gateway::HttpLimits http = makeServerConfig({}).Limits;
  http.MaxHeaderBytes = limits->MaxHeaderBytes;
  http.MaxBodyBytes = limits->MaxBodyBytes;
  http.HeaderTimeout = limits->HeaderTimeout;
  http.IdleTimeout = limits->IdleTimeout;
  Clients->setLimits(http);
}

bool EntryNode::isReady() const {
  return !IsStopping && !Source.view().config().empty();
}

void EntryNode::answerReadiness(const gateway::HttpCall &call,
                                const protocol::AnswerSink &sink) {
  protocol::AnswerHead head;
  head.Status = 404;
  if (call.Target == Dialect.ReadinessPath)
    head.Status = isReady() ? 200 : 503;
  gateway::sendAnswer(sink, std::move(head));
}

void EntryNode::stop(std::function<void()> done) {
  if (std::exchange(IsStopping, true))
    return;
  base::logInfo("entry", "this VM stops",
                {{"requests", Flow.countRequests()},
                 {"connections", Clients->countConnections()}});
  Clients->endKeepAlive();
  auto finish = std::make_shared<std::function<void()>>(std::move(done));
  const auto end = [finish] {
    if (auto hook = std::exchange(*finish, nullptr))
      hook();
  };
  StopTimer.expires_after(
      std::min(LeaveTime, Settings.StopGrace * LeavePercentOfGrace / 100));
  StopTimer.async_wait([this, end](const boost::system::error_code &ec) {
    if (!ec)
      Clients->drain(end);
  });
  RefuseTimer.expires_after(Settings.StopGrace * RefusePercentOfGrace / 100);
  RefuseTimer.async_wait([this](const boost::system::error_code &ec) {
    if (!ec)
      Flow.refuseNew();
  });
  ForceTimer.expires_after(Settings.StopGrace - ForceMargin);
  ForceTimer.async_wait([this, end](const boost::system::error_code &ec) {
    if (ec)
      return;
    base::logWarning("entry", base::ResultCode::Stopping,
                     "the grace has ended before the last answer",
                     {{"requests", Flow.countRequests()}});
    end();
  });
}

} // namespace magnoliamill::entry
