// Test fixture: a request handler with two scripted targets.
#pragma once

#include "entry/RequestHandler.h"
#include "entry/internal/RelayHeaders.h"
#include "gateway/tests/Support.h"

#include <catch2/catch.hpp>

namespace magnoliamill::entry::tests {

using namespace std::chrono_literals;
using gateway::tests::AnswerCollector;
using gateway::tests::ScopedEventLoop;
using gateway::tests::ScriptedServer;
using gateway::tests::waitFor;
using Peer = ScriptedServer::Peer;

inline constexpr base::Duration RouteTimeout = 2s;
inline constexpr const char *Refusal =
    "HTTP/1.1 503 Service Unavailable\r\n"
    "Not-Run: yes\r\nContent-Length: 0\r\n\r\n";
inline constexpr const char *Answer =
    "HTTP/1.1 200 OK\r\nMark: yes\r\nContent-Length: 2\r\n\r\nok";

inline bool hasHeader(const Headers &headers, std::string_view name) {
  return std::ranges::any_of(
      headers, [name](const auto &header) { return header.Name == name; });
}

/// The value of a header; empty if there is none.
inline std::string valueOf(const Headers &headers, std::string_view name) {
  const auto it = std::ranges::find(headers, name, &protocol::HttpHeader::Name);
  return it == headers.end() ? std::string() : it->Value;
}

inline EntryFormat makeFormat() {
  EntryFormat format;
  format.ReadRequest = [](const Headers &) {
    return base::Result<RequestMetadata>(
        RequestMetadata{"r-1", 3s, 7, "shop.test"});
  };
  format.AddTargetHeaders = [](Headers &, const std::string &) {};
  format.ReadAnswer = [](std::uint16_t, const Headers &headers) {
    AnswerMetadata metadata;
    // Targets repeat the id of the request.
    if (!hasHeader(headers, "No-Id"))
      metadata.Id = hasHeader(headers, "Id") ? valueOf(headers, "Id") : "r-1";
    metadata.IsWrongTarget = hasHeader(headers, "Other-Target");
    metadata.IsNotRun = metadata.IsWrongTarget || hasHeader(headers, "Not-Run");
    metadata.IsLeaving = hasHeader(headers, "Leaving");
    if (const auto ms = valueOf(headers, "Pause-Ms"); !ms.empty())
      metadata.AskedPause = std::chrono::milliseconds(std::stoi(ms));
    if (const auto rate = valueOf(headers, "Rate"); !rate.empty())
      metadata.RateLimit = std::stod(rate);
    metadata.IsFromTarget = hasHeader(headers, "Mark");
    return metadata;
  };
  format.WriteRetryAfter = [](base::Duration time) {
    return std::to_string(base::toMs(time));
  };
  format.DeadlineHeader = "Left-Ms";
  return format;
}

inline routing::Route makeRoute(const std::string &prefix,
                                routing::RouteKind kind) {
  routing::Route route;
  route.Name = "route" + prefix;
  route.Version = 1;
  route.Host = "shop.test";
  route.PathPrefix = prefix;
  route.Kind = kind;
  route.Timeout = RouteTimeout;
  route.LatencyObjective = 500ms;
  route.MaxAttempts = 2;
  route.Shares = {{"vault", 1}};
  return route;
}

using Script = std::function<void(Peer &, int)>;

struct EntryOptions {
  /// The service has keys, all of them held by the first target.
  bool IsKeyed = false;
  base::Duration DrainTime = 10s;
  /// Port of the core on loopback that issues permits; 0 for none.
  std::uint16_t CorePort = 0;
  /// The data centre of the second target; the entry is in dc-a.
  std::string SecondCentre = "dc-a";
};

/// A request handler with two targets of one service, which both run \p script.
/// The script's second argument counts the requests over both targets.
class Entry {
public:
  explicit Entry(Script script, const EntryOptions &options = {})
      : RunScript(std::move(script)), Options(options),
        First(makeScript(FirstCount)), Second(makeScript(SecondCount)) {
    Settings.Vm = "f1";
    Settings.DataCentre = "dc-a";
    Settings.TargetDrainTime = Options.DrainTime;
    Settings.LinkPort = Options.CorePort;
    fleet::ViewUpdate update;
    update.Version = {1, 1};
    update.IsWhole = true;
    update.Items.Routes = {makeRoute("/read/", routing::RouteKind::Idempotent),
                           makeRoute("/order/", routing::RouteKind::AtMostOnce),
                           makeRoute("/file/", routing::RouteKind::Download)};
    routing::Service vault;
    vault.Name = "vault";
    vault.Version = 1;
    vault.IsKeyed = Options.IsKeyed;
    update.Items.Services = {vault};
    for (const auto *server : {&First, &Second})
      update.Targets.push_back(makeTarget(*server, 1));
    if (Options.IsKeyed)
      update.Holders = {makeHolder(update.Targets.front())};
    if (Options.CorePort != 0)
      update.Cores = {{"127.0.0.1", "dc-a"}};
    EventLoop.run([&] {
      Handler = std::make_unique<RequestHandler>(EventLoop.EventLoop, Settings,
                                                 Format, View);
    });
    apply(update);
  }
  ~Entry() {
    EventLoop.run([&] { Handler.reset(); });
  }

