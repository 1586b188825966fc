// Sets up a core or entry node with its platform formats, HTTP servers, signal
// handlers and settings reload.
#include "FleetProcess.h"

#include "ExitCodes.h"
#include "SettingsFile.h"
#include "base/EventLoopThread.h"
#include "base/Log.h"
#include "base/Metrics.h"
#include "entry/EntryNode.h"
#include "fleet/CoreNode.h"
#include "fleet/FleetSettings.h"
#include "gateway/HealthCheck.h"
#include "gateway/HttpServer.h"
#include "gateway/MessageMemory.h"
#include "platform/ControlApi.h"
#include "platform/ControlFormat.h"
#include "platform/RequestFormat.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fmt/format.h>
#include <memory>

namespace magnoliamill {
namespace {

constexpr std::size_t RingCapacity = 1024;
/// How often the settings file is checked for a change made without a SIGHUP.
constexpr auto SettingsCheckInterval = std::chrono::seconds(2);

class FleetProcess {
public:
  FleetProcess(std::string path, fleet::FleetSettings settings)
      : Path(std::move(path)), Settings(std::move(settings)),
        EventLoop("fleet", RingCapacity),
        StopSignals(EventLoop.context(), SIGTERM, SIGINT),
        ReloadSignal(EventLoop.context(), SIGHUP),
        ReloadTimer(EventLoop.context()), LastStamp(readFileStamp(Path)) {}

  int run();

private:
  base::Result<void> start();
  base::Result<void> startCore();
  base::Result<void> startMetrics();
  void waitForStopSignal();
  void waitForReloadSignal();
  void scheduleReloadCheck();
  void reload(std::string_view cause);

