// One entry of a fleet: clients, readiness, the view, stopping in order.
#pragma once

#include "base/EventLoopThread.h"
#include "base/Result.h"
#include "entry/EntryFormat.h"
#include "entry/RequestHandler.h"
#include "entry/ViewSubscription.h"
#include "fleet/FleetSettings.h"
#include "gateway/HttpServer.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace magnoliamill::entry {

/// Everything on the duty's thread.
class EntryNode {
public:
  EntryNode(base::EventLoopThread &loop, fleet::FleetSettings settings,
            EntryFormat format);
  ~EntryNode();

  /// Error: ListenFailed.
  base::Result<void> start();
  /// Reports itself as not ready, ends connections with their next answers, and
  /// calls \p done when none is left, at the latest before the grace ends.
  void stop(std::function<void()> done);
  void updateSeeds(const std::vector<settings::ListenAddress> &seeds) {
    Subscription.updateSeeds(seeds);
  }

private:
  void onView();
  void answerReadiness(const gateway::HttpCall &call,
                       const protocol::AnswerSink &sink);
  bool isReady() const;
  void applyLimits();
  void scheduleReport();

  base::EventLoopThread &EventLoop;
  fleet::FleetSettings Settings;
  EntryFormat Format;
  ViewSubscription Subscription;
  RequestHandler Handler;
  std::shared_ptr<gateway::HttpServer> Clients;
  std::shared_ptr<gateway::HttpServer> Readiness;
  boost::asio::steady_timer ReportTimer;
  boost::asio::steady_timer StopTimer;
  boost::asio::steady_timer ForceTimer;
  boost::asio::steady_timer RefuseTimer;
  bool IsStopping = false;
  bool WasReady = false;
};

} // namespace magnoliamill::entry
