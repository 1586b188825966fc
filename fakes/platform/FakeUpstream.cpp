// Implements the heartbeats and the request handling of the fake upstream.
#include "fakes/platform/FakeUpstream.h"

#include "gateway/HeaderRules.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <charconv>

namespace magnoliamill::fakes {

namespace json = boost::json;
using gateway::findHeader;

namespace {

/// Time limit of a heartbeat call to a core.
constexpr auto CallTimeout = std::chrono::seconds(1);
/// Time until the next heartbeat after keys were released or a call failed. It
/// is short because the next holder waits for the release.
constexpr auto ReleaseInterval = std::chrono::milliseconds(50);
constexpr std::size_t MaxBodyBytes = 64u << 20;

void answer(const protocol::AnswerSink &sink, std::uint16_t status,
            std::vector<protocol::HttpHeader> headers, std::string body) {
  protocol::AnswerHead head;
  head.Status = status;
  head.Headers = std::move(headers);
  gateway::sendAnswer(sink, std::move(head), std::move(body));
}

/// Sends parts of a body for as long as the caller takes them.
void sendEndlessPart(boost::asio::io_context &context,
                     const protocol::AnswerSink &sink) {
  constexpr std::size_t PartBytes = 64u << 10;
  sink.Chunk(std::string(PartBytes, '.'), [&context, sink] {
    boost::asio::post(context,
                      [&context, sink] { sendEndlessPart(context, sink); });
  });
}

} // namespace

FakeUpstream::FakeUpstream(FakeUpstreamConfig config)
    : Config(std::move(config)), EventLoop("upstream", 1024),
      Client(std::make_unique<gateway::TargetClient>(
          EventLoop, gateway::TargetClientConfig{})),
      Timer(EventLoop.context()),
      StartedAtMs(static_cast<std::uint64_t>(base::readWallMs())) {
  gateway::GatewayConfig http;
  http.Host = Config.Host;
  http.Port = Config.Port;
  http.Limits.MaxBodyBytes = MaxBodyBytes;
  Server = std::make_shared<gateway::HttpServer>(
      EventLoop, http,
      [this](const HttpCall &call, const protocol::AnswerSink &sink) {
        return serve(call, sink);
      });
  if (auto started = Server->start(); !started)
    throw std::runtime_error(started.error().Message);
  EventLoop.start();
  boost::asio::post(EventLoop.context(), [this] { sendHeartbeat(); });
}

FakeUpstream::~FakeUpstream() {
  Server->close();
  EventLoop.stop();
}

protocol::CancelHook FakeUpstream::serve(const HttpCall &call,
                                         const protocol::AnswerSink &sink) {
  if (IsCrashed)
    return {};
  const std::string attempt(findHeader(call.Headers, "Attempt-Id"));
  {
    std::lock_guard lock(Mutex);
    Arrivals.push_back(base::readMonotonic());
  }
  const auto refuse = [&] {
    auto headers = answerHeaders(attempt);
    headers.push_back({"Not-Executed", "1"});
    answer(sink, 421, std::move(headers), {});
  };
  std::uint32_t key = 0;
  const auto text = findHeader(call.Headers, "Shard-Key");
  std::from_chars(text.data(), text.data() + text.size(), key);
  if (findHeader(call.Headers, "Expected-Instance") != Config.Id ||
      !holdsKey(key)) {
    refuse();
    return {};
  }
  {
    std::lock_guard lock(Mutex);
    ++Runs[attempt];
  }
  if (!Config.EndingPath.empty() && call.Target == Config.EndingPath) {
    end();
    return {};
  }
  if (Config.EndlessKey == key ||
      (!Config.EndlessPath.empty() && call.Target == Config.EndlessPath)) {
    answerEndlessly(sink, attempt);
    return {};
  }
  if (Config.WorkTime <= base::Duration::zero()) {
    finishRun(sink, attempt);
    return {};
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(EventLoop.context());
  timer->expires_after(Config.WorkTime);
  timer->async_wait(
      [this, timer, sink, attempt](const boost::system::error_code &ec) {
        if (!ec)
          finishRun(sink, attempt);
      });
  return [timer] { timer->cancel(); };
}

void FakeUpstream::finishRun(const protocol::AnswerSink &sink,
                             const std::string &attempt) {
  std::string body = Config.Id;
  body.resize(std::max(body.size(), Config.AnswerBytes), '.');
  auto headers = answerHeaders(attempt);
  headers.push_back({"Upstream-Signature", "s." + attempt});
  answer(sink, 200, std::move(headers), std::move(body));
}

std::vector<protocol::HttpHeader>
FakeUpstream::answerHeaders(const std::string &attempt) const {
  std::vector<protocol::HttpHeader> headers{{"Attempt-Id", attempt}};
  std::lock_guard lock(Mutex);
  if (RateLimit)
    headers.push_back({"Server-Limit", std::to_string(*RateLimit)});
  return headers;
}

void FakeUpstream::answerEndlessly(const protocol::AnswerSink &sink,
                                   const std::string &attempt) {
  protocol::AnswerHead head;
  head.Status = 200;
  head.Headers = answerHeaders(attempt);
  head.Headers.push_back({"Upstream-Signature", "s." + attempt});
  sink.Head(std::move(head));
  sendEndlessPart(EventLoop.context(), sink);
}

bool FakeUpstream::holdsKey(std::uint32_t key) const {
  std::lock_guard lock(Mutex);
  if (base::readMonotonic() >= HoldExpiresAt)
    return false;
  return std::ranges::any_of(Held, [key](const keyspace::HeldRange &held) {
    return held.Keys.First <= key && key <= held.Keys.Last;
  });
}

std::string FakeUpstream::composeHeartbeat() {
  std::lock_guard lock(Mutex);
  if (base::readMonotonic() >= HoldExpiresAt)
    Held.clear();
  json::array holds;
  for (const auto &held : Held)
    holds.push_back({held.Keys.First, held.Keys.Last, held.Token});
  json::array released;
  for (const auto &range : Released)
    released.push_back({range.First, range.Last, "h"});
  return json::serialize(json::object{
      {"address", Config.Host + ":" + std::to_string(Server->port())},
      {"born", StartedAtMs},
      {"info",
       {{"service", Config.Service},
        {"version", "v1"},
        {"zone", "dc-a"},
        {"slots", 3}}},
      {"status",
       {{"state", IsDraining ? "draining" : "ready"},
        {"seq", ++Sequence},
        {"warmup_left_ms", 0}}},
      {"holds", holds},
      {"released", released}});
}

void FakeUpstream::sendHeartbeat() {
  if (IsCrashed)
    return;
  const auto sent = base::readMonotonic();
  bool draining = false;
  {
    std::lock_guard lock(Mutex);
    draining = IsDraining;
  }
  Client->exchange(
      Config.Cores[NextCore % Config.Cores.size()], "PUT",
      "/v1/instances/" + Config.Id, composeHeartbeat(), CallTimeout,
      [this, sent, draining](base::Result<std::string> reply) {
        if (!reply) {
          ++NextCore;
          return scheduleHeartbeat(ReleaseInterval);
        }
        {
          std::lock_guard lock(Mutex);
          DrainAcknowledged = DrainAcknowledged || draining;
        }
        applyGrants(reply.value(), sent);
        std::lock_guard lock(Mutex);
        scheduleHeartbeat(Released.empty() ? Config.Interval
                                           : base::Duration(ReleaseInterval));
      });
}

void FakeUpstream::scheduleHeartbeat(base::Duration delay) {
  Timer.expires_after(delay);
  Timer.async_wait([this](const boost::system::error_code &ec) {
    if (!ec)
      sendHeartbeat();
  });
}

void FakeUpstream::applyGrants(const std::string &text, base::MonoTime sent) {
  json::error_code ec;
  const auto document = json::parse(text, ec);
  const auto *rows = ec ? nullptr : document.as_object().if_contains("holds");
  std::lock_guard lock(Mutex);
  Released.clear();
  if (!rows)
    return;
  std::vector<keyspace::HeldRange> held;
  for (const auto &row : rows->as_array()) {
    const auto &fields = row.as_array();
    held.push_back({{fields[0].to_number<std::uint32_t>(),
                     fields[1].to_number<std::uint32_t>()},
                    fields[2].to_number<std::uint64_t>()});
  }
  for (const auto &old : Held) {
    const bool IsKept = std::ranges::any_of(held, [&](const auto &now) {
      return now.Keys.First <= old.Keys.First && old.Keys.Last <= now.Keys.Last;
    });
    if (!IsKept)
      Released.push_back(old.Keys);
  }
  Held = std::move(held);
  HoldExpiresAt =
      sent + std::chrono::milliseconds(
                 document.as_object().at("hold_ms").to_number<int>());
}

void FakeUpstream::drain() {
  std::lock_guard lock(Mutex);
  IsDraining = true;
}

bool FakeUpstream::isDrainAcknowledged() const {
  std::lock_guard lock(Mutex);
  return DrainAcknowledged;
}

void FakeUpstream::crash() {
  boost::asio::post(EventLoop.context(), [this] { IsCrashed = true; });
}

void FakeUpstream::limitRate(std::optional<double> limit) {
  std::lock_guard lock(Mutex);
  RateLimit = limit;
}

std::vector<base::MonoTime> FakeUpstream::arrivals() const {
  std::lock_guard lock(Mutex);
  return Arrivals;
}

void FakeUpstream::end() {
  IsCrashed = true;
  Server->close();
  std::lock_guard lock(Mutex);
  HasEnded = true;
}

bool FakeUpstream::hasEnded() const {
  std::lock_guard lock(Mutex);
  return HasEnded;
}

std::map<std::string, int> FakeUpstream::runs() const {
  std::lock_guard lock(Mutex);
  return Runs;
}

std::vector<keyspace::HeldRange> FakeUpstream::holds() const {
  std::lock_guard lock(Mutex);
  if (base::readMonotonic() >= HoldExpiresAt)
    return {};
  return Held;
}

std::size_t FakeUpstream::countKeys() const {
  std::size_t keys = 0;
  for (const auto &held : holds())
    keys += held.Keys.Last - held.Keys.First + 1;
  return keys;
}

} // namespace magnoliamill::fakes
