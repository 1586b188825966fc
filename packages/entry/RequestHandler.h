// The requests of clients at one entry: routing, choice of the target, repeats,
// refusals.
#pragma once

#include "base/EventLoopThread.h"
#include "dispatch/RetryBudget.h"
#include "entry/EntryFormat.h"
#include "entry/LinkBudget.h"
#include "entry/LinkPacer.h"
#include "entry/TargetPool.h"
#include "fleet/FleetSettings.h"
#include "fleet/SpeedReport.h"
#include "fleet/View.h"
#include "gateway/HttpServer.h"
#include "gateway/TargetClient.h"
#include "routing/RouteTable.h"
#include "routing/WeightedChoice.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace magnoliamill::entry {

class EntryRequest;

/// Everything on the duty's thread.
class RequestHandler {
public:
  RequestHandler(base::EventLoopThread &loop,
                 const fleet::FleetSettings &settings,
                 const EntryFormat &format, const fleet::View &view);
  ~RequestHandler();

  protocol::CancelHook handle(gateway::HttpCall call,
                              protocol::AnswerSink sink);
  /// The view has changed.
  void onView();
  /// Refuses what comes from now on: this VM ends before it could be answered.
  void refuseNew() { IsRefusingNew = true; }
  std::size_t countRequests() const { return Requests.size(); }
  bool isRefusingNew() const { return IsRefusingNew; }

  // For the requests.
  base::EventLoopThread &loop() { return EventLoop; }
  const EntryFormat &format() const { return Format; }
  const fleet::View &view() const { return View; }
  const routing::RouteTable &routes() const { return Routes; }
  TargetPool &pool() { return Pool; }
  gateway::TargetClient &client() { return Client; }
  LinkBudget &link() { return Link; }
  /// For answers from targets, and to clients.
  LinkPacer &incoming() { return Incoming; }
  LinkPacer &outgoing() { return Outgoing; }
  fleet::SpeedMeter &speeds() { return Speeds; }
  std::string chooseService(const routing::Route &route);
  dispatch::RetryBudget &retryBudgetOf(const std::string &service);
  void finish(const std::shared_ptr<EntryRequest> &request);
  /// Requests that are told of changes of the view.
  void setWaiting(const std::shared_ptr<EntryRequest> &request, bool waiting);

private:
  base::EventLoopThread &EventLoop;
  const fleet::FleetSettings &Settings;
  const EntryFormat &Format;
  const fleet::View &View;
  routing::RouteTable Routes;
  TargetPool Pool;
  gateway::TargetClient Client;
  LinkBudget Link;
  LinkPacer Incoming;
  LinkPacer Outgoing;
  fleet::SpeedMeter Speeds;
  std::map<std::string, routing::WeightedChoice> ServiceChoices;
  std::map<std::string, dispatch::RetryBudget> Budgets;
  std::set<std::shared_ptr<EntryRequest>> Requests;
  std::set<std::shared_ptr<EntryRequest>> Waiting;
  bool IsRefusingNew = false;
};

} // namespace magnoliamill::entry
