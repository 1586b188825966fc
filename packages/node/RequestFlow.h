// Passes callers' requests on an entry VM from the gateway through the router
// to a dispatcher, on this or another VM, and the answers back.
#pragma once

#include "base/EventLoopThread.h"
#include "dispatch/Router.h"
#include "dispatch/StopAdmission.h"
#include "protocol/Messages.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace magnoliamill::node {

struct RequestFlowHooks {
  /// Passes a request to this VM's dispatcher.
  std::function<protocol::CancelHook(protocol::ForwardRequest,
                                     protocol::AnswerSink)>
      DispatchLocally;
  /// Forwards a request to another VM.
  std::function<protocol::CancelHook(
      const base::VmId &, protocol::ForwardRequest, protocol::AnswerSink)>
      ForwardTo;
  std::function<bool(const base::VmId &)> IsAlive;
};

struct RequestFlowConfig {
  base::VmId Self;
  base::DataCentreId DataCentre;
  std::uint64_t Incarnation = 0;
  std::uint32_t MaxDeadlineMs = 60000;
};

/// Public methods may be called from any thread; everything else runs on the
/// front thread.
class RequestFlow {
public:
  RequestFlow(base::EventLoopThread &eventloop, RequestFlowConfig config,
              RequestFlowHooks hooks);

  /// Takes a request that a caller sent to this VM.
  protocol::CancelHook submit(protocol::ForwardRequest request,
                              protocol::AnswerSink sink);
  /// Takes a request that another VM forwarded. With HopFinal this VM
  /// dispatches it; with HopRoute this VM finds the dispatcher in its data
  /// centre.
  protocol::CancelHook onForwarded(protocol::ForwardRequest request,
                                   protocol::AnswerSink sink);
  /// This VM exits \p grace from now: requests whose deadline is later are
  /// refused from here on.
  void beginStop(base::Duration grace);
  void setSettings(settings::ViewPtr view);
  void setOwnership(ownership::ViewPtr view);
  /// Number of requests that have not ended.
  std::size_t countOpen() const { return OpenCount.load(); }

  /// Values of ForwardRequest::Hops.
  static constexpr std::uint8_t HopFromCaller = 0;
  static constexpr std::uint8_t HopRoute = 1;
  static constexpr std::uint8_t HopFinal = 2;

private:
  struct OpenRequest {
    protocol::ForwardRequest Request;
    protocol::AnswerSink Sink;
    base::MonoTime Deadline;
    protocol::CancelHook Cancel;
    bool HeadSent = false;
  };

  void admit(std::shared_ptr<OpenRequest> open, bool MayLeaveDataCentre);
  /// Refuses the request and returns true if this VM may exit before its end.
  bool refuseUnlessFitsStop(const OpenRequest &open);
  void perform(dispatch::RouteActions actions);
  void forward(const base::RequestId &id, const base::VmId &vm);
  protocol::AnswerSink sinkFor(const base::RequestId &id,
                               const std::shared_ptr<OpenRequest> &open);
  void onFailure(const base::RequestId &id,
                 const protocol::RequestFailure &failure);
  void end(const base::RequestId &id);
  void cancel(const base::RequestId &id);
  void armTimer();

  base::EventLoopThread &EventLoop;
  RequestFlowConfig Config;
  RequestFlowHooks Hooks;
  dispatch::Router Router;
  dispatch::StopAdmission Stop;
  settings::ViewPtr Settings;
  boost::asio::steady_timer Timer;
  std::unordered_map<base::RequestId, std::shared_ptr<OpenRequest>> Requests;
  std::atomic<std::uint64_t> NextId{1};
  std::atomic<std::size_t> OpenCount{0};
};

} // namespace magnoliamill::node
