// The modules of a node and the functions that connect them.
#pragma once

#include "node/DispatchFlow.h"
#include "node/Node.h"
#include "node/OperatorApi.h"
#include "node/OwnershipMetrics.h"
#include "node/RequestFlow.h"

#include <atomic>

namespace magnoliamill::node {

struct Node::State {
  State(settings::NodeSettings settings, bool bootstrap);
  ~State();

  base::Result<void> start();
  void beginStop(std::function<void()> done);

private:
  peer::PeerHandlers makePeerHandlers();
  gateway::GatewayHandlers makeGatewayHandlers();
  SettingsParticipantHooks makeSettingsHooks();
  DataCentreParticipantHooks makeDataCentreHooks();
  RequestFlowHooks makeRequestHooks();
  DispatchFlowHooks makeDispatchHooks();
  void onSettingsView(const settings::ViewPtr &view);
  void answerQuery(const protocol::QueryRequest &request,
                   const protocol::Reply<protocol::QueryReply> &reply);
  void tick();
  void sendReports();
  void onReportAnswer(const base::Result<protocol::QueryReply> &answer);
  void updateReadiness();
  void publishMetrics();
  void publishServiceMetrics();
  std::string describeUnready() const;
  void drainGateway();
  void finishStop();
  /// Posts \p task to the state thread; fails \p reply with RingFull when its
  /// task ring is full.
  template <typename T>
  void postToState(base::Task task, const protocol::Reply<T> &reply);

  settings::NodeSettings Settings;
  bool Bootstrap;
  // Identifies this run of the process; it increases with each start: wall time
  // at the start in milliseconds.
  std::uint64_t Incarnation;

  base::EventLoopThread FrontThread;
  base::EventLoopThread DispatchThread;
  base::EventLoopThread StateThread;
  base::EventLoopThread StorageThread;

  std::unique_ptr<peer::PeerLinks> Peers;
  std::unique_ptr<SettingsParticipant> SettingsGroup;
  std::unique_ptr<DataCentreParticipant> DataCentre;
  std::unique_ptr<OperatorApi> Api;
  std::unique_ptr<DispatchFlow> Dispatch;
  std::unique_ptr<RequestFlow> Requests;
  std::unique_ptr<gateway::HttpGateway> Gateway;

  boost::asio::steady_timer StateTimer;
  base::MonoTime LastReport{};
  OwnershipMetrics Metrics;
  std::atomic<bool> SettingsReady{false};
  std::atomic<bool> DataCentreReady{false};
  std::atomic<bool> IsStopping{false};
  std::atomic<bool> GatewayDrainStarted{false};
  std::function<void()> OnStopped;
};

} // namespace magnoliamill::node