  /// Sends a request, waits for the answer and returns its status.
  int request(const std::string &method, const std::string &path,
              RequestOrigin origin = RequestOrigin::Client,
              const Headers &headers = {}) {
    Collected = AnswerCollector();
    HasFailed = false;
    RetryAfterMs = 0;
    gateway::HttpCall call;
    call.Method = method;
    call.Target = path;
    if (origin == RequestOrigin::Entry)
      call.Headers = {{std::string(entry::internal::RouteHeader),
                       "1 route" + path.substr(0, path.rfind('/') + 1)}};
    std::ranges::copy(headers, std::back_inserter(call.Headers));
    auto sink = Collected.makeSink();
    sink.Head = [this, take = sink.Head](const protocol::AnswerHead &head) {
      HasRetryAfter = hasHeader(head.Headers, "Retry-After");
      if (HasRetryAfter)
        RetryAfterMs = std::stoi(valueOf(head.Headers, "Retry-After"));
      take(head);
    };
    sink.Fail = [this](const protocol::RequestFailure &) { HasFailed = true; };
    EventLoop.run(
        [&] { Handler->handle(std::move(call), std::move(sink), origin); });
    REQUIRE(waitFor([this] { return Collected.isEnded() || HasFailed; }));
    return Collected.status();
  }
  /// Sends a request without waiting for its answer.
  AnswerCollector start(const std::string &method, const std::string &path) {
    gateway::HttpCall call;
    call.Method = method;
    call.Target = path;
    AnswerCollector collected;
    EventLoop.run([&] {
      Handler->handle(std::move(call), collected.makeSink(),
                      RequestOrigin::Client);
    });
    return collected;
  }
  /// The same; the returned hook is that of a client which disconnects.
  protocol::CancelHook startCancellable(const std::string &method,
                                        const std::string &path) {
    gateway::HttpCall call;
    call.Method = method;
    call.Target = path;
    protocol::CancelHook cancel;
    EventLoop.run([&] {
      cancel = Handler->handle(std::move(call), AnswerCollector().makeSink(),
                               RequestOrigin::Client);
    });
    return [this, cancel] { EventLoop.run(cancel); };
  }
  /// The view was not confirmed for \p age.
  void setViewAge(base::Duration age) {
    EventLoop.run([&] { Handler->readViewAgeBy([age] { return age; }); });
  }
  /// The view loses the first target and then calls it ready, as a new process
  /// if \p born is new.
  void repeatFirst(std::uint64_t born) {
    fleet::ViewUpdate update;
    update.Version = {1, ++Number};
    update.GoneTargets = {makeTarget(First, 1).Instance};
    apply(update);
    update.Version = {1, ++Number};
    update.GoneTargets.clear();
    update.Targets = {makeTarget(First, born)};
    if (Options.IsKeyed)
      update.Holders = {makeHolder(update.Targets.front())};
    apply(update);
  }
  /// The view lists the first target as leaving, or not at all if \p gone. The
  /// second one holds its keys.
  void departFirst(bool gone) {
    fleet::ViewUpdate update;
    update.Version = {1, ++Number};
    auto target = makeTarget(First, 1);
    target.State = fleet::TargetState::Leaving;
    if (gone)
      update.GoneTargets = {target.Instance};
    else
      update.Targets = {target};
    if (Options.IsKeyed)
      update.Holders = {makeHolder(makeTarget(Second, 1))};
    apply(update);
  }
  /// The service has a warm-up limit, and the first target warms up; the second
  /// one as well if \p both.
  void warmUp(bool both = false) {
    fleet::ViewUpdate update;
    update.Version = {1, ++Number};
    routing::Service vault = *View.config().findService("vault");
    ++vault.Version;
    vault.WarmUpPerSecond = 3.5;
    update.Items.Services = {vault};
    update.Targets = {makeTarget(First, 1)};
    if (both)
      update.Targets.push_back(makeTarget(Second, 1));
    for (auto &target : update.Targets)
      target.WarmUntil = base::readMonotonic() + 1h;
    apply(update);
  }
  /// The view lists these data centres as evacuated. The second target holds
  /// the keys if \p moved.
  void evacuate(std::vector<std::string> centres, bool moved = false) {
    fleet::ViewUpdate update;
    update.Version = {1, ++Number};
    update.Evacuated = std::move(centres);
    if (moved)
      update.Holders = {makeHolder(makeTarget(Second, 1))};
    apply(update);
  }
  /// The whole view, as a core has it.
  fleet::ViewUpdate describeView() {
    fleet::ViewUpdate update;
    EventLoop.run([&] { update = View.describeWhole(); });
    return update;
  }
  /// A core reports requests under which targets ended.
  void report(const dispatch::CrashReport &report) {
    EventLoop.run([&] { Handler->crashes().onReport(report); });
  }
  void beginStop(base::Duration grace) {
    EventLoop.run([&] { Handler->beginStop(grace); });
  }
  /// The requests of keyed services since the last call.
  fleet::StripeLoadReport takeStripeLoads() {
    fleet::StripeLoadReport report;
    EventLoop.run(
        [&] { report = Handler->stripeLoads().take(base::readMonotonic()); });
    return report;
  }
  std::string body() const { return Collected.body(); }
  bool hasFailed() const { return HasFailed; }
  int countRequests() const { return Count; }
  keyspace::TargetInstance first() const {
    return makeTarget(First, 1).Instance;
  }
  keyspace::TargetInstance second() const {
    return makeTarget(Second, 1).Instance;
  }
  int countAtFirst() const { return FirstCount; }
  int countAtSecond() const { return SecondCount; }
  int retryAfterMs() const { return RetryAfterMs; }
  bool hasRetryAfter() const { return HasRetryAfter; }

private:
  ScriptedServer::Script makeScript(std::atomic<int> &count) {
    return [this, &count](Peer &peer, std::size_t) {
      while (!peer.readRequest().empty()) {
        ++count;
        RunScript(peer, ++Count);
      }
    };
  }
  fleet::Target makeTarget(const ScriptedServer &server,
                           std::uint64_t born) const {
    const auto port = std::to_string(server.address().Port);
    fleet::Target target;
    target.Instance = {"t-" + port, born};
    target.Address = "127.0.0.1:" + port;
    target.Service = "vault";
    target.DataCentre = &server == &Second ? Options.SecondCentre : "dc-a";
    return target;
  }
  static fleet::ServiceHolders makeHolder(const fleet::Target &target) {
    return {"vault", 1, {{0, target.Instance}}};
  }
  void apply(const fleet::ViewUpdate &update) {
    EventLoop.run([&] {
      CHECK(View.apply(update) == fleet::View::Outcome::Applied);
      Handler->onView();
    });
  }

  Script RunScript;
  EntryOptions Options;
  std::atomic<int> Count{0};
  std::atomic<int> FirstCount{0};
  std::atomic<int> SecondCount{0};
  std::atomic<int> RetryAfterMs{0};
  std::uint64_t Number = 1;
  std::atomic<bool> HasRetryAfter{false};
  std::atomic<bool> HasFailed{false};
  ScriptedServer First;
  ScriptedServer Second;
  ScopedEventLoop EventLoop;
  fleet::FleetSettings Settings;
  EntryFormat Format = makeFormat();
  fleet::View View;
  std::unique_ptr<RequestHandler> Handler;
  AnswerCollector Collected;
};

} // namespace magnoliamill::entry::tests
