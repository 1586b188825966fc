// Implements the HTTP endpoints of the fake target and runs its requests.
#include "fakes/target/FakeTarget.h"

#include "fakes/target/BodyStream.h"
#include "gateway/HeaderRules.h"
#include "gateway/internal/AnswerInbox.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <cstdlib>
#include <unistd.h>

namespace magnoliamill::fakes {

using gateway::findHeader;
using protocol::HttpHeader;

namespace {

/// How long after its start a target is cold.
constexpr auto ColdPeriod = std::chrono::seconds(5);
constexpr auto LeaveCheckInterval = std::chrono::milliseconds(50);
/// A leaving target stops after this long without requests.
constexpr auto LeaveIdleTime = std::chrono::milliseconds(700);
constexpr auto MaxLeaveTime = std::chrono::seconds(10);

std::int64_t readClockMs() {
  return base::toMs(base::readMonotonic().time_since_epoch());
}

template <typename Number>
std::optional<Number> readNumber(std::string_view text) {
  Number value = 0;
  const auto [ptr, ec] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || ptr != text.data() + text.size())
    return std::nullopt;
  return value;
}

void answerText(const protocol::AnswerSink &sink, std::uint16_t status,
                std::string text, std::vector<HttpHeader> headers = {}) {
  protocol::AnswerHead head{status, std::move(headers), text.size(), {}};
  head.Headers.push_back({"Content-Type", "application/json"});
  sink.Head(std::move(head));
  if (!text.empty())
    sink.Chunk(std::move(text), nullptr);
  sink.End();
}

void answerJson(const protocol::AnswerSink &sink, std::uint16_t status,
                const boost::json::object &document) {
  answerText(sink, status, boost::json::serialize(document));
}

/// Sends an answer which states that the request was not run.
void answerNotRun(const protocol::AnswerSink &sink, std::uint16_t status,
                  std::string_view reason) {
  std::vector<HttpHeader> headers = {{"Mill-Not-Run", "1"}};
  if (status == 503)
    headers.push_back({"Retry-After", "1"});
  answerText(sink, status,
             boost::json::serialize(boost::json::object{{"reason", reason}}),
             std::move(headers));
}

Run describeCall(const gateway::HttpCall &call) {
  auto get = [&](std::string_view name) {
    return std::string(findHeader(call.Headers, name));
  };
  Run run;
  run.Request = get("Mill-Request-Id");
  run.Key = get("Mill-Key");
  run.Slot = get("Mill-Slot");
  run.Token = get("Mill-Token");
  run.ClientAccount = get("Mill-Client-Account");
  run.Idempotency = get("Idempotency-Key");
  run.Method = call.Method;
  run.Path = call.Target;
  return run;
}

gateway::GatewayConfig makeServerConfig(const FakeTargetConfig &config) {
  gateway::GatewayConfig server;
  server.Host = config.Host;
  server.Port = config.Port;
  return server;
}

} // namespace

struct FakeTarget::ActiveRun {
  explicit ActiveRun(boost::asio::io_context &context) : Timer(context) {}

  boost::asio::steady_timer Timer;
  Run Entry;
  std::uint64_t Number = 0;
  std::size_t RequestBytes = 0;
  AnswerSink Sink;
  bool IsOver = false;
};

FakeTarget::FakeTarget(base::EventLoopThread &loop, FakeTargetConfig config)
    : EventLoop(loop), Config(std::move(config)),
      CurrentBehaviour(Config.InitialBehaviour),
      Instance(
          Config.Name + "-" + std::to_string(::getpid()) + "-" +
          std::to_string(base::readMonotonic().time_since_epoch().count())),
      Client(loop, {}), Log(Config.RecordPath, Instance, Config.Name),
      Random(std::hash<std::string>()(Instance)),
      StartedAt(base::readMonotonic()), LastRequestAt(StartedAt),
      LeaveTimer(loop.context()) {}

base::Result<void> FakeTarget::start() {
  Server = std::make_shared<gateway::HttpServer>(
      EventLoop, makeServerConfig(Config),
      [weak = weak_from_this()](HttpCall call, const AnswerSink &sink) {
        auto self = weak.lock();
        return self ? self->handle(std::move(call), sink)
                    : protocol::CancelHook();
      });
  if (auto started = Server->start(); !started)
    return started;
  Log.appendEvent("start");
  Announcing = std::make_shared<Announcer>(
      EventLoop, Client, Config.Entries, [weak = weak_from_this()] {
        auto self = weak.lock();
        return self ? self->composeAnnouncement() : std::string();
      });
  gateway::internal::runOnEventLoop(EventLoop,
                                    [self = Announcing] { self->start(); });
  return base::ok();
}

