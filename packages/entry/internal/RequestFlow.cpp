// What the requests of one entry share.
#include "entry/RequestFlow.h"

#include "base/Hash.h"
#include "entry/EntryRequest.h"

namespace magnoliamill::entry {
namespace {

constexpr double BytesPerMegabit = 1e6 / 8;
/// Repeats saved up for a burst of failures. The budget is one for all entries,
/// which don't coordinate, so each keeps little.
constexpr double MaxSavedRepeats = 4;
/// An idle connection may have been dropped without notice after longer.
constexpr base::Duration MaxIdleForUnsafe = std::chrono::milliseconds(500);
constexpr base::Duration MaxIdle = std::chrono::seconds(8);

gateway::TargetClientConfig makeClientConfig(const EntryFormat &dialect) {
  gateway::TargetClientConfig config;
  config.DeadlineHeader = dialect.DeadlineHeader;
  config.MaxIdleForUnsafe = MaxIdleForUnsafe;
  config.MaxIdle = MaxIdle;
  config.MaxConnectionsPerTarget = MaxInFlight + 1;
  config.ChunkBytes = AnswerPartBytes;
  return config;
}

} // namespace

RequestFlow::RequestFlow(base::EventLoopThread &duty,
                         const fleet::FleetSettings &settings,
                         const EntryFormat &dialect, const fleet::View &view)
    : Duty(duty), Settings(settings), Dialect(dialect), View(view),
      Pool(settings.DataCentre, base::hash64(settings.Vm, 1)),
      Client(duty, makeClientConfig(dialect)),
      Link(settings.LinkMbps * BytesPerMegabit),
      Incoming(settings.LinkMbps * BytesPerMegabit),
      Outgoing(settings.LinkMbps * BytesPerMegabit) {}

RequestFlow::~RequestFlow() = default;

protocol::CancelHook RequestFlow::handle(gateway::HttpCall call,
                                         protocol::AnswerSink sink) {
  auto request =
      std::make_shared<EntryRequest>(*this, std::move(call), std::move(sink));
  Requests.insert(request);
  request->start();
  return [weak = std::weak_ptr(request)] {
    if (auto running = weak.lock())
      running->cancel();
  };
}

void RequestFlow::onView() {
  const auto &change = View.lastChange();
  for (const auto &route : change.Items.Routes)
    Routes.update(route);
  if (change.IsWhole)
    Pool.updateAll(View);
  else
    Pool.update(View, change.Targets);
  const auto waiting = Waiting;
  for (const auto &request : waiting)
    request->onView();
}

std::string RequestFlow::chooseService(const routing::Route &route) {
  return route.Shares[Splits[route.Name].next(route.Shares)].Service;
}

dispatch::RetryBudget &RequestFlow::budgetOf(const std::string &service) {
  return Budgets.try_emplace(service, Settings.RetryPercent, MaxSavedRepeats)
      .first->second;
}

void RequestFlow::setWaiting(const std::shared_ptr<EntryRequest> &request,
                             bool waiting) {
  if (waiting)
    Waiting.insert(request);
  else
    Waiting.erase(request);
}

void RequestFlow::finish(const std::shared_ptr<EntryRequest> &request) {
  Requests.erase(request);
  Waiting.erase(request);
}

} // namespace magnoliamill::entry
