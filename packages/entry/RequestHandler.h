// Handles the client requests of an entry, and holds the state that they share:
// routes, targets, retry budgets and link limits.
#pragma once

#include "base/EventLoopThread.h"
#include "dispatch/RetryBudget.h"
#include "dispatch/StopAdmission.h"
#include "entry/EntryFormat.h"
#include "entry/LinkBudget.h"
#include "entry/LinkPacer.h"
#include "entry/PermitClient.h"
#include "entry/RelayPeers.h"
#include "entry/RequestOrigin.h"
#include "entry/TargetPool.h"
#include "entry/TargetProbe.h"
#include "fleet/FleetSettings.h"
#include "fleet/SpeedReport.h"
#include "fleet/StripeLoadMeter.h"
#include "fleet/View.h"
#include "gateway/HttpServer.h"
#include "gateway/MessageMemory.h"
#include "gateway/TargetClient.h"
#include "node/CrashWatch.h"
#include "routing/RouteTable.h"
#include "routing/WeightedChoice.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace magnoliamill::entry {

class EntryRequest;

/// All methods must be called on the thread of the event loop.
class RequestHandler {
public:
  RequestHandler(base::EventLoopThread &loop,
                 const fleet::FleetSettings &settings,
                 const EntryFormat &format, const fleet::View &view);
  ~RequestHandler();

  /// Starts a request. The returned hook cancels it when the client
  /// disconnects.
  protocol::CancelHook handle(gateway::HttpCall call, protocol::AnswerSink sink,
                              RequestOrigin origin);
  /// Applies the last change of the view.
  void onView();
  /// Refuses from now on requests that could outlast \p grace, at the end of
  /// which this VM exits. Returns when unfinished requests are cut off.
  base::MonoTime beginStop(base::Duration grace);
  std::size_t countRequests() const { return Requests.size(); }
  /// Bytes of the answers in progress that were not passed on to clients yet.
  std::uint64_t owedBytes() const;
  /// Writes one log line with \p text for each unfinished request.
  void logUnfinished(std::string_view text) const;

  // Used by EntryRequest.
  base::EventLoopThread &loop() { return EventLoop; }
  const EntryFormat &format() const { return Format; }
  const fleet::View &view() const { return View; }
  /// Time since the leader confirmed the view, as far as this VM has received
  /// it; 0 if there is no hook.
  base::Duration viewAge() const {
    return ReadViewAge ? ReadViewAge() : base::Duration::zero();
  }
  void readViewAgeBy(std::function<base::Duration()> hook) {
    ReadViewAge = std::move(hook);
  }
  const routing::RouteTable &routes() const { return Routes; }
  TargetPool &pool() { return Pool; }
  gateway::TargetClient &client() { return Client; }
  PermitClient &permits() { return Permits; }
  node::CrashWatch &crashes() { return Crashes; }
  RelayPeers &peers() { return Peers; }
  /// The first version of the view that has the evacuations of this VM's view.
  fleet::ViewVersion evacuationVersion() const { return EvacuationVersion; }
  /// The port on which all entries accept relayed requests.
  std::uint16_t linkPort() const { return Settings.LinkPort; }
  /// Takes from an answer of \p target to \p request what the target tells
  /// about itself. Requests that wait for a permit there may be refused.
  void readNotices(const keyspace::TargetInstance &target,
                   const AnswerMetadata &answer, std::string_view request);
  /// Records that an attempt begun at \p begun has reached \p target.
  void recordReached(const PooledTarget &target, base::MonoTime begun);
  /// Records that it could not open a connection. One that was not answered in
  /// time counts only if the cores answer: otherwise it may be the VM's own
  /// link that is slow.
  void recordConnectFailure(const PooledTarget &target, bool HasTimedOut,
                            base::MonoTime begun);
  /// Whether \p route has a higher priority than another route of the service.
  bool isUrgent(const std::string &service, const routing::Route &route) const;
  LinkBudget &link() { return Link; }
  const dispatch::StopAdmission &stopAdmission() const { return Stop; }
  /// How long after \p deadline, that of a request in progress, its answer of
  /// \p route has been passed on at the latest.
  base::Duration deliveryTime(const routing::Route &route,
                              base::MonoTime deadline) const;
  /// For the answers that wait for their clients.
  /// Holds the requests that are received and the answers to them.
  const std::shared_ptr<gateway::MessageMemory> &memory() { return Memory; }
  /// Paces answers from targets.
  LinkPacer &incoming() { return Incoming; }
  /// Paces answers to clients.
  LinkPacer &outgoing() { return Outgoing; }
  fleet::SpeedMeter &speeds() { return Speeds; }
  fleet::StripeLoadMeter &stripeLoads() { return StripeLoads; }
  /// Counts a request for \p key of a keyed service.
  void countRequest(const std::string &service, std::uint32_t key);
  std::string chooseService(const routing::Route &route);
  dispatch::RetryBudget &retryBudgetOf(const std::string &service);
  void finish(const std::shared_ptr<EntryRequest> &request);
  /// Sets whether the request is notified of view changes.
  void setWaiting(const std::shared_ptr<EntryRequest> &request, bool waiting);

private:
  void updateLeastPriorities();
  void updateEvacuations();
  void logReach(const std::vector<TargetGroup> &news, std::string_view text,
                const PooledTarget &target) const;

  base::EventLoopThread &EventLoop;
  const fleet::FleetSettings &Settings;
  const EntryFormat &Format;
  const fleet::View &View;
  std::function<base::Duration()> ReadViewAge;
  routing::RouteTable Routes;
  /// The largest priority number of the routes of each service: the least
  /// urgent one.
  std::map<std::string, std::uint32_t> LeastPriorities;
  TargetPool Pool;
  fleet::ViewVersion EvacuationVersion;
  TargetProbe Probe;
  LinkPacer Incoming;
  LinkPacer Outgoing;
  /// Shared with requests, which may be destroyed later than this object.
  std::shared_ptr<gateway::MessageMemory> Memory;
  gateway::TargetClient Client;
  PermitClient Permits;
  node::CrashWatch Crashes;
  RelayPeers Peers;
  LinkBudget Link;
  fleet::SpeedMeter Speeds;
  fleet::StripeLoadMeter StripeLoads{base::readMonotonic()};
  std::map<std::string, routing::WeightedChoice> ServiceChoices;
  std::map<std::string, dispatch::RetryBudget> Budgets;
  std::set<std::shared_ptr<EntryRequest>> Requests;
  std::set<std::shared_ptr<EntryRequest>> Waiting;
  dispatch::StopAdmission Stop;
};

} // namespace magnoliamill::entry