std::string FakeTarget::composeAnnouncement() const {
  if (!CurrentBehaviour.Announces)
    return {};
  boost::json::object document;
  document["instance"] = Instance;
  document["name"] = Config.Name;
  document["service"] = Config.Service;
  document["data_centre"] = Config.DataCentre;
  document["host"] = Config.Host;
  document["port"] = Server->port();
  document["slots"] = Config.Slots;
  document["checks_tokens"] = CurrentBehaviour.ChecksTokens;
  document["cancel"] = CurrentBehaviour.Cancel;
  document["deadlines"] = CurrentBehaviour.Deadlines;
  document["clock"] = readClockMs();
  document["leaving"] = IsLeaving;
  return boost::json::serialize(document);
}

protocol::CancelHook FakeTarget::handle(HttpCall call, const AnswerSink &sink) {
  if (call.Target == "/.mill/grants" && call.Method == "PUT") {
    auto reply = Grants.apply(call.Body, readClockMs());
    if (reply)
      answerText(sink, 200, std::move(reply.value()));
    else
      answerJson(sink, 400, {{"reason", reply.error().Message}});
  } else if (call.Target == "/.mill/control") {
    handleControl(call, sink);
  } else if (call.Target == "/.mill/load") {
    answerLoad(sink);
  } else if (call.Target == "/.mill/health") {
    answerHealth(sink);
  } else {
    return serve(call, sink);
  }
  return {};
}

void FakeTarget::handleControl(const HttpCall &call, const AnswerSink &sink) {
  if (call.Method == "POST") {
    boost::system::error_code ec;
    const auto document = boost::json::parse(call.Body, ec);
    if (ec || !document.is_object())
      return answerJson(sink, 400, {{"reason", "not a JSON object"}});
    if (auto applied = applyChange(CurrentBehaviour, document.get_object());
        !applied)
      return answerJson(sink, 400, {{"reason", applied.error().Message}});
  }
  answerJson(sink, 200, describe(CurrentBehaviour));
}

void FakeTarget::answerLoad(const AnswerSink &sink) {
  const auto lag = std::chrono::milliseconds(CurrentBehaviour.HealthLagMs);
  boost::json::object document;
  document["instance"] = Instance;
  document["slots"] = Config.Slots;
  document["running"] = History.runningAt(base::readMonotonic() - lag);
  document["most_running"] = MostRunning;
  document["runs"] = Runs;
  document["refusals"] = Refusals;
  document["slot_violations"] = SlotViolations;
  document["granted"] = Grants.countGranted(readClockMs());
  document["stale_grants"] = Grants.countStaleGrants();
  answerJson(sink, 200, document);
}

void FakeTarget::answerHealth(const AnswerSink &sink) {
  const auto lag = std::chrono::milliseconds(CurrentBehaviour.HealthLagMs);
  const std::int64_t running = History.runningAt(base::readMonotonic() - lag);
  const bool IsShedding =
      CurrentBehaviour.ShedOver > 0 && running >= CurrentBehaviour.ShedOver;
  bool IsHealthy = !IsLeaving && !IsShedding;
  if (CurrentBehaviour.HealthOverride != "none")
    IsHealthy = CurrentBehaviour.HealthOverride == "ok";
  answerJson(sink, IsHealthy ? 200 : 503,
             {{"status", IsHealthy ? "ok" : "bad"}, {"instance", Instance}});
}

base::Duration FakeTarget::chooseServiceTime() {
  std::uniform_int_distribution<std::int64_t> jitter(
      0, CurrentBehaviour.ServiceJitterMs);
  const bool IsCold = base::readMonotonic() - StartedAt < ColdPeriod;
  return std::chrono::milliseconds(CurrentBehaviour.ServiceMs + jitter(Random) +
                                   (IsCold ? CurrentBehaviour.ColdStartMs : 0));
}

bool FakeTarget::tryRefuse(const HttpCall &call, base::Duration time,
                           const AnswerSink &sink) {
  const auto slot =
      readNumber<base::SlotNumber>(findHeader(call.Headers, "Mill-Slot"));
  if (CurrentBehaviour.ChecksTokens && slot) {
    std::optional<base::Token> token;
    if (auto parsed = base::parseToken(findHeader(call.Headers, "Mill-Token")))
      token = parsed.value();
    if (auto reason = Grants.findRefusalReason(*slot, token, readClockMs())) {
      answerNotRun(sink, 409, *reason);
      return true;
    }
  }
  if (CurrentBehaviour.ShedOver > 0 && Running >= CurrentBehaviour.ShedOver) {
    answerNotRun(sink, 503, "shedding load");
    return true;
  }
  const auto deadline =
      readNumber<std::int64_t>(findHeader(call.Headers, "Mill-Deadline-Ms"));
  if (CurrentBehaviour.Deadlines && deadline && base::toMs(time) > *deadline) {
    answerNotRun(sink, 503, "the deadline can't be met");
    return true;
  }
  return false;
}

