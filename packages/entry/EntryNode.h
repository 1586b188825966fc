// An entry of a fleet: serves clients, answers readiness checks, follows the
// view and shuts down gracefully.
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

/// All methods must be called on the thread of the event loop.
class EntryNode {
public:
  EntryNode(base::EventLoopThread &loop, fleet::FleetSettings settings,
            EntryFormat format);
  ~EntryNode();

  /// Starts listening and connects to a core. Error: ListenFailed.
  base::Result<void> start();
  /// Reports not ready, closes each connection after its next answer, and calls
  /// \p done once no connection is left, or shortly before the stop grace
  /// period ends.
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
  /// Accepts the requests that other entries relay.
  std::shared_ptr<gateway::HttpServer> Relayed;
  boost::asio::steady_timer ReportTimer;
  boost::asio::steady_timer StopTimer;
  boost::asio::steady_timer ForceTimer;
  bool IsStopping = false;
  bool WasReady = false;
};

} // namespace magnoliamill::entry
