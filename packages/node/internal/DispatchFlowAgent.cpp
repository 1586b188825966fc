// The agent's actions: lease requests, grants, handover and stopping.
#include "node/DispatchFlow.h"

#include "ownership/Timing.h"

#include <algorithm>

namespace magnoliamill::node {

void DispatchFlow::stepAgent(const ownership::AgentEvent &event) {
  perform(Agent.step(event, base::readMonotonic()));
}

void DispatchFlow::perform(ownership::AgentActions actions) {
  if (actions.Lease)
    sendLease(std::move(*actions.Lease));
  for (auto &grant : actions.Grants)
    sendGrant(std::move(grant));
  for (const auto &drain : actions.DrainSlots)
    perform(Dispatcher.drainSlot(drain.Slot, drain.Token));
  for (const auto &drain : actions.DrainTargets)
    perform(Dispatcher.drainTarget(drain.Instance, drain.DispatchToken));
  for (const auto &lost : actions.Abandon)
    abortTargetRequests(lost.Instance);
  // The agent may need to wake earlier than the timer is set to.
  if (Agent.nextWake() <
      base::MonoTime(
          std::chrono::time_point_cast<base::Duration>(Timer.expiry())))
    armTimer();
}

void DispatchFlow::sendLease(ownership::SendLeaseRequest lease) {
  protocol::LeaseRequest request;
  request.Vm = Config.Self;
  request.Incarnation = Config.Incarnation;
  request.SentAtUs = lease.SentAtUs;
  request.Leaving = lease.Leaving;
  request.Report = std::move(lease.Report);
  Hooks.RenewLease(
      std::move(request), [this](base::Result<protocol::LeaseReply> reply) {
        if (!reply)
          return;
        ownership::LeaseReplied event;
        event.SentAtUs = reply.value().SentAtUs;
        event.Duration = std::chrono::milliseconds(reply.value().DurationMs);
        event.Granted = reply.value().Granted;
        EventLoop.postReply([this, event] {
          stepAgent(event);
          // With a renewed lease, waiting requests may start.
          perform(Dispatcher.tick(base::readMonotonic()));
        });
      });
}

void DispatchFlow::sendGrant(ownership::SendGrant grant) {
  gateway::TargetAddress address{grant.Host, grant.Port};
  Targets.exchange(
      address, "PUT", "/.mill/grants", std::move(grant.Body),
      ownership::GrantTimeout,
      [this, instance = grant.Instance,
       id = grant.GrantId](base::Result<std::string> body) {
        stepAgent(ownership::GrantReplied{instance, id, std::move(body)});
        perform(Dispatcher.tick(base::readMonotonic()));
      });
}

void DispatchFlow::beginStopping(std::function<void()> done) {
  EventLoop.postReply([this, done = std::move(done)] {
    OnStopped = done;
    stepAgent(ownership::Stopping{});
    checkStopped();
  });
}

void DispatchFlow::checkStopped() {
  if (!OnStopped || !Agent.hasReleasedAllTargets() || !Dispatcher.isIdle())
    return;
  auto done = std::exchange(OnStopped, nullptr);
  done();
}

void DispatchFlow::armTimer() {
  base::MonoTime now = base::readMonotonic();
  Timer.expires_after(
      base::delayUntil(std::min(Dispatcher.nextWake(now), Agent.nextWake())));
  Timer.async_wait([this](const boost::system::error_code &ec) {
    if (ec)
      return;
    stepAgent(ownership::AgentTick{});
    perform(Dispatcher.tick(base::readMonotonic()));
    checkStopped();
    armTimer();
  });
}

} // namespace magnoliamill::node