protocol::CancelHook FakeTarget::serve(const HttpCall &call,
                                       const AnswerSink &sink) {
  LastRequestAt = base::readMonotonic();
  const base::Duration time = chooseServiceTime();
  if (tryRefuse(call, time, sink)) {
    ++Refusals;
    return {};
  }
  // As a crash would: nothing is flushed or closed in order.
  if (!CurrentBehaviour.EndingPath.empty() &&
      call.Target == CurrentBehaviour.EndingPath)
    std::_Exit(EXIT_FAILURE);
  auto run = std::make_shared<ActiveRun>(EventLoop.context());
  run->Entry = describeCall(call);
  run->RequestBytes = call.Body.size();
  run->Sink = sink;
  run->Number = ++Runs;
  startRun(run, time);
  return [weak = weak_from_this(), run] {
    if (auto self = weak.lock())
      self->cancelRun(run);
  };
}

void FakeTarget::startRun(const std::shared_ptr<ActiveRun> &run,
                          base::Duration time) {
  changeRunning(1);
  if (CurrentBehaviour.EnforceSlots && Running > Config.Slots)
    ++SlotViolations;
  run->Entry.StartedAt = base::readMonotonic();
  Log.appendBegin(run->Entry);
  if (time == base::Duration::zero())
    return finishRun(run);
  run->Timer.expires_after(time);
  run->Timer.async_wait(
      [weak = weak_from_this(), run](boost::system::error_code ec) {
        auto self = weak.lock();
        if (!ec && self)
          self->finishRun(run);
      });
}

void FakeTarget::cancelRun(const std::shared_ptr<ActiveRun> &run) {
  // Without support for cancellation the run continues to its end, although
  // nobody receives the answer.
  if (run->IsOver || !CurrentBehaviour.Cancel)
    return;
  run->Timer.cancel();
  run->Entry.IsCancelled = true;
  finishRun(run);
}

void FakeTarget::finishRun(const std::shared_ptr<ActiveRun> &run) {
  if (std::exchange(run->IsOver, true))
    return;
  changeRunning(-1);
  LastRequestAt = base::readMonotonic();
  run->Entry.EndedAt = LastRequestAt;
  Log.appendRun(run->Entry);
  if (!run->Entry.IsCancelled)
    sendAnswer(*run);
}

void FakeTarget::sendAnswer(const ActiveRun &run) {
  const auto every = static_cast<std::uint64_t>(CurrentBehaviour.TruncateEvery);
  const bool IsTruncated = every > 0 && run.Number % every == 0;
  std::string text;
  if (CurrentBehaviour.BodyBytes == 0) {
    boost::json::object document;
    document["instance"] = Instance;
    document["name"] = Config.Name;
    document["data_centre"] = Config.DataCentre;
    document["key"] = run.Entry.Key;
    document["slot"] = run.Entry.Slot;
    document["token"] = run.Entry.Token;
    document["request"] = run.Entry.Request;
    document["run"] = run.Number;
    document["request_bytes"] = run.RequestBytes;
    text = boost::json::serialize(document);
    if (!IsTruncated)
      return answerText(run.Sink, 200, std::move(text));
  }
  const auto size = text.empty()
                        ? static_cast<std::uint64_t>(CurrentBehaviour.BodyBytes)
                        : text.size();
  streamBody(run.Sink, size, IsTruncated ? size / 2 : size);
}

void FakeTarget::changeRunning(std::int64_t by) {
  Running += by;
  MostRunning = std::max(MostRunning, Running);
  History.record(base::readMonotonic(), Running);
}

void FakeTarget::leave(std::function<void()> done) {
  gateway::internal::runOnEventLoop(
      EventLoop, [self = shared_from_this(), done = std::move(done)] {
        if (std::exchange(self->IsLeaving, true))
          return;
        self->OnLeft = done;
        self->LeaveStartedAt = base::readMonotonic();
        self->checkLeaveDone();
      });
}

void FakeTarget::checkLeaveDone() {
  const auto now = base::readMonotonic();
  const auto quiet = now - std::max(LastRequestAt, LeaveStartedAt);
  const bool IsIdle = Running == 0 && quiet >= LeaveIdleTime &&
                      Grants.countGranted(readClockMs()) == 0;
  if (IsIdle || now - LeaveStartedAt >= MaxLeaveTime) {
    Announcing->stop();
    return Server->drain([self = shared_from_this()] {
      self->Log.appendEvent("end");
      self->OnLeft();
    });
  }
  LeaveTimer.expires_after(LeaveCheckInterval);
  LeaveTimer.async_wait(
      [self = shared_from_this()](boost::system::error_code ec) {
        if (!ec)
          self->checkLeaveDone();
      });
}

void FakeTarget::close() {
  gateway::internal::runOnEventLoop(EventLoop, [self = shared_from_this()] {
    self->Announcing->stop();
    self->LeaveTimer.cancel();
    self->Server->close();
  });
}

} // namespace magnoliamill::fakes
