// Requests at the dispatcher: admission, attempts at targets and their
// outcomes.
#include "node/DispatchFlow.h"

#include "base/Log.h"
#include "base/Metrics.h"
#include "node/RequestDescription.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <prometheus/counter.h>

namespace magnoliamill::node {

DispatchFlow::DispatchFlow(base::EventLoopThread &eventloop,
                           DispatchFlowConfig config, DispatchFlowHooks hooks)
    : EventLoop(eventloop), Config(std::move(config)), Hooks(std::move(hooks)),
      Agent({.Vm = Config.Self, .Incarnation = Config.Incarnation},
            base::readMonotonic()),
      Dispatcher({.Self = Config.Self,
                  .MayStart =
                      [this](const auto &instance, const auto &slot, auto now) {
                        return Agent.mayWrite(instance, slot, now);
                      }}),
      Targets(eventloop, Config.Targets),
      Ledger(eventloop, Config.Self, Config.DataCentre, Hooks.Ledger),
      Crashes(eventloop, "dispatch"),
      Settings(std::make_shared<settings::View>()),
      Ownership(std::make_shared<ownership::View>()),
      Timer(eventloop.context()) {
  Crashes.reportTo(
      [this](const dispatch::CrashReport &report) { shareCrashes(report); });
  boost::asio::post(EventLoop.context(), [this] { armTimer(); });
}

void DispatchFlow::setSettings(settings::ViewPtr view) {
  EventLoop.postReply([this, view = std::move(view)] {
    const bool IsFirst = Settings->Vms.empty() && !view->Vms.empty();
    Settings = view;
    if (IsFirst)
      shareCrashes({});
    Ledger.setSettings(view);
    perform(Dispatcher.setSettings(view, base::readMonotonic()));
  });
}

void DispatchFlow::setOwnership(ownership::ViewPtr view) {
  EventLoop.postReply([this, view = std::move(view)] {
    Ownership = view;
    stepAgent(ownership::ViewChanged{view});
    perform(Dispatcher.setOwnership(view, base::readMonotonic()));
    checkStopped();
  });
}

protocol::CancelHook DispatchFlow::submit(protocol::ForwardRequest request,
                                          protocol::AnswerSink sink) {
  auto open = std::make_shared<OpenRequest>();
  open->Request = std::move(request);
  open->Sink = std::move(sink);
  base::RequestId id = open->Request.Id;
  if (!EventLoop.tryPost([this, open] { admit(open); })) {
    open->Sink.Fail({base::ResultCode::NotRunQueueFull,
                     "the dispatcher is overloaded", 100});
    return [] {};
  }
  return [this, id] { EventLoop.postReply([this, id] { cancel(id); }); };
}

void DispatchFlow::admit(const OpenRequestPtr &open) {
  base::MonoTime now = base::readMonotonic();
  open->StartedAt = now;
  auto info = describeRequest(*Settings, open->Request, now);
  if (!info) {
    fail(open, {info.error().Code, info.error().Message, 0});
    return;
  }
  if (refuseIfQuarantined(open))
    return;
  if (!Requests.try_emplace(open->Request.Id, open).second) {
    fail(open,
         {base::ResultCode::Internal, "the request id is already in use", 0});
    return;
  }
  open->Deadline = info.value().Deadline;
  open->Idempotent = info.value().Idempotent;
  if (info.value().Slot)
    open->Slot = base::SlotId{open->Request.Service, *info.value().Slot};
  if (info.value().NeedsLedgerRecord)
    beginRecord(open, std::move(info.value()));
  else
    perform(Dispatcher.submit(std::move(info.value()), now));
}

void DispatchFlow::perform(dispatch::DispatchActions actions) {
  for (const auto &start : actions.Start)
    startAttempt(start);
  for (const auto &ended : actions.End)
    endRequest(ended);
  for (const auto &id : actions.Abort)
    abortRequest(id);
  for (const auto &drained : actions.DrainedSlots)
    stepAgent(ownership::SlotDrained{drained.Slot, drained.Token});
  for (const auto &drained : actions.DrainedTargets)
    stepAgent(
        ownership::TargetDrained{drained.Instance, drained.DispatchToken});
  for (const auto &instance : actions.SuspectTargets)
    stepAgent(ownership::TargetFailed{instance});
}

base::Token
DispatchFlow::tokenOf(const std::optional<base::SlotId> &slot) const {
  if (!slot)
    return {};
  auto it = Ownership->Slots.find(slot->Service);
  if (it == Ownership->Slots.end() || slot->Slot >= it->second.size())
    return {};
  return it->second[slot->Slot].Token;
}

void DispatchFlow::startAttempt(const dispatch::StartAttempt &start) {
  auto it = Requests.find(start.Request);
  auto target = Ownership->Targets.find(start.Target);
  if (it == Requests.end())
    return;
  OpenRequestPtr open = it->second;
  std::uint32_t attempt = ++open->Attempt;
  open->Running = true;
  open->Target = start.Target;
  if (target == Ownership->Targets.end()) {
    gateway::TargetOutcome gone;
    gone.Code = base::ResultCode::NotRunNotOwner;
    finishAttempt(open, attempt, gone);
    return;
  }
  gateway::TargetCall call;
  call.Address = {target->second.Host, target->second.Port};
  call.Request = open->Request;
  if (open->Slot) {
    call.Token = tokenOf(open->Slot);
    call.Slot = open->Slot->Slot;
  }
  call.Deadline = open->Deadline;
  call.Idempotent = open->Idempotent;
  // Checked again right before writing, because connecting takes time.
  call.MayWrite = [this, instance = start.Target, slot = open->Slot] {
    return Agent.mayWrite(instance, slot, base::readMonotonic());
  };
  open->Cancel = Targets.call(
      std::move(call), sinkFor(open),
      [this, open, attempt](const gateway::TargetOutcome &outcome) {
        finishAttempt(open, attempt, outcome);
      });
}

protocol::AnswerSink DispatchFlow::sinkFor(const OpenRequestPtr &open) {
  protocol::AnswerSink sink;
  sink.Head = [open](protocol::AnswerHead head) {
    open->HeadSent = true;
    head.ServedBy = open->Target.Value;
    if (open->HasLedgerRecord)
      open->SavedHead = head;
    open->Sink.Head(std::move(head));
  };
  sink.Chunk = [this, open](std::string chunk, std::function<void()> more) {
    saveChunk(open, chunk);
    // The receiver asks for more from its own thread.
    open->Sink.Chunk(std::move(chunk), [this, more = std::move(more)] {
      EventLoop.postReply(more);
    });
  };
  sink.End = [open] { open->Sink.End(); };
  sink.Fail = [](const protocol::RequestFailure &) {};
  return sink;
}

void DispatchFlow::finishAttempt(const OpenRequestPtr &open,
                                 std::uint32_t attempt,
                                 const gateway::TargetOutcome &outcome) {
  if (attempt != open->Attempt || !open->Running)
    return;
  open->Running = false;
  dispatch::AttemptOutcome result;
  result.MayHaveRun = outcome.MayHaveRun;
  result.Answered = outcome.Answered;
  result.AnswerStarted = open->HeadSent;
  result.Shed = !outcome.Answered && !outcome.MayHaveRun &&
                (outcome.Status == 503 || outcome.Status == 429);
  result.Code = outcome.Code;
  result.RetryAfterMs = outcome.RetryAfterMs;
  result.RateLimit = outcome.RateLimit;
  result.Latency = outcome.Latency;
  watchForCrash(open, outcome);
  result.MayRetry = mayRetryAfterCrash(open);
  open->MayHaveRun = open->MayHaveRun || outcome.MayHaveRun;
  base::RequestId id = open->Request.Id;
  if (outcome.Answered) {
    Requests.erase(id);
    countEnd(*open, base::ResultCode::Ok);
    finishRecord(open, true);
    stepAgent(ownership::TargetAnswered{open->Target});
  }
  perform(Dispatcher.finish(id, result, base::readMonotonic()));
  checkStopped();
}

void DispatchFlow::endRequest(const dispatch::EndRequest &ended) {
  auto node = Requests.extract(ended.Request);
  if (node.empty())
    return;
  base::logInfo("dispatch", "request failed",
                {{"request", ended.Request.Value},
                 {"result", base::numberOf(ended.Failure.Code)},
                 {"target", node.mapped()->Target.Value}});
  finishRecord(node.mapped(), false);
  fail(node.mapped(), ended.Failure);
}

void DispatchFlow::fail(const OpenRequestPtr &open,
                        const protocol::RequestFailure &failure) {
  countEnd(*open, failure.Code);
  open->Sink.Fail(failure);
}

void DispatchFlow::countEnd(const OpenRequest &open, base::ResultCode code) {
  ClientAccounts.count(*Settings, open.Request.Service,
                       open.Request.ClientAccount, code,
                       base::readMonotonic() - open.StartedAt);
}

void DispatchFlow::abortRequest(const base::RequestId &id) {
  auto it = Requests.find(id);
  if (it == Requests.end())
    return;
  OpenRequestPtr open = it->second;
  std::uint32_t attempt = open->Attempt;
  if (open->Cancel)
    open->Cancel();
  // The target may have received the request; nobody waits for the answer.
  gateway::TargetOutcome aborted;
  aborted.MayHaveRun = true;
  aborted.Code = base::ResultCode::OutcomeUnknown;
  finishAttempt(open, attempt, aborted);
  Requests.erase(id);
}

void DispatchFlow::abortTargetRequests(const base::TargetInstanceId &instance) {
  std::vector<OpenRequestPtr> aborted;
  for (const auto &[id, open] : Requests)
    if (open->Target == instance && open->Running)
      aborted.push_back(open);
  for (const auto &open : aborted) {
    std::uint32_t attempt = open->Attempt;
    if (open->Cancel)
      open->Cancel();
    gateway::TargetOutcome lost;
    lost.MayHaveRun = true;
    lost.Code = base::ResultCode::OutcomeUnknownTargetLost;
    finishAttempt(open, attempt, lost);
  }
}

void DispatchFlow::cancel(const base::RequestId &id) {
  perform(Dispatcher.cancel(id, base::readMonotonic()));
  auto node = Requests.extract(id);
  if (!node.empty())
    finishRecord(node.mapped(), false);
}

} // namespace magnoliamill::node
