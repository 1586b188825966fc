// State shared by the client requests of an entry.
#include "entry/RequestHandler.h"

#include "base/Hash.h"
#include "base/Log.h"
#include "base/Metrics.h"
#include "entry/EntryRequest.h"
#include "entry/OwedAnswers.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

namespace magnoliamill::entry {
namespace {

constexpr double BytesPerMegabit = 1e6 / 8;
/// Retries that may accumulate for a burst of failures. The limit applies to
/// all entries together, which don't coordinate, so each one keeps few.
constexpr double MaxSavedRetries = 4;
/// Maximum idle time of a connection that is reused for a request that must not
/// run twice. After a longer time it may have been dropped without notice.
constexpr base::Duration MaxIdleForNonIdempotent =
    std::chrono::milliseconds(500);
constexpr base::Duration MaxIdle = std::chrono::seconds(8);

/// Part of the VM's memory that requests and answers may use: half. The rest is
/// for the program, its buffers and the bytes that were not read yet.
constexpr std::size_t MessageMemoryDivisor = 2;
/// Bounds a log line: up to 1024 data centres may be evacuated.
constexpr std::size_t MaxLoggedBytes = 1024;

/// Connections to targets per MB of memory. A VM has 25 descriptors per MB;
/// callers and other entries get 12 (EntryNode.cpp).
constexpr std::size_t TargetConnectionsPerMb = 9;

gateway::TargetClientConfig makeClientConfig(const EntryFormat &format,
                                             const LinkPacer &pacer,
                                             std::size_t memory) {
  gateway::TargetClientConfig config;
  config.DeadlineHeader = format.DeadlineHeader;
  config.MaxIdleForNonIdempotent = MaxIdleForNonIdempotent;
  config.MaxIdle = MaxIdle;
  config.MaxConnectionsPerTarget = MaxInFlight + 1;
  config.MaxConnections = memory / 1'000'000 * TargetConnectionsPerMb;
  config.ChunkBytes = pacer.partBytes();
  return config;
}

void countNotice(const std::string &kind) {
  base::counter("mill_entry_target_notices_total",
                "What targets told about themselves in answers.",
                {{"notice", kind}})
      .Increment();
}

void countConnectFailure(const std::string &centre) {
  base::counter("mill_entry_connect_failures_total",
                "Connections to targets that could not be opened.",
                {{"data_centre", centre}})
      .Increment();
}

} // namespace

RequestHandler::RequestHandler(base::EventLoopThread &loop,
                               const fleet::FleetSettings &settings,
                               const EntryFormat &format,
                               const fleet::View &view)
    : EventLoop(loop), Settings(settings), Format(format), View(view),
      Pool(settings.DataCentre, base::hash64(settings.Vm, 1),
           settings.TargetDrainTime),
      Probe(loop, Pool,
            [this](const PooledTarget &target, gateway::ListenerState state,
                   base::MonoTime begun) {
              if (state == gateway::ListenerState::Listening)
                recordReached(target, begun);
              else
                recordConnectFailure(
                    target, state == gateway::ListenerState::Unknown, begun);
            }),
      Incoming(settings.LinkMbps * BytesPerMegabit),
      Outgoing(settings.LinkMbps * BytesPerMegabit),
      Memory(std::make_shared<gateway::MessageMemory>(settings.MemoryBytes /
                                                      MessageMemoryDivisor)),
      Client(loop, makeClientConfig(format, Incoming, settings.MemoryBytes)),
      Permits(loop, settings.LinkPort, {settings.Host, settings.DataCentre}),
      Crashes(loop, "entry"),
      Peers(settings.DataCentre, base::hash64(settings.Vm, 2)),
      Link(settings.LinkMbps * BytesPerMegabit) {}

RequestHandler::~RequestHandler() = default;

protocol::CancelHook RequestHandler::handle(gateway::HttpCall call,
                                            protocol::AnswerSink sink,
                                            RequestOrigin origin) {
  auto request = std::make_shared<EntryRequest>(*this, std::move(call),
                                                std::move(sink), origin);
  Requests.insert(request);
  request->start();
  return [weak = std::weak_ptr(request)] {
    if (auto running = weak.lock())
      running->cancel();
  };
}

void RequestHandler::onView() {
  const auto &change = View.lastChange();
  for (const auto &route : change.Items.Routes)
    Routes.update(route);
  if (!change.Items.Routes.empty())
    updateLeastPriorities();
  if (change.IsWhole)
    Pool.updateAll(View);
  else
    Pool.update(View, change.Targets);
  if (change.HasEvacuations)
    updateEvacuations();
  const auto waiting = Waiting;
  for (const auto &request : waiting)
    request->onView();
  if (Pool.evacuated().isEmpty())
    return;
  const auto running = Requests;
  for (const auto &request : running)
    request->leaveEvacuated();
}

void RequestHandler::updateEvacuations() {
  Pool.evacuated().update(View.evacuated(), base::readMonotonic());
  EvacuationVersion = View.version();
  base::gauge("mill_entry_evacuated_data_centres",
              "Data centres whose targets get no requests from this VM.")
      .Set(static_cast<double>(View.evacuated().size()));
  std::string centres;
  for (const auto &centre : View.evacuated())
    centres += (centres.empty() ? "" : ",") + centre;
  base::logInfo("entry", "the evacuated data centres have changed",
                {{"count", View.evacuated().size()},
                 {"data_centres", centres.substr(0, MaxLoggedBytes)},
                 {"requests", Requests.size()},
                 {"view_term", EvacuationVersion.Term},
                 {"view_number", EvacuationVersion.Number}});
}

void RequestHandler::readNotices(const keyspace::TargetInstance &target,
                                 const AnswerMetadata &answer,
                                 std::string_view request) {
  const auto now = base::readMonotonic();
  if (answer.Load)
    Pool.onLoad(target, *answer.Load, now);
  if (answer.IsLeaving && Pool.notices().onLeaving(target, now)) {
    countNotice("leaving");
    base::logInfo("entry", "a target says that it leaves",
                  {{"target", target.Id},
                   {"request", request},
                   {"left_ms", base::toMs(Settings.TargetDrainTime)}});
  }
  if (Pool.notices().onRateLimit(target, answer.RateLimit, Permits.entryCount(),
                                 now)) {
    countNotice(answer.RateLimit ? "rate_limit" : "rate_limit_lifted");
    base::logInfo("entry", "a target changes the rate of requests it takes",
                  {{"target", target.Id},
                   {"request", request},
                   {"per_second", answer.RateLimit.value_or(-1)}});
  }
  if (answer.AskedPause <= base::Duration::zero() ||
      !Pool.notices().onPause(target, answer.AskedPause, now))
    return;
  countNotice("pause");
  base::logInfo("entry", "a target asks for no requests",
                {{"target", target.Id},
                 {"request", request},
                 {"pause_ms", base::toMs(answer.AskedPause)}});
  const auto running = Requests;
  for (const auto &it : running)
    it->onPause(target);
}

void RequestHandler::recordReached(const PooledTarget &target,
                                   base::MonoTime begun) {
  const auto news =
      Pool.reach().onReached(target.Description.Instance, groupOf(target),
                             begun, base::readMonotonic());
  logReach(news, "a group of targets is reachable again", target);
}

void RequestHandler::recordConnectFailure(const PooledTarget &target,
                                          bool HasTimedOut,
                                          base::MonoTime begun) {
  const auto now = base::readMonotonic();
  countConnectFailure(target.Description.DataCentre);
  if (HasTimedOut && Permits.areMostSilent(View.cores(), now))
    return;
  const auto news = Pool.reach().onFailed(target.Description.Instance,
                                          groupOf(target), begun, now);
  logReach(news, "a group of targets can't be reached", target);
  if (!news.empty())
    Probe.start();
}

void RequestHandler::logReach(const std::vector<TargetGroup> &news,
                              std::string_view text,
                              const PooledTarget &target) const {
  for (const auto &group : news)
    base::logInfo("entry", text,
                  {{"data_centre", group.DataCentre},
                   {"service", group.Service},
                   {"target", target.Description.Instance.Id},
                   {"requests", Requests.size()}});
}

void RequestHandler::updateLeastPriorities() {
  LeastPriorities.clear();
  for (const auto &[name, route] : View.config().routes()) {
    if (route.IsRemoved)
      continue;
    for (const auto &share : route.Shares) {
      auto &least = LeastPriorities[share.Service];
      least = std::max(least, route.Priority);
    }
  }
}

bool RequestHandler::isUrgent(const std::string &service,
                              const routing::Route &route) const {
  auto it = LeastPriorities.find(service);
  return it != LeastPriorities.end() && route.Priority < it->second;
}

void RequestHandler::countRequest(const std::string &service,
                                  std::uint32_t key) {
  if (const auto count = View.countStripes(service); count > 0)
    StripeLoads.onRequest(service, keyspace::stripeOfKey(key, count), count);
}

std::string RequestHandler::chooseService(const routing::Route &route) {
  return route.Shares[ServiceChoices[route.Name].next(route.Shares)].Service;
}

dispatch::RetryBudget &
RequestHandler::retryBudgetOf(const std::string &service) {
  return Budgets.try_emplace(service, Settings.RetryPercent, MaxSavedRetries)
      .first->second;
}

base::MonoTime RequestHandler::beginStop(base::Duration grace) {
  Stop.begin(base::readMonotonic(), grace);
  Incoming.expedite();
  Outgoing.expedite();
  const auto unfinished = Requests;
  for (const auto &request : unfinished)
    request->onStop();
  return Stop.endsAt();
}

base::Duration RequestHandler::deliveryTime(const routing::Route &route,
                                            base::MonoTime deadline) const {
  // Small answers are sent between the parts of large ones.
  if (Link.expectedBytes(route.Name) <= LargeAnswerBytes)
    return base::Duration::zero();
  std::vector<OwedAnswer> answers;
  answers.reserve(Requests.size());
  for (const auto &request : Requests)
    if (const auto answer = request->owedAnswer())
      answers.push_back(*answer);
  return latestDelivery(std::move(answers), deadline, Outgoing) - deadline;
}

std::uint64_t RequestHandler::owedBytes() const {
  std::uint64_t bytes = 0;
  for (const auto &request : Requests)
    bytes += request->owedBytes();
  return bytes;
}

void RequestHandler::logUnfinished(std::string_view text) const {
  for (const auto &request : Requests)
    request->logUnfinished(text);
}

void RequestHandler::setWaiting(const std::shared_ptr<EntryRequest> &request,
                                bool waiting) {
  if (waiting)
    Waiting.insert(request);
  else
    Waiting.erase(request);
}

void RequestHandler::finish(const std::shared_ptr<EntryRequest> &request) {
  Requests.erase(request);
  Waiting.erase(request);
}

} // namespace magnoliamill::entry