  std::string Path;
  fleet::FleetSettings Settings;
  base::EventLoopThread EventLoop;
  boost::asio::signal_set StopSignals;
  boost::asio::signal_set ReloadSignal;
  boost::asio::steady_timer ReloadTimer;
  FileStamp LastStamp;
  std::unique_ptr<fleet::CoreNode> Core;
  std::unique_ptr<entry::EntryNode> Entry;
  std::shared_ptr<gateway::HttpServer> Control;
  std::shared_ptr<gateway::HttpServer> Metrics;
};

/// How often the HTTP servers check for expired time limits. Each check wakes
/// the process, and the limits on calls by targets and operators are seconds
/// long.
constexpr base::Duration SweepInterval = std::chrono::milliseconds(500);
/// Allows for an operator's first call, which may contain thousands of routes.
constexpr std::size_t MaxControlBytes = 32u << 20;
/// Part of a core's memory for the bodies of all calls. The rest is for its
/// state.
constexpr std::size_t ControlMemoryDivisor = 2;
/// A heartbeat that waits for the health check of an address is answered well
/// within the second after which its sender gives up.
constexpr base::Duration IdentifyTime = std::chrono::milliseconds(400);

gateway::GatewayConfig makeServerConfig(const settings::ListenAddress &listen) {
  gateway::GatewayConfig config;
  config.Host = listen.Host;
  config.Port = listen.Port;
  config.Limits.MaxBodyBytes = MaxControlBytes;
  config.Limits.SweepInterval = SweepInterval;
  return config;
}

fleet::IdentifyProcessHook makeIdentifyHook(
    base::EventLoopThread &loop,
    std::function<std::string(const std::vector<protocol::HttpHeader> &)>
        ReadId) {
  return [&loop, ReadId = std::move(ReadId)](
             const std::string &address, const std::string &path,
             std::function<void(std::optional<std::string>)> done) {
    const auto parsed = base::parseHostPort(address);
    if (!parsed)
      return done(std::nullopt);
    gateway::requestHealth(
        loop.context(), *parsed, path, IdentifyTime,
        [ReadId, done = std::move(done)](
            const std::optional<protocol::AnswerHead> &head) {
          std::string id = head ? ReadId(head->Headers) : std::string();
          done(id.empty() ? std::nullopt : std::optional(std::move(id)));
        });
  };
}

base::Result<void> FleetProcess::start() {
  if (auto started = startMetrics(); !started)
    return started;
  if (Settings.VmDuty == fleet::Duty::Core)
    return startCore();
  Entry = std::make_unique<entry::EntryNode>(EventLoop, Settings,
                                             platform::makeEntryFormat());
  return Entry->start();
}

base::Result<void> FleetProcess::startCore() {
  const auto format = Settings.Body == fleet::ControlBodyFormat::Cbor
                          ? platform::BodyFormat::Cbor
                          : platform::BodyFormat::Json;
  auto control = platform::makeControlFormat(format);
  auto identify = makeIdentifyHook(EventLoop, control.ReadHealthId);
  Core = std::make_unique<fleet::CoreNode>(
      EventLoop, Settings, std::move(control), std::move(identify));
  if (auto started = Core->start(); !started)
    return started;
  Control = std::make_shared<gateway::HttpServer>(
      EventLoop, makeServerConfig(Settings.ControlListen),
      platform::makeControlApi(
          [this](fleet::CallKind kind, std::string name, std::string body,
                 fleet::ReplyHook reply) {
            Core->handle(kind, std::move(name), std::move(body),
                         std::move(reply));
          },
          format));
  Control->limitMemory(std::make_shared<gateway::MessageMemory>(
      Settings.MemoryBytes / ControlMemoryDivisor));
  return Control->start();
}

base::Result<void> FleetProcess::startMetrics() {
  if (Settings.MetricsPort == 0)
    return base::ok();
  Metrics = std::make_shared<gateway::HttpServer>(
      EventLoop, makeServerConfig({Settings.Host, Settings.MetricsPort}),
      [](const gateway::HttpCall &, const protocol::AnswerSink &sink) {
        std::string text = base::renderMetrics();
        protocol::AnswerHead head;
        head.Status = 200;
        head.Headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
        head.Length = text.size();
        sink.Head(std::move(head));
        sink.Chunk(std::move(text), [] {});
        sink.End();
        return protocol::CancelHook();
      });
  return Metrics->start();
}

void FleetProcess::waitForStopSignal() {
  StopSignals.async_wait([this](const boost::system::error_code &ec, int) {
    if (ec)
      return;
    const auto done = [this] { EventLoop.context().stop(); };
    if (Core)
      Core->stop(done);
    else
      Entry->stop(done);
  });
}

void FleetProcess::waitForReloadSignal() {
  ReloadSignal.async_wait([this](const boost::system::error_code &ec, int) {
    if (ec)
      return;
    reload("signal");
    waitForReloadSignal();
  });
}

void FleetProcess::scheduleReloadCheck() {
  ReloadTimer.expires_after(SettingsCheckInterval);
  ReloadTimer.async_wait([this](const boost::system::error_code &ec) {
    if (ec)
      return;
    if (const auto stamp = readFileStamp(Path); stamp != LastStamp) {
      LastStamp = stamp;
      reload("changed file");
    }
    scheduleReloadCheck();
  });
}

void FleetProcess::reload(std::string_view cause) {
  const auto text = readSettingsFile(Path);
  auto checked = fleet::checkFleetSettings(text.value_or(""));
  for (const auto &fault : checked.Faults)
    base::logError("node", fault.Code, fault.Message, {{"path", fault.Path}});
  if (!checked.Settings)
    return base::logError(
        "node", base::ResultCode::FileUnreadable,
        "settings not reloaded, current settings stay in force",
        {{"cause", cause}});
  base::logInfo("node", "settings reloaded",
                {{"cause", cause}, {"seeds", checked.Settings->Seeds.size()}});
  base::setLogLevel(checked.Settings->LogLevel);
  if (Core)
    Core->updateSeeds(checked.Settings->Seeds);
  else
    Entry->updateSeeds(checked.Settings->Seeds);
}

int FleetProcess::run() {
  base::setLogIdentity(Settings.Vm, Settings.DataCentre);
  base::setLogLevel(Settings.LogLevel);
  const bool IsCore = Settings.VmDuty == fleet::Duty::Core;
  base::logInfo("node", "VM is starting",
                {{"duty", IsCore ? "core" : "entry"},
                 {"found", Settings.IsFirstStart},
                 {"seeds", Settings.Seeds.size()}});
  if (auto started = start(); !started) {
    base::logError("node", started.error().Code, started.error().Message);
    return ExitStartFailed;
  }
  waitForStopSignal();
  waitForReloadSignal();
  scheduleReloadCheck();
  EventLoop.runOnCallingThread();
  base::logInfo("node", "VM stopped");
  return ExitOk;
}

} // namespace

int runFleetProcess(const std::string &path, const std::string &text,
                    bool IsCheckOnly) {
  auto checked = fleet::checkFleetSettings(text);
  for (const auto &fault : checked.Faults)
    base::logError("node", fault.Code, fault.Message, {{"path", fault.Path}});
  if (!checked.Settings)
    return ExitBadSettings;
  if (IsCheckOnly) {
    fmt::print("{}: no faults\n", path);
    return ExitOk;
  }
  return FleetProcess(path, std::move(*checked.Settings)).run();
}

} // namespace magnoliamill
