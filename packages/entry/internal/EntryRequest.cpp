// Routes one client attempt to a target, retries it and passes the answer on.
#include "entry/EntryRequest.h"

#include "base/HttpStatus.h"
#include "base/Log.h"
#include "base/Metrics.h"
#include "entry/RequestContent.h"
#include "entry/RequestHandler.h"
#include "gateway/HeaderRules.h"
#include "gateway/HttpGateway.h"

#include <algorithm>
#include <prometheus/counter.h>
#include <prometheus/histogram.h>

namespace magnoliamill::entry {

using base::ResultCode;

namespace {

/// Used for clients that don't send a timeout.
constexpr base::Duration DefaultClientTimeout = std::chrono::seconds(30);
/// Retry-After value if the target is at capacity. It finishes one or two
/// requests in this time.
constexpr base::Duration BusyRetryAfter = std::chrono::milliseconds(150);
/// A connection that is reset within this time, which is shorter than any
/// request takes, exceeded the target's connection limit.
constexpr base::Duration ImmediateResetLimit = std::chrono::milliseconds(12);
/// Answers that occupy the link for longer than this are treated as large when
/// the link is reserved.
constexpr base::Duration LargeAnswerTime = std::chrono::milliseconds(20);
/// A large answer may wait for the link for its latency objective divided by
/// this.
constexpr int LargeObjectiveDivisor = 3;
/// Upper bound of Retry-After if the link is busy: by then the client has
/// reached another VM, or this link is free.
constexpr base::Duration MaxLinkRetryAfter = std::chrono::milliseconds(400);
/// A request waits for its key's holder for the remaining time divided by this.
constexpr int HolderWaitDivisor = 3;
/// Changes have to be in force within this time. A view that was not confirmed
/// for longer may lack a route.
constexpr base::Duration MaxRouteAge = std::chrono::seconds(2);
/// Bounds the host and the path in a log line, in bytes.
constexpr std::size_t MaxLoggedName = 64;
/// First status by which a target says that it failed.
constexpr std::uint16_t FirstServerError = 500;

std::string nameOf(const keyspace::TargetInstance &instance) {
  return instance.Id + " " + std::to_string(instance.StartedAtMs);
}

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

EntryRequest::EntryRequest(RequestHandler &handler, gateway::HttpCall call,
                           protocol::AnswerSink sink, RequestOrigin origin)
    : Handler(handler), Request(std::move(call)),
      RequestBody(std::make_shared<std::string>(std::move(Request.Body))),
      Sink(std::move(sink)), Origin(origin), ArrivedAt(base::readMonotonic()),
      Timer(handler.loop().context()), ReadTimer(handler.loop().context()),
      DeliveryTimer(handler.loop().context()), Body(handler.memory()) {}

base::Duration EntryRequest::timeLeft() const {
  return Deadline - base::readMonotonic();
}

std::uint64_t EntryRequest::content() {
  if (!Content)
    Content = hashContent(Metadata, Request, *RequestBody);
  return *Content;
}

void EntryRequest::start() {
  if (Handler.view().config().empty())
    return refuse(ResultCode::NotRunNotReady,
                  "this VM has no configuration yet", NoHolderRetryAfter);
  if (!readMetadata())
    return;
  if (!findRoute() || refuseUnlessFitsStop() || !reserveLink())
    return;
  Handler.retryBudgetOf(Service).onAnswer();
  tryNext();
}

bool EntryRequest::readMetadata() {
  auto metadata = Handler.format().ReadRequest(Request.Headers);
  if (!metadata) {
    answerFailure(metadata.error().Code, metadata.error().Message, {});
    return false;
  }
  Metadata = std::move(metadata.value());
  return true;
}

bool EntryRequest::findRoute() {
  const auto *route = Handler.routes().match(Metadata.Host, Request.Target);
  if (route)
    Route = *route;
  if (Origin == RequestOrigin::Entry && !readRelayHeaders())
    return false;
  if (!route) {
    refuseUnknownRoute();
    return false;
  }
  Deadline = ArrivedAt +
             std::min(Metadata.ClientTimeout.value_or(DefaultClientTimeout),
                      Route->Timeout);
  Service = Handler.chooseService(*Route);
  const auto *service = Handler.view().config().findService(Service);
  IsKeyed = service && service->IsKeyed;
  if (IsKeyed && !Metadata.Key) {
    answerFailure(ResultCode::MissingKey, "the service needs a key", {});
    return false;
  }
  // The entry that relays a request has counted it.
  if (IsKeyed && Origin == RequestOrigin::Client)
    Handler.countRequest(Service, *Metadata.Key);
  return true;
}

void EntryRequest::refuseUnknownRoute() {
  const auto host = std::string_view(Metadata.Host).substr(0, MaxLoggedName);
  const auto path = std::string_view(Request.Target).substr(0, MaxLoggedName);
  base::logInfo("entry", "a request matches no route",
                {{"request", Metadata.Id},
                 {"host", host},
                 {"path", path},
                 {"routes", Handler.view().config().countRoutes()},
                 {"unconfirmed_ms", base::toMs(Handler.viewAge())},
                 {"view_term", Handler.view().version().Term},
                 {"view_number", Handler.view().version().Number}});
  if (Handler.viewAge() > MaxRouteAge)
    return refuse(ResultCode::NotRunNotReady,
                  "no route matches, but this VM's configuration may be old",
                  NoHolderRetryAfter);
  answerFailure(ResultCode::UnknownRoute, "no route matches", {});
}

bool EntryRequest::reserveLink() {
  const auto own = Handler.link().expectedTime(Route->Name);
  // Small answers are sent between the parts of large ones.
  const bool IsLarge = own > LargeAnswerTime;
  auto backlog = Handler.link().backlog(ArrivedAt);
  if (IsLarge)
    backlog = std::max({backlog, Handler.link().largeBacklog(ArrivedAt),
                        Handler.outgoing().transferTime(
                            static_cast<double>(Handler.owedBytes()))});
  const auto limit = IsLarge ? Route->LatencyObjective / LargeObjectiveDivisor
                             : Route->LatencyObjective;
  if (backlog > limit) {
    refuse(ResultCode::NotRunQueueFull,
           "the network link of this VM is overloaded",
           std::min(backlog / 2, MaxLinkRetryAfter));
    return false;
  }
  ReservedLinkBytes = Handler.link().reserve(Route->Name, ArrivedAt);
  return true;
}

bool EntryRequest::refuseIfQuarantined() {
  const auto &quarantine = Handler.crashes().quarantine();
  if (quarantine.isEmpty())
    return false;
  const auto now = base::readMonotonic();
  const auto end = quarantine.endOf(content(), now);
  if (!end)
    return false;
  refuse(ResultCode::NotRunQuarantined,
         "several targets have ended while they had this request", *end - now);
  return true;
}

PooledTarget *EntryRequest::chooseTarget() {
  const auto now = base::readMonotonic();
  if (!IsKeyed)
    return Handler.pool().choose(Service, Tried, now);
  const auto *holder = Handler.view().holderOf(Service, *Metadata.Key);
  return holder ? Handler.pool().findServing(*holder, now) : nullptr;
}

void EntryRequest::tryNext() {
  if (timeLeft() <= base::Duration::zero())
    return onTimer();
  if (!refuseIfQuarantined() && !refuseIfClosed() && !relayUnlessReachable() &&
      !askPermit())
    trySend(chooseTarget());
}

void EntryRequest::trySend(PooledTarget *target) {
  const auto now = base::readMonotonic();
  if (refuseIfRateReached())
    return;
  if (target && IsKeyed && !target->hasRoom(now))
    return refuse(ResultCode::NotRunQueueFull,
                  "the key's holder is at capacity",
                  std::max(target->Busy.until() - now, base::Duration::zero()) +
                      BusyRetryAfter);
  if (refuseIfWarmingUp())
    return;
  if (target)
    return send(*target);
  if (IsKeyed && Tried.empty() && !IsWaiting)
    return waitForHolder();
  refuse(ResultCode::NotRunNoTarget, "no target is available for the request",
         NoHolderRetryAfter);
}

void EntryRequest::waitForHolder() {
  IsWaiting = true;
  Handler.setWaiting(shared_from_this(), true);
  startTimer(base::readMonotonic() + timeLeft() / HolderWaitDivisor);
}

void EntryRequest::onView() {
  if (!IsWaiting || IsFinished || !chooseTarget())
    return;
  IsWaiting = false;
  Handler.setWaiting(shared_from_this(), false);
  tryNext();
}

void EntryRequest::send(PooledTarget &target) {
  const keyspace::TargetInstance instance = target.Description.Instance;
  Tried.push_back(instance);
  ++target.InFlight;
  SentAt = base::readMonotonic();
  if (Permit == 0)
    Handler.pool().notices().onSentWithoutPermit(instance, SentAt);
  auto call = makeCall();
  call.Address = target.Address;
  Handler.format().AddTargetHeaders(call.Request.Headers, instance.Id);
  auto self = shared_from_this();
  // Connecting takes time, and a request may be sent again on a new connection.
  call.MayWrite = [self, instance] { return self->mayWrite(instance); };
  call.Classify = [self](const protocol::AnswerHead &head, bool IsReused) {
    return self->classifyAnswer(head, IsReused);
  };
  startCall(std::move(call),
            [self, instance](const gateway::TargetOutcome &outcome) {
              self->onDone(instance, outcome);
            });
}

bool EntryRequest::mayWrite(const keyspace::TargetInstance &instance) const {
  const auto now = base::readMonotonic();
  const bool LacksPermit = lacksPermit(instance, now);
  if (Handler.pool().mayGetRequests(instance, now) && !LacksPermit)
    return true;
  base::logInfo("entry",
                LacksPermit ? "a call without a current permit is not written, "
                              "its target warms up"
                            : "a call is not written, its target has closed",
                {{"request", Metadata.Id},
                 {"target", instance.Id},
                 {"attempt", Tried.size()},
                 {"since_sent_ms", base::toMs(now - SentAt)},
                 {"view_term", Handler.view().version().Term},
                 {"view_number", Handler.view().version().Number}});
  return false;
}

gateway::TargetCall EntryRequest::makeCall() {
  gateway::TargetCall call;
  call.Host = Metadata.Host;
  call.Request.Method = Request.Method;
  call.Request.Target = Request.Target;
  call.Request.Headers = Request.Headers;
  call.SharedBody = RequestBody;
  gateway::stripConnectionHeaders(call.Request.Headers);
  call.Deadline = Deadline;
  call.Idempotent = Route->Kind != routing::RouteKind::AtMostOnce;
  call.AcceptsCloseDelimited = true;
  return call;
}

void EntryRequest::startCall(
    gateway::TargetCall call,
    std::function<void(const gateway::TargetOutcome &)> done) {
  SentAt = base::readMonotonic();
  HeadAt.reset();
  Notice.reset();
  Head = {};
  Body.clear();
  auto self = shared_from_this();
  protocol::AnswerSink sink;
  sink.Head = [self](protocol::AnswerHead head) {
    self->Head = std::move(head);
    self->onHead();
  };
  // Answers are buffered, so that a request whose target fails can be retried:
  // small ones completely, large ones by half.
  sink.Chunk = [self](const std::string &data,
                      const std::function<void()> &more) {
    if (!self->Body.append(data))
      return std::exchange(self->CancelCall, nullptr)();
    self->onBodyGrown();
    self->requestMore(data.size(), more);
  };
  sink.End = [] {};
  sink.Fail = [](const protocol::RequestFailure &) {};
  auto cancel = Handler.client().call(
      std::move(call), std::move(sink),
      [self, done = std::move(done)](gateway::TargetOutcome outcome) {
        if (self->Body.hasOverflowed()) {
          outcome.Code = ResultCode::TargetProtocol;
          outcome.Message = "the answer exceeds the memory for answers";
        }
        done(outcome);
      });
  if (!IsFinished)
    CancelCall = std::move(cancel);
}

gateway::AnswerKind
EntryRequest::classifyAnswer(const protocol::AnswerHead &head, bool IsReused) {
  const auto metadata = Handler.format().ReadAnswer(head.Status, head.Headers);
  if (!metadata.Id.empty() && metadata.Id != Metadata.Id)
    return gateway::AnswerKind::Stale;
  // It may be an earlier answer, written again.
  if (metadata.Id.empty() && IsReused)
    return gateway::AnswerKind::Invalid;
  // Another target at the address speaks only for itself.
  if (!metadata.IsWrongTarget) {
    Handler.readNotices(Tried.back(), metadata, Metadata.Id);
    Notice = fleet::TargetNotice{metadata.RateLimit, metadata.Load};
  }
  RefusalMetadata = metadata;
  if (metadata.IsNotRun)
    return gateway::AnswerKind::NotRun;
  return metadata.IsFromTarget ? gateway::AnswerKind::Deliver
                               : gateway::AnswerKind::Invalid;
}

void EntryRequest::onHead() {
  HeadAt = base::readMonotonic();
  // The target has done its work; the rest of the answer occupies only links.
  if (Head.Status < FirstServerError)
    endPermit(admission::PermitUse::Answered, *HeadAt - SentAt);
}

void EntryRequest::onDone(const keyspace::TargetInstance &instance,
                          const gateway::TargetOutcome &outcome) {
  CancelCall = nullptr;
  const auto now = base::readMonotonic();
  // The target closed to requests while the call was being connected.
  const bool IsClosed = outcome.Code == ResultCode::NotRunLeaseLost;
  const auto failure =
      IsClosed ? admission::PermitUse::Abandoned : admission::PermitUse::Failed;
  endPermit(outcome.Answered && outcome.Status < FirstServerError
                ? admission::PermitUse::Answered
                : failure,
            outcome.Latency);
  PooledTarget *target = Handler.pool().find(instance);
  if (target && target->InFlight > 0)
    --target->InFlight;
  if (target && outcome.HasConnectFailed)
    Handler.recordConnectFailure(*target, outcome.HasConnectTimedOut, SentAt);
  else if (target && (outcome.Answered ||
                      outcome.Code == ResultCode::NotRunTargetRefused))
    Handler.recordReached(*target, SentAt);
  if (IsFinished)
    return;
  const bool IsLost = !outcome.Answered && outcome.MayHaveRun &&
                      outcome.Code != ResultCode::TargetTimeout;
  if (IsLost && target)
    Handler.crashes().onLost(nameOf(instance), target->Address, content(),
                             Metadata.Id);
  if (IsDelivering && !outcome.Answered) {
    if (target)
      target->Health.onFailure(now);
    return abortDelivery(outcome);
  }
  if (outcome.Answered) {
    const bool IsFailure = outcome.Status >= FirstServerError;
    if (target && IsFailure)
      target->Health.onFailure(now);
    else if (target)
      target->Health.onSuccess(outcome.Latency, now);
    if (!IsFailure && !Handler.crashes().quarantine().isEmpty())
      Handler.crashes().onAnswered(content());
    if (target)
      target->Busy.onAnswer();
    if (IsKeyed && !IsFailure)
      Handler.speeds().onAnswer(instance, Route->Name, outcome.Latency);
    return deliver();
  }
  if (outcome.Code == ResultCode::NotRunTargetRefused)
    return onRefused(instance);
  if (target && !IsClosed)
    target->Health.onFailure(now);
  const bool IsImmediateReset = outcome.Code == ResultCode::TargetReset &&
                                outcome.Latency < ImmediateResetLimit;
  if (target && IsImmediateReset)
    target->Busy.onBusy(now);
  onLost(instance, outcome);
}

void EntryRequest::onRefused(const keyspace::TargetInstance &instance) {
  PooledTarget *target = Handler.pool().find(instance);
  if (target && !RefusalMetadata.IsWrongTarget)
    target->Busy.onBusy(base::readMonotonic());
  base::logInfo("entry", "a target refused a request",
                {{"request", Metadata.Id},
                 {"target", instance.Id},
                 {"other_target", RefusalMetadata.IsWrongTarget},
                 {"view_number", Handler.view().version().Number}});
  if (!IsKeyed && tryTakeRetry())
    return tryNext();
  if (refuseIfClosed() || refuseIfWarmingUp())
    return;
  refuse(ResultCode::NotRunTargetRefused, "the target refused the request",
         RefusalMetadata.IsWrongTarget ? NoHolderRetryAfter : BusyRetryAfter);
}

void EntryRequest::onLost(const keyspace::TargetInstance &instance,
                          const gateway::TargetOutcome &outcome) {
  MayHaveRun = MayHaveRun || outcome.MayHaveRun;
  base::logWarning("entry", outcome.Code, "a call to a target failed",
                   {{"request", Metadata.Id},
                    {"target", instance.Id},
                    {"data_centre", dataCentreOf(instance)},
                    {"content", node::formatContent(content())},
                    {"may_have_run", outcome.MayHaveRun},
                    {"left_ms", base::toMs(timeLeft())},
                    {"error", outcome.Message}});
  const bool IsIdempotent = Route->Kind != routing::RouteKind::AtMostOnce;
  const PooledTarget *next = chooseTarget();
  // Retrying the same holder while it refuses requests is useless.
  const auto now = base::readMonotonic();
  if (!MayHaveRun && relayUnlessReachable())
    return;
  const bool IsUseful =
      next && (!IsKeyed || !isTargetReachable() ||
               (next->hasRoom(now) && !Handler.pool().isWarmingUp(*next, now) &&
                Handler.pool().notices().opensWithoutPermit(
                    next->Description.Instance, now) <= now));
  if ((IsIdempotent || !MayHaveRun) && IsUseful && tryTakeRetry())
    return tryNext();
  if (MayHaveRun)
    return fail(outcome.Code == ResultCode::TargetTimeout
                    ? ResultCode::OutcomeUnknownDeadline
                    : ResultCode::OutcomeUnknownTargetLost,
                outcome.Message);
  if (refuseIfClosed() || refuseIfWarmingUp())
    return;
  refuse(ResultCode::NotRunNoTarget, outcome.Message, BusyRetryAfter);
}

std::string
EntryRequest::dataCentreOf(const keyspace::TargetInstance &instance) const {
  const auto *target = Handler.view().findTarget(instance);
  return target ? target->DataCentre : std::string();
}

bool EntryRequest::tryTakeRetry() {
  if (Tried.size() >= Route->MaxAttempts ||
      timeLeft() <= base::Duration::zero() || !fitsStop())
    return false;
  const auto &quarantine = Handler.crashes().quarantine();
  if (!quarantine.isEmpty() &&
      !quarantine.mayRetry(content(), base::readMonotonic()))
    return false;
  return Handler.retryBudgetOf(Service).tryTake();
}

void EntryRequest::startTimer(base::MonoTime time) {
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
         NoHolderRetryAfter);
}

void EntryRequest::cancel() {
  if (IsFinished)
    return;
  countOutcome(Route ? Route->Name : "", "cancelled",
               base::readMonotonic() - ArrivedAt);
  // Finished first: the end of the call must not count as a failure of its
  // target, nor lead to a retry.
  const auto cancel = std::exchange(CancelCall, nullptr);
  finish();
  if (cancel)
    cancel();
}

void EntryRequest::onBodyGrown() {
  if (IsDelivering)
    return resumeDelivery();
  // A large answer takes as long to pass on as to receive on a narrow link, so
  // both are done at the same time.
  const bool IsLargeDownload = Route->Kind == routing::RouteKind::Download &&
                               Head.Length.value_or(0) > LargeAnswerBytes;
  const bool IsStopping = Handler.stopAdmission().isStopping();
  if (IsLargeDownload && (IsStopping || Body.size() * 2 >= *Head.Length))
    startDelivery(*Head.Length);
}

void EntryRequest::deliver() {
  IsBodyComplete = true;
  if (IsDelivering)
    return resumeDelivery();
  Head.Length = Body.size();
  startDelivery(Body.size());
}

void EntryRequest::startDelivery(std::size_t bytes) {
  IsDelivering = true;
  AnswerBytes = bytes;
  Handler.link().recordSize(Route->Name, static_cast<double>(bytes));
  ReservedLinkBytes = 0;
  if (Origin == RequestOrigin::Entry)
    nameAnsweringTarget();
  Sink.Head(Head);
  deliverNextPart();
}

void EntryRequest::resumeDelivery() {
  if (std::exchange(IsDeliveryIdle, false))
    deliverNextPart();
}

void EntryRequest::deliverNextPart() {
  const std::size_t available = Body.size() - DeliveredBytes;
  const std::size_t n =
      isLarge() ? std::min(Handler.outgoing().partBytes(), available)
                : available;
  const bool IsLast = DeliveredBytes + n == AnswerBytes;
  // The last part waits until the answer is known to be complete.
  if (!IsBodyComplete && (n == 0 || IsLast)) {
    IsDeliveryIdle = true;
    return;
  }
  auto part = Body.take(n);
  DeliveredBytes += n;
  IsSending = n > 0;
  if (n > 0)
    Sink.Chunk(std::move(part), [self = shared_from_this(), n, IsLast] {
      self->IsSending = false;
      if (self->IsFinished || IsLast)
        return;
      const auto now = base::readMonotonic();
      const auto wait = self->Handler.outgoing().delayAfter(n, now);
      self->runAfter(self->DeliveryTimer, wait,
                     [self] { self->deliverNextPart(); });
    });
  if (!IsLast)
    return;
  countOutcome(Route->Name, "answered", base::readMonotonic() - ArrivedAt);
  logIfLate();
  Sink.End();
  finish();
}

void EntryRequest::abortDelivery(const gateway::TargetOutcome &outcome) {
  base::logWarning("entry", outcome.Code, "an answer was broken off",
                   {{"request", Metadata.Id},
                    {"target", lastRecipient()},
                    {"bytes", AnswerBytes},
                    {"delivered", DeliveredBytes},
                    {"error", outcome.Message}});
  countOutcome(Route->Name, base::nameOf(outcome.Code),
               base::readMonotonic() - ArrivedAt);
  Sink.Fail({outcome.Code, outcome.Message, 0});
  finish();
}

std::string EntryRequest::lastRecipient() const {
  if (!RelayHosts.empty())
    return RelayHosts.back();
  return Tried.empty() ? std::string() : Tried.back().Id;
}

void EntryRequest::logIfLate() const {
  const auto now = base::readMonotonic();
  if (now - ArrivedAt <= Route->LatencyObjective)
    return;
  base::logInfo("entry", "an answer was late",
                {{"request", Metadata.Id},
                 {"route", Route->Name},
                 {"target", lastRecipient()},
                 {"tried", Tried.size()},
                 {"waited_ms", base::toMs(SentAt - ArrivedAt)},
                 {"target_ms", base::toMs(HeadAt.value_or(now) - SentAt)},
                 {"delivery_ms", base::toMs(now - HeadAt.value_or(now))},
                 {"bytes", AnswerBytes}});
}

bool EntryRequest::isLarge() const { return AnswerBytes > LargeAnswerBytes; }

void EntryRequest::requestMore(std::size_t bytes, std::function<void()> more) {
  if (Body.size() <= LargeAnswerBytes &&
      Head.Length.value_or(0) <= LargeAnswerBytes)
    return more();
  runAfter(ReadTimer,
           Handler.incoming().delayAfter(bytes, base::readMonotonic()),
           std::move(more));
}

void EntryRequest::runAfter(boost::asio::steady_timer &timer,
                            base::Duration wait, std::function<void()> next) {
  if (wait <= base::Duration::zero())
    return next();
  timer.expires_after(wait);
  timer.async_wait([self = shared_from_this(), next = std::move(next)](
                       const boost::system::error_code &ec) {
    if (!ec && !self->IsFinished)
      next();
  });
}

void EntryRequest::refuse(ResultCode code, std::string message,
                          base::Duration RetryAfter) {
  // An earlier attempt at an idempotent request may have run.
  if (MayHaveRun)
    return fail(ResultCode::OutcomeUnknownTargetLost, std::move(message));
  base::logInfo(
      "entry", "a request was refused",
      {{"request", Metadata.Id},
       {"reason", base::nameOf(code)},
       {"service", Service},
       {"key", Metadata.Key ? static_cast<std::int64_t>(*Metadata.Key) : -1},
       {"tried", Tried.size()},
       {"age_ms", base::toMs(base::readMonotonic() - ArrivedAt)},
       {"view_term", Handler.view().version().Term},
       {"view_number", Handler.view().version().Number}});
  answerFailure(code, std::move(message), RetryAfter);
}

void EntryRequest::fail(ResultCode code, std::string message) {
  base::logWarning("entry", code, "the outcome of a request is unknown",
                   {{"request", Metadata.Id},
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
        {"Retry-After", Handler.format().WriteRetryAfter(RetryAfter)});
  head.Headers.push_back({"Content-Type", reply.ContentType});
  gateway::sendAnswer(Sink, std::move(head), std::move(reply.Body));
  finish();
}

void EntryRequest::finish() {
  IsFinished = true;
  endPermit(admission::PermitUse::Abandoned);
  Handler.link().release(ReservedLinkBytes);
  Body.clear();
  Timer.cancel();
  ReadTimer.cancel();
  DeliveryTimer.cancel();
  Handler.finish(shared_from_this());
}

} // namespace magnoliamill::entry
