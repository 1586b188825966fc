// Connects the servers, the view subscription and the request handler of an
// entry.
#include "entry/EntryNode.h"

#include "base/Log.h"
#include "base/Metrics.h"

#include <prometheus/gauge.h>

namespace magnoliamill::entry {
namespace {

/// Interval of the checks for expired client timeouts. Each check wakes the
/// process; the timeouts are in the range of seconds, so this delay is
/// acceptable.
constexpr base::Duration SweepInterval = std::chrono::milliseconds(250);
/// Time from the start of a stop until remaining connections are drained. The
/// load balancer removes a VM after two failed checks (2 s), and each
/// keep-alive connection closes after its next answer, so most connections have
/// ended by then. Closing idle connections earlier would reset requests that
/// are still on their way over a busy link.
constexpr base::Duration DrainDelay = std::chrono::milliseconds(4200);
/// Limits DrainDelay if the stop grace period is short, so that the remaining
/// time is left for the last requests.
constexpr int DrainPercentOfGrace = 70;
/// Interval of the reports on target speeds. A slow target becomes visible
/// within a few reports.
constexpr base::Duration ReportInterval = std::chrono::milliseconds(1000);
/// How long an idle connection may still deliver a request while draining.
constexpr base::Duration DrainIdleTime = std::chrono::milliseconds(300);

/// Connections per MB of memory that callers and other entries may hold. A VM
/// has 25 descriptors per MB; targets get 9 (RequestHandler.cpp). Callers of a
/// VM with 120 MB need 820 if each of 55 requests per second comes on a
/// connection of its own that stays idle for 15 s.
constexpr std::size_t ClientConnectionsPerMb = 9;
constexpr std::size_t RelayConnectionsPerMb = 3;
constexpr std::size_t ReadinessConnections = 32;
/// Part of the memory for input and headers; messages have half of it
/// (RequestHandler.cpp). Relayed requests come from other entries.
constexpr std::size_t ClientInputDivisor = 8;
constexpr std::size_t RelayInputDivisor = 16;

gateway::GatewayConfig makeServerConfig(const settings::ListenAddress &listen) {
  gateway::GatewayConfig config;
  config.Host = listen.Host;
  config.Port = listen.Port;
  config.Limits.SweepInterval = SweepInterval;
  config.Limits.DrainIdleTime = DrainIdleTime;
  return config;
}

gateway::GatewayConfig makeClientConfig(const fleet::FleetSettings &settings) {
  auto config = makeServerConfig(settings.ClientListen);
  auto &limits = config.Limits;
  limits.MaxConnections =
      std::min(limits.MaxConnections,
               settings.MemoryBytes / 1'000'000 * ClientConnectionsPerMb);
  limits.MaxInputBytes = settings.MemoryBytes / ClientInputDivisor;
  return config;
}

gateway::GatewayConfig makeRelayConfig(const fleet::FleetSettings &settings) {
  auto config = makeServerConfig({settings.Host, settings.LinkPort});
  auto &limits = config.Limits;
  limits.MaxConnections =
      std::min(limits.MaxConnections,
               settings.MemoryBytes / 1'000'000 * RelayConnectionsPerMb);
  limits.MaxInputBytes = settings.MemoryBytes / RelayInputDivisor;
  return config;
}

gateway::GatewayConfig
makeReadinessConfig(const fleet::FleetSettings &settings) {
  auto config = makeServerConfig(settings.ReadinessListen);
  config.Limits.MaxConnections = ReadinessConnections;
  config.Limits.MaxBodyBytes = 0;
  config.Limits.MaxInputBytes =
      ReadinessConnections * (config.Limits.MaxHeaderBytes << 1);
  return config;
}

} // namespace

EntryNode::EntryNode(base::EventLoopThread &loop, fleet::FleetSettings settings,
                     EntryFormat format)
    : EventLoop(loop), Settings(std::move(settings)), Format(std::move(format)),
      Subscription(loop, Settings,
                   {[this] { onView(); },
                    [this](const dispatch::CrashReport &report) {
                      Handler.crashes().onReport(report);
                    },
                    [this](const std::vector<fleet::VmAddress> &entries) {
                      Handler.peers().update(entries);
                    },
                    [this] { return Handler.crashes().describe(); }}),
      Handler(loop, Settings, Format, Subscription.view()),
      ReportTimer(loop.context()), StopTimer(loop.context()),
      ForceTimer(loop.context()) {
  Handler.crashes().reportTo([this](const dispatch::CrashReport &report) {
    Subscription.send(report);
  });
  Handler.readViewAgeBy(
      [this] { return base::readMonotonic() - Subscription.confirmedAt(); });
  Clients = std::make_shared<gateway::HttpServer>(
      EventLoop, makeClientConfig(Settings),
      [this](gateway::HttpCall call, protocol::AnswerSink sink) {
        return Handler.handle(std::move(call), std::move(sink),
                              RequestOrigin::Client);
      });
  Relayed = std::make_shared<gateway::HttpServer>(
      EventLoop, makeRelayConfig(Settings),
      [this](gateway::HttpCall call, protocol::AnswerSink sink) {
        return Handler.handle(std::move(call), std::move(sink),
                              RequestOrigin::Entry);
      });
  Clients->limitMemory(Handler.memory());
  Relayed->limitMemory(Handler.memory());
  Readiness = std::make_shared<gateway::HttpServer>(
      EventLoop, makeReadinessConfig(Settings),
      [this](const gateway::HttpCall &call, const protocol::AnswerSink &sink) {
        answerReadiness(call, sink);
        return protocol::CancelHook();
      });
}

EntryNode::~EntryNode() {
  Clients->close();
  Readiness->close();
  Relayed->close();
}

base::Result<void> EntryNode::start() {
  for (const auto &server : {Clients, Readiness, Relayed})
    if (auto started = server->start(); !started)
      return started;
  Subscription.start();
  scheduleReport();
  return base::ok();
}

void EntryNode::scheduleReport() {
  ReportTimer.expires_after(ReportInterval);
  ReportTimer.async_wait([this](const boost::system::error_code &ec) {
    if (ec)
      return;
    if (auto report = Handler.speeds().take(); !report.empty())
      Subscription.send(std::move(report));
    auto loads = Handler.stripeLoads().take(base::readMonotonic());
    if (!loads.empty() && Subscription.acceptsStripeLoads())
      Subscription.send(std::move(loads));
    base::gauge("mill_entry_owed_bytes",
                "Bytes of answers in progress that were not passed on yet.")
        .Set(static_cast<double>(Handler.owedBytes()));
    scheduleReport();
  });
}

void EntryNode::onView() {
  Handler.onView();
  if (Subscription.view().lastChange().Items.Limits)
    applyLimits();
  if (isReady() && !std::exchange(WasReady, true))
    base::logInfo("entry", "this VM is ready",
                  {{"term", Subscription.view().version().Term},
                   {"targets", Subscription.view().targets().size()}});
}

void EntryNode::applyLimits() {
  const auto *limits = Subscription.view().config().limits();
  gateway::HttpLimits http = makeClientConfig(Settings).Limits;
  http.MaxHeaderBytes = limits->MaxHeaderBytes;
  http.MaxBodyBytes = limits->MaxBodyBytes;
  http.HeaderTimeout = limits->HeaderTimeout;
  http.IdleTimeout = limits->IdleTimeout;
  Clients->setLimits(http);
  const auto relay = makeRelayConfig(Settings).Limits;
  http.IdleTimeout = relay.IdleTimeout;
  http.MaxConnections = relay.MaxConnections;
  http.MaxInputBytes = relay.MaxInputBytes;
  Relayed->setLimits(http);
}

bool EntryNode::isReady() const {
  return !IsStopping && !Subscription.view().config().empty();
}

void EntryNode::answerReadiness(const gateway::HttpCall &call,
                                const protocol::AnswerSink &sink) {
  protocol::AnswerHead head;
  head.Status = 404;
  if (call.Target == Format.ReadinessPath)
    head.Status = isReady() ? 200 : 503;
  gateway::sendAnswer(sink, std::move(head));
}

void EntryNode::stop(std::function<void()> done) {
  if (std::exchange(IsStopping, true))
    return;
  base::logInfo("entry", "this VM is stopping",
                {{"requests", Handler.countRequests()},
                 {"owed_bytes", Handler.owedBytes()},
                 {"connections", Clients->countConnections()}});
  Clients->endKeepAlive();
  Relayed->endKeepAlive();
  auto finish = std::make_shared<std::function<void()>>(std::move(done));
  const auto end = [finish] {
    if (auto hook = std::exchange(*finish, nullptr))
      hook();
  };
  StopTimer.expires_after(
      std::min(DrainDelay, Settings.StopGrace * DrainPercentOfGrace / 100));
  StopTimer.async_wait([this, end](const boost::system::error_code &ec) {
    if (!ec)
      Clients->drain([this, end] { Relayed->drain(end); });
  });
  const auto ForcedAt = Handler.beginStop(Settings.StopGrace);
  ForceTimer.expires_after(base::delayUntil(ForcedAt));
  ForceTimer.async_wait([this, end](const boost::system::error_code &ec) {
    if (ec)
      return;
    base::logWarning("entry", base::ResultCode::Stopping,
                     "the stop grace period ended before the last answer",
                     {{"requests", Handler.countRequests()},
                      {"owed_bytes", Handler.owedBytes()}});
    Handler.logUnfinished("a request is cut off by the end of the stop");
    end();
  });
}

} // namespace magnoliamill::entry
