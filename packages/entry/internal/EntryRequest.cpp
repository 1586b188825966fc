// The way of one client attempt.
#include "entry/EntryRequest.h"

#include "base/HttpStatus.h"
#include "base/Log.h"
#include "base/Metrics.h"
#include "entry/RequestFlow.h"
#include "gateway/HeaderRules.h"
#include "gateway/HttpGateway.h"

#include <algorithm>
#include <prometheus/counter.h>
#include <prometheus/histogram.h>

namespace magnoliamill::entry {

using base::ResultCode;

namespace {

/// For clients that don't say how long they wait.
constexpr base::Duration DefaultPatience = std::chrono::seconds(30);
/// When a client may come back whose key has no holder at present: a handover
/// takes less, a lost holder more.
constexpr base::Duration NoHolderRetry = std::chrono::milliseconds(250);
/// When a client may come back whose target is full: it has finished a request
/// or two by then.
constexpr base::Duration BusyRetry = std::chrono::milliseconds(150);
/// When a client may come back that another VM serves: at once, nearly.
constexpr base::Duration OtherVmRetry = std::chrono::milliseconds(50);
/// A connection that is reset sooner than any request is served was one too
/// many for the target.
constexpr base::Duration AtOnce = std::chrono::milliseconds(12);
/// Answers that take longer on the link are large.
constexpr base::Duration LargeAnswerTime = std::chrono::milliseconds(20);
/// The part of its objective that a large answer waits for the link.
constexpr int LargeObjectiveDivisor = 3;
/// By then another VM's link is found, or this one is free.
constexpr base::Duration MaxLinkRetry = std::chrono::milliseconds(400);
/// The part of what is left in which a request waits for its key's holder.
constexpr int HolderWaitDivisor = 3;

void countOutcome(std::string_view route, std::string_view outcome,
                  base::Duration time) {
  base::counter(
      "mill_entry_requests_total", "Client attempts by their end.",
      {{"route", std::string(route)}, {"outcome", std::string(outcome)}})
      .Increment();
  static const std::vector<double> Bounds{0.01, 0.02, 0.05, 0.1, 0.2,
                                          0.3,  0.5,  1,    2,   5};
  base::histogram("mill_entry_request_seconds",
                  "From the whole request to the answer.", Bounds,
                  {{"outcome", std::string(outcome)}})
      .Observe(std::chrono::duration<double>(time).count());
}

} // namespace

EntryRequest::EntryRequest(RequestFlow &flow, gateway::HttpCall call,
                           protocol::AnswerSink sink)
    : Flow(flow), Request(std::move(call)), Sink(std::move(sink)),
      ArrivedAt(base::readMonotonic()), Timer(flow.duty().context()),
      PaceTimer(flow.duty().context()) {}

base::Duration EntryRequest::left() const {
  return Deadline - base::readMonotonic();
}

void EntryRequest::start() {
  if (Flow.view().config().empty())
    return refuse(ResultCode::NotRunNotReady,
                  "this VM has no configuration yet", NoHolderRetry);
  if (!readFacts())
    return;
  if (Flow.isRefusingNew())
    return refuse(ResultCode::NotRunNotReady, "this VM stops", OtherVmRetry);
  if (!findRoute() || !takeLink())
    return;
  Flow.budgetOf(Service).onAnswer();
  tryNext();
}

bool EntryRequest::readFacts() {
  auto facts = Flow.dialect().ReadRequest(Request.Headers);
  if (!facts) {
    answerFailure(facts.error().Code, facts.error().Message, {});
    return false;
  }
  Facts = std::move(facts.value());
  return true;
}

bool EntryRequest::findRoute() {
  const auto *route = Flow.routes().match(Facts.Host, Request.Target);
  if (!route) {
    answerFailure(ResultCode::UnknownRoute, "no route matches", {});
    return false;
  }
  Route = *route;
  Deadline = ArrivedAt + std::min(Facts.ClientTimeout.value_or(DefaultPatience),
                                  Route->Timeout);
  Service = Flow.chooseService(*Route);
  const auto *service = Flow.view().config().findService(Service);
  IsKeyed = service && service->IsKeyed;
  if (IsKeyed && !Facts.Key) {
    answerFailure(ResultCode::MissingKey, "the service needs a key", {});
    return false;
  }
  return true;
}

bool EntryRequest::takeLink() {
  const auto backlog = Flow.link().backlog(ArrivedAt);
  const auto own = Flow.link().expectedTime(Route->Name);
  // A small answer finds its place between others.
  const bool IsLarge = own > LargeAnswerTime;
  const auto limit = IsLarge ? Route->LatencyObjective / LargeObjectiveDivisor
                             : Route->LatencyObjective;
  if (backlog > limit) {
    refuse(ResultCode::NotRunQueueFull, "the link of this VM is busy",
           std::min(backlog / 2, MaxLinkRetry));
    return false;
  }
  LinkBytes = Flow.link().promise(Route->Name, ArrivedAt);
  return true;
}

PooledTarget *EntryRequest::chooseTarget() {
  const auto now = base::readMonotonic();
  if (!IsKeyed)
    return Flow.pool().choose(Service, Tried, now);
  const auto *holder = Flow.view().holderOf(Service, *Facts.Key);
  return holder ? Flow.pool().find(*holder) : nullptr;
}

void EntryRequest::tryNext() {
  if (left() <= base::Duration::zero())
    return onTimer();
  PooledTarget *target = chooseTarget();
  const auto now = base::readMonotonic();
  if (target && IsKeyed && !target->hasRoom(now))
    return refuse(ResultCode::NotRunQueueFull, "the key's holder is full",
                  std::max(target->Busy.until() - now, base::Duration::zero()) +
                      BusyRetry);
  if (target)
    return send(*target);
  if (IsKeyed && Tried.empty() && !IsWaiting)
    return waitForHolder();
  refuse(ResultCode::NotRunNoTarget, "no target can serve the request now",
         NoHolderRetry);
}

void EntryRequest::waitForHolder() {
  IsWaiting = true;
  Flow.setWaiting(shared_from_this(), true);
  armTimer(base::readMonotonic() + left() / HolderWaitDivisor);
}

void EntryRequest::onView() {
  if (!IsWaiting || IsFinished || !chooseTarget())
    return;
  IsWaiting = false;
  Flow.setWaiting(shared_from_this(), false);
  tryNext();
}

void EntryRequest::send(PooledTarget &target) {
  const keyspace::TargetInstance life = target.About.Instance;
  Tried.push_back(life);
  ++target.InFlight;
  Head = {};
  Body.clear();

  gateway::TargetCall call;
  call.Address = target.Address;
  call.Host = Facts.Host;
  call.Request.Method = Request.Method;
  call.Request.Target = Request.Target;
  call.Request.Headers = Request.Headers;
  call.Request.Body = Request.Body;
  gateway::stripConnectionHeaders(call.Request.Headers);
  Flow.dialect().AddTargetHeaders(call.Request.Headers, life.Id);
  call.Deadline = Deadline;
  call.Idempotent = Route->Kind != routing::RouteKind::AtMostOnce;
  call.TakesUnframed = true;
  auto self = shared_from_this();
  call.Judge = [self](const protocol::AnswerHead &head) {
    return self->judge(head);
  };
  protocol::AnswerSink sink;
  sink.Head = [self](protocol::AnswerHead head) {
    self->Head = std::move(head);
  };
  // Answers are collected whole: a part of one is never passed on.
  sink.Chunk = [self](const std::string &data,
                      const std::function<void()> &more) {
    self->Body += data;
    self->askMore(data.size(), more);
  };
  sink.End = [] {};
  sink.Fail = [](const protocol::RequestFailure &) {};
  auto cancel =
      Flow.client().call(std::move(call), std::move(sink),
                         [self, life](const gateway::TargetOutcome &outcome) {
                           self->onDone(life, outcome);
                         });
  if (!IsFinished)
    CancelCall = std::move(cancel);
}

gateway::AnswerVerdict EntryRequest::judge(const protocol::AnswerHead &head) {
  const auto facts = Flow.dialect().ReadAnswer(head.Status, head.Headers);
  if (!facts.Id.empty() && facts.Id != Facts.Id)
    return gateway::AnswerVerdict::Foreign;
  RefusalFacts = facts;
  if (facts.IsNotRun)
    return gateway::AnswerVerdict::NotRun;
  return facts.IsAuthentic ? gateway::AnswerVerdict::Deliver
                           : gateway::AnswerVerdict::Invalid;
}

void EntryRequest::onDone(const keyspace::TargetInstance &life,
                          const gateway::TargetOutcome &outcome) {
  CancelCall = nullptr;
  const auto now = base::readMonotonic();
  PooledTarget *target = Flow.pool().find(life);
  if (target && target->InFlight > 0)
    --target->InFlight;
  if (IsFinished)
    return;
  if (outcome.Answered) {
    const bool IsFailure = outcome.Status >= 500;
    if (target && IsFailure)
      target->Health.onFailure(now);
    else if (target)
      target->Health.onSuccess(outcome.Latency, now);
    if (target)
      target->Busy.onAnswer();
    if (IsKeyed && !IsFailure)
      Flow.speeds().onAnswer(life, Route->Name, outcome.Latency);
    return deliver();
  }
  if (outcome.Code == ResultCode::NotRunTargetRefused)
    return onRefused(life);
  if (target)
    target->Health.onFailure(now);
  const bool IsAtOnce =
      outcome.Code == ResultCode::TargetReset && outcome.Latency < AtOnce;
  if (target && IsAtOnce)
    target->Busy.onBusy(now);
  onLost(life, outcome);
}

void EntryRequest::onRefused(const keyspace::TargetInstance &life) {
  PooledTarget *target = Flow.pool().find(life);
  if (target && !RefusalFacts.IsWrongTarget)
    target->Busy.onBusy(base::readMonotonic());
  base::logInfo("entry", "a target refused a request",
                {{"request", Facts.Id},
                 {"target", life.Id},
                 {"other_target", RefusalFacts.IsWrongTarget},
                 {"view_number", Flow.view().version().Number}});
  if (!IsKeyed && mayRepeat())
    return tryNext();
  refuse(ResultCode::NotRunTargetRefused, "the target refused the request",
         RefusalFacts.IsWrongTarget ? NoHolderRetry : BusyRetry);
}

void EntryRequest::onLost(const keyspace::TargetInstance &life,
                          const gateway::TargetOutcome &outcome) {
  MayHaveRun = MayHaveRun || outcome.MayHaveRun;
  base::logWarning("entry", outcome.Code, "a call to a target failed",
                   {{"request", Facts.Id},
                    {"target", life.Id},
                    {"may_have_run", outcome.MayHaveRun},
                    {"left_ms", base::toMs(left())},
                    {"error", outcome.Message}});
  const bool IsIdempotent = Route->Kind != routing::RouteKind::AtMostOnce;
  const PooledTarget *next = chooseTarget();
  // The same holder again, while it turns away what comes, helps nobody.
  const bool IsUseful =
      next && (!IsKeyed || next->hasRoom(base::readMonotonic()));
  if ((IsIdempotent || !MayHaveRun) && IsUseful && mayRepeat())
    return tryNext();
  if (MayHaveRun)
    return fail(outcome.Code == ResultCode::TargetTimeout
                    ? ResultCode::OutcomeUnknownDeadline
                    : ResultCode::OutcomeUnknownTargetLost,
                outcome.Message);
  refuse(ResultCode::NotRunNoTarget, outcome.Message, BusyRetry);
}

bool EntryRequest::mayRepeat() {
  if (Tried.size() >= Route->MaxAttempts || left() <= base::Duration::zero())
    return false;
  return Flow.budgetOf(Service).tryTake();
}

void EntryRequest::armTimer(base::MonoTime time) {
  Timer.expires_after(base::delayUntil(time));
  Timer.async_wait(
      [self = shared_from_this()](const boost::system::error_code &ec) {
        if (!ec && !self->IsFinished && self->IsWaiting)
          self->onTimer();
      });
}

void EntryRequest::onTimer() {
  if (MayHaveRun)
    return fail(ResultCode::OutcomeUnknownDeadline, "the deadline passed");
  refuse(IsWaiting ? ResultCode::NotRunNoTarget : ResultCode::NotRunDeadline,
         IsWaiting ? "the key has no holder" : "the deadline passed",
         NoHolderRetry);
}

void EntryRequest::cancel() {
  if (IsFinished)
    return;
  countOutcome(Route ? Route->Name : "", "cancelled",
               base::readMonotonic() - ArrivedAt);
  if (auto cancel = std::exchange(CancelCall, nullptr))
    cancel();
  finish();
}

void EntryRequest::deliver() {
  Flow.link().learn(Route->Name, static_cast<double>(Body.size()));
  LinkBytes = 0;
  Head.Length = Body.size();
  Sink.Head(std::move(Head));
  deliverRest();
}

void EntryRequest::deliverRest() {
  const std::size_t n = isLarge()
                            ? std::min(AnswerPartBytes, Body.size() - Delivered)
                            : Body.size();
  const bool IsLast = Delivered + n == Body.size();
  auto part = Body.substr(Delivered, n);
  Delivered += n;
  if (n > 0)
    Sink.Chunk(std::move(part), [self = shared_from_this(), n, IsLast] {
      if (self->IsFinished || IsLast)
        return;
      const auto now = base::readMonotonic();
      const auto wait = self->Flow.outgoing().take(n, now);
      self->pace(wait, [self] { self->deliverRest(); });
    });
  if (!IsLast)
    return;
  countOutcome(Route->Name, "answered", base::readMonotonic() - ArrivedAt);
  Sink.End();
  finish();
}

bool EntryRequest::isLarge() const { return Body.size() > LargeAnswerBytes; }

void EntryRequest::askMore(std::size_t bytes, std::function<void()> more) {
  if (!isLarge() && Head.Length.value_or(0) <= LargeAnswerBytes)
    return more();
  pace(Flow.incoming().take(bytes, base::readMonotonic()), std::move(more));
}

void EntryRequest::pace(base::Duration wait, std::function<void()> next) {
  if (wait <= base::Duration::zero())
    return next();
  PaceTimer.expires_after(wait);
  PaceTimer.async_wait([self = shared_from_this(), next = std::move(next)](
                           const boost::system::error_code &ec) {
    if (!ec && !self->IsFinished)
      next();
  });
}

void EntryRequest::refuse(ResultCode code, std::string message,
                          base::Duration RetryAfter) {
  // An earlier try of an idempotent request may have run.
  if (MayHaveRun)
    return fail(ResultCode::OutcomeUnknownTargetLost, std::move(message));
  base::logInfo(
      "entry", "a request was refused",
      {{"request", Facts.Id},
       {"reason", base::nameOf(code)},
       {"service", Service},
       {"key", Facts.Key ? static_cast<std::int64_t>(*Facts.Key) : -1},
       {"tried", Tried.size()},
       {"age_ms", base::toMs(base::readMonotonic() - ArrivedAt)},
       {"view_term", Flow.view().version().Term},
       {"view_number", Flow.view().version().Number}});
  answerFailure(code, std::move(message), RetryAfter);
}

void EntryRequest::fail(ResultCode code, std::string message) {
  base::logWarning("entry", code, "the outcome of a request is unknown",
                   {{"request", Facts.Id},
                    {"service", Service},
                    {"tried", Tried.size()},
                    {"error", message}});
  answerFailure(code, std::move(message), {});
}

void EntryRequest::answerFailure(ResultCode code, std::string message,
                                 base::Duration RetryAfter) {
  countOutcome(Route ? Route->Name : "", base::nameOf(code),
               base::readMonotonic() - ArrivedAt);
  auto reply = gateway::renderFailure({code, std::move(message), 0});
  protocol::AnswerHead head;
  head.Status = reply.Status;
  head.Headers = std::move(reply.Headers);
  std::erase_if(head.Headers, [](const protocol::HttpHeader &header) {
    return header.Name == "Retry-After";
  });
  if (RetryAfter > base::Duration::zero())
    head.Headers.push_back(
        {"Retry-After", Flow.dialect().WriteRetryAfter(RetryAfter)});
  head.Headers.push_back({"Content-Type", reply.ContentType});
  gateway::sendAnswer(Sink, std::move(head), std::move(reply.Body));
  finish();
}

void EntryRequest::finish() {
  IsFinished = true;
  Flow.link().release(LinkBytes);
  Timer.cancel();
  PaceTimer.cancel();
  Flow.finish(shared_from_this());
}

} // namespace magnoliamill::entry
