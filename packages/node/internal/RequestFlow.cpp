// Carries out the router's decisions with the gateway, the dispatcher and other
// VMs.
#include "node/RequestFlow.h"

#include "base/Log.h"
#include "base/Metrics.h"
#include "node/RequestDescription.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <prometheus/counter.h>

namespace magnoliamill::node {
namespace {

/// Retry-After value if another VM can serve the caller almost immediately.
constexpr std::uint32_t OtherVmRetryAfterMs = 50;

void countFailure(base::ResultCode code) {
  base::counter("mill_requests_failed_total",
                "Requests that ended without an answer, by result code.",
                {{"code", std::to_string(base::numberOf(code))}})
      .Increment();
}

} // namespace

RequestFlow::RequestFlow(base::EventLoopThread &eventloop,
                         RequestFlowConfig config, RequestFlowHooks hooks)
    : EventLoop(eventloop), Config(std::move(config)), Hooks(std::move(hooks)),
      Router({.Self = Config.Self,
              .DataCentre = Config.DataCentre,
              .Seed = Config.Incarnation,
              .IsAlive = Hooks.IsAlive}),
      Settings(std::make_shared<settings::View>()), Timer(eventloop.context()) {
  boost::asio::post(EventLoop.context(), [this] { armTimer(); });
}

void RequestFlow::beginStop(base::Duration grace) {
  EventLoop.postReply(
      [this, grace] { Stop.begin(base::readMonotonic(), grace); });
}

void RequestFlow::setSettings(settings::ViewPtr view) {
  EventLoop.postReply([this, view = std::move(view)] {
    Settings = view;
    perform(Router.setSettings(view, base::readMonotonic()));
  });
}

void RequestFlow::setOwnership(ownership::ViewPtr view) {
  EventLoop.postReply([this, view = std::move(view)] {
    perform(Router.setOwnership(view, base::readMonotonic()));
  });
}

protocol::CancelHook RequestFlow::submit(protocol::ForwardRequest request,
                                         protocol::AnswerSink sink) {
  request.Id = base::RequestId(fmt::format("{}-{:x}-{}", Config.Self.Value,
                                           Config.Incarnation, NextId++));
  request.Hops = HopFromCaller;
  auto open = std::make_shared<OpenRequest>();
  open->Request = std::move(request);
  open->Sink = std::move(sink);
  base::RequestId id = open->Request.Id;
  // The gateway calls on the front thread, so its requests bypass the task
  // ring.
  if (EventLoop.isCurrent()) {
    admit(open, true);
  } else if (!EventLoop.tryPost([this, open] { admit(open, true); })) {
    open->Sink.Fail({base::ResultCode::RingFull, "the VM is overloaded", 100});
    return [] {};
  }
  return [this, id] { EventLoop.postReply([this, id] { cancel(id); }); };
}

protocol::CancelHook RequestFlow::onForwarded(protocol::ForwardRequest request,
                                              protocol::AnswerSink sink) {
  if (request.Hops >= HopFinal)
    return Hooks.DispatchLocally(std::move(request), std::move(sink));
  auto open = std::make_shared<OpenRequest>();
  open->Request = std::move(request);
  open->Sink = std::move(sink);
  base::RequestId id = open->Request.Id;
  if (!EventLoop.tryPost([this, open] { admit(open, false); })) {
    open->Sink.Fail(
        {base::ResultCode::NotRunPeerUnreachable, "the VM is overloaded", 100});
    return [] {};
  }
  return [this, id] { EventLoop.postReply([this, id] { cancel(id); }); };
}

void RequestFlow::admit(std::shared_ptr<OpenRequest> open,
                        bool MayLeaveDataCentre) {
  base::MonoTime now = base::readMonotonic();
  auto info = describeRequest(*Settings, open->Request, now);
  if (info && open->Request.DeadlineMs > Config.MaxDeadlineMs)
    info = base::fail(base::ResultCode::BadDeadline,
                      "the deadline is longer than this VM allows");
  if (!info) {
    countFailure(info.error().Code);
    open->Sink.Fail({info.error().Code, info.error().Message, 0});
    return;
  }
  open->Deadline = info.value().Deadline;
  if (refuseUnlessFitsStop(*open))
    return;
  Requests[open->Request.Id] = open;
  OpenCount = Requests.size();
  perform(Router.submit(std::move(info.value()), MayLeaveDataCentre, now));
}

bool RequestFlow::refuseUnlessFitsStop(const OpenRequest &open) {
  if (Stop.admits(open.Deadline, base::Duration::zero()))
    return false;
  base::logInfo(
      "node", "a request may outlast the stop of this VM",
      {{"request", open.Request.Id.Value},
       {"service", open.Request.Service.Value},
       {"limit_ms", open.Request.DeadlineMs},
       {"stop_left_ms", base::toMs(base::delayUntil(Stop.endsAt()))}});
  countFailure(base::ResultCode::NotRunNotReady);
  open.Sink.Fail({base::ResultCode::NotRunNotReady, "this VM is stopping",
                  OtherVmRetryAfterMs});
  return true;
}

void RequestFlow::perform(dispatch::RouteActions actions) {
  for (const auto &route : actions.Forward)
    forward(route.Request, route.Vm);
  for (const auto &ended : actions.End) {
    auto it = Requests.find(ended.Request);
    if (it == Requests.end())
      continue;
    auto open = it->second;
    Requests.erase(it);
    countFailure(ended.Failure.Code);
    open->Sink.Fail(ended.Failure);
  }
  OpenCount = Requests.size();
  // Held requests may be due earlier than the timer is set to.
  if (Router.countHeld() > 0)
    armTimer();
}

void RequestFlow::forward(const base::RequestId &id, const base::VmId &vm) {
  auto it = Requests.find(id);
  if (it == Requests.end())
    return;
  auto open = it->second;
  auto left = base::toMs(open->Deadline - base::readMonotonic());
  protocol::ForwardRequest request = open->Request;
  request.DeadlineMs =
      static_cast<std::uint32_t>(std::max<std::int64_t>(1, left));
  // A VM of another data centre routes the request to the dispatcher there.
  auto vmview = Settings->Vms.find(vm);
  bool IsSameDataCentre = vmview == Settings->Vms.end() ||
                          vmview->second.DataCentre == Config.DataCentre;
  request.Hops = IsSameDataCentre ? HopFinal : HopRoute;
  auto sink = sinkFor(id, open);
  open->Cancel =
      vm == Config.Self
          ? Hooks.DispatchLocally(std::move(request), std::move(sink))
          : Hooks.ForwardTo(vm, std::move(request), std::move(sink));
}

protocol::AnswerSink
RequestFlow::sinkFor(const base::RequestId &id,
                     const std::shared_ptr<OpenRequest> &open) {
  protocol::AnswerSink sink;
  // Head, Chunk and End of an answer are called in order on one thread. They
  // are passed on directly, because the caller's sink posts to its own thread.
  sink.Head = [open](protocol::AnswerHead head) {
    open->HeadSent = true;
    open->Sink.Head(std::move(head));
  };
  sink.Chunk = [open](std::string chunk, std::function<void()> more) {
    open->Sink.Chunk(std::move(chunk), std::move(more));
  };
  sink.End = [this, id, open] {
    open->Sink.End();
    EventLoop.postReply([this, id] { end(id); });
  };
  sink.Fail = [this, id, open](protocol::RequestFailure failure) {
    if (open->HeadSent) {
      open->Sink.Fail(std::move(failure));
      EventLoop.postReply([this, id] { end(id); });
      return;
    }
    EventLoop.postReply(
        [this, id, failure = std::move(failure)] { onFailure(id, failure); });
  };
  return sink;
}

void RequestFlow::onFailure(const base::RequestId &id,
                            const protocol::RequestFailure &failure) {
  perform(Router.onFailure(id, failure, base::readMonotonic()));
}

void RequestFlow::end(const base::RequestId &id) {
  Router.forget(id);
  Requests.erase(id);
  OpenCount = Requests.size();
}

void RequestFlow::cancel(const base::RequestId &id) {
  auto it = Requests.find(id);
  if (it == Requests.end())
    return;
  auto hook = it->second->Cancel;
  end(id);
  if (hook)
    hook();
}

void RequestFlow::armTimer() {
  Timer.expires_after(base::delayUntil(Router.nextWake(base::readMonotonic())));
  Timer.async_wait([this](const boost::system::error_code &ec) {
    if (ec)
      return;
    perform(Router.tick(base::readMonotonic()));
    armTimer();
  });
}

} // namespace magnoliamill::node
