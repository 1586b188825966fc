// Handles one client attempt. Each attempt ends in exactly one of: the answer
// of a target, a refusal that guarantees it has not run, or an unknown outcome.
#pragma once

#include "entry/AnswerBody.h"
#include "entry/EntryFormat.h"
#include "entry/OwedAnswers.h"
#include "entry/PermitClient.h"
#include "entry/RequestOrigin.h"
#include "entry/TargetPool.h"
#include "gateway/HttpServer.h"
#include "gateway/TargetClient.h"
#include "routing/ConfigItems.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliamill::entry {

class RequestHandler;

/// One attempt to get a permit.
struct PermitStep {
  /// The data centre whose cores issue the permit.
  std::string DataCentre;
  /// The name by which one of these cores is chosen.
  std::string Name;
  /// The holder of the request's key, if it has one.
  std::optional<keyspace::TargetInstance> Holder;
  /// Whether the request may wait there.
  bool MayWait = true;
};

/// What an unfinished request waits for.
enum class RequestStage {
  /// A holder of its key, or a permit.
  WaitingForTarget,
  /// The head of the target's answer.
  AtTarget,
  /// More of the answer's body.
  Receiving,
  /// Its turn on the VM's network link.
  Paced,
  /// The client's connection, which has not accepted the last part yet.
  Sending,
};
std::string_view nameOf(RequestStage stage);

class EntryRequest : public std::enable_shared_from_this<EntryRequest> {
public:
  EntryRequest(RequestHandler &handler, gateway::HttpCall call,
               protocol::AnswerSink sink, RequestOrigin origin);

  void start();
  /// The client has disconnected.
  void cancel();
  /// The view has changed: continues a request that waits for the key's holder
  /// if there is one now.
  void onView();
  /// \p target asked for a pause: refuses a request that waits for a permit
  /// there.
  void onPause(const keyspace::TargetInstance &target);

  /// The view has changed: if the request waits for a permit in an evacuated
  /// data centre, it asks elsewhere or waits for the key's next holder.
  void leaveEvacuated();

  /// This VM stops: refuses the request unless a target has it or the time
  /// until the exit suffices for it.
  void onStop();

  RequestStage stage() const;
  /// Bytes of the answer, as far as known, that were not passed on yet.
  std::uint64_t owedBytes() const;
  /// What the link has to pass on for this request; nothing without a route.
  std::optional<OwedAnswer> owedAnswer() const;
  /// Writes one log line on what is owed to the client and why.
  void logUnfinished(std::string_view text) const;

private:
  bool readMetadata();
  bool findRoute();
  void refuseUnknownRoute();
  /// Reserves the VM's network link for the answer. Refuses the request and
  /// returns false if the backlog of reserved answers is too long.
  bool reserveLink();
  /// False if this VM stops and may exit before the end of the answer.
  bool fitsStop() const;
  /// Refuses the request and returns true unless it fits.
  bool refuseUnlessFitsStop();
  /// Refuses the request and returns true if several targets have ended while
  /// they had the same one.
  bool refuseIfQuarantined();
  void tryNext();
  /// Sends the request to \p target if it has room; otherwise waits for a
  /// holder or refuses the request.
  void trySend(PooledTarget *target);
  /// Refuses the request and returns true if no target may get it now because
  /// of what the targets told about themselves.
  bool refuseIfClosed();
  /// Refuses the request and returns true if this VM may send no more requests
  /// without a permit to the targets that could get it.
  bool refuseIfRateReached();
  /// Refuses the request and returns true if it has no permit and only targets
  /// that warm up could get it.
  bool refuseIfWarmingUp();
  /// The same for \p opens, the time from which a target may get the request.
  bool refuseUntil(base::MonoTime opens, std::string message);
  /// Asks for a permit and returns true, unless the request is to be sent
  /// without one.
  bool askPermit();
  /// The cores to ask for a permit, in this order.
  std::deque<PermitStep> planPermitSteps();
  std::uint64_t ask(const PermitStep &step);
  void onPermit(const PermitResult &result);
  /// Sends the request to the target of a permit, unless the key has moved or
  /// the target has departed or closed while the request waited.
  void usePermit(const PermitResult &result);
  /// Gives up a permit, or the wait for one, in an evacuated data centre.
  void replacePermit();
  /// Returns a permit for a target that is not ready in the view, and requests
  /// another one.
  void returnPermit(const PermitResult &result);
  void endPermit(admission::PermitUse use, base::Duration latency = {});
  PooledTarget *chooseTarget();
  /// False if this VM can't connect to any target that could get the request.
  bool isTargetReachable();
  /// Relays the request to another entry, or refuses it if it was relayed
  /// itself, and returns true unless a target can be reached or no other entry
  /// is known.
  bool relayUnlessReachable();
  void relayTo(const std::string &host);
  gateway::AnswerKind classifyRelayed(const protocol::AnswerHead &head);
  void onRelayDone(const gateway::TargetOutcome &outcome);
  void onRelayRefused(const std::string &text);
  /// Applies and removes what the entry that relayed this request sent with it.
  /// Refuses the request and returns false if this VM has another version of
  /// its route.
  bool readRelayHeaders();
  /// Adds the target to the answer to a relayed request.
  void nameAnsweringTarget();
  void send(PooledTarget &target);
  /// Whether the request may still be written to \p instance.
  bool mayWrite(const keyspace::TargetInstance &instance) const;
  /// Whether \p instance has a limit while it warms up, and the request has no
  /// permit that is still counted there.
  bool lacksPermit(const keyspace::TargetInstance &instance,
                   base::MonoTime now) const;
  /// The request without an address.
  gateway::TargetCall makeCall();
  /// Starts a call whose answer is delivered to the client.
  void startCall(gateway::TargetCall call,
                 std::function<void(const gateway::TargetOutcome &)> done);
  void onHead();
  void onDone(const keyspace::TargetInstance &instance,
              const gateway::TargetOutcome &outcome);
  void onRefused(const keyspace::TargetInstance &instance);
  void onLost(const keyspace::TargetInstance &instance,
              const gateway::TargetOutcome &outcome);
  /// Empty if the view does not have the target any more.
  std::string dataCentreOf(const keyspace::TargetInstance &instance) const;
  /// Takes a retry from the service's budget. False if the request has no
  /// attempts or time left, this VM may exit before its end, or the budget is
  /// used up.
  bool tryTakeRetry();
  gateway::AnswerKind classifyAnswer(const protocol::AnswerHead &head,
                                     bool IsReused);
  void waitForHolder();
  void startTimer(base::MonoTime time);
  void onTimer();
  /// Calls \p more to read the next part of the answer, after the time that the
  /// link needs for the last part of \p bytes if the answer is large.
  void requestMore(std::size_t bytes, std::function<void()> more);
  bool isLarge() const;
  /// Calls \p next after \p wait, unless the request has ended by then.
  void runAfter(boost::asio::steady_timer &timer, base::Duration wait,
                std::function<void()> next);
  /// More of the body has arrived; starts or resumes the delivery of a large
  /// answer.
  void onBodyGrown();
  /// The answer is complete.
  void deliver();
  void startDelivery(std::size_t bytes);
  void resumeDelivery();
  /// Breaks an answer off of which the client has a part.
  void abortDelivery(const gateway::TargetOutcome &outcome);
  /// Sends the next part of the answer to the client; schedules the following
  /// ones.
  void deliverNextPart();
  void refuse(base::ResultCode code, std::string message,
              base::Duration RetryAfter);
  void fail(base::ResultCode code, std::string message);
  void answerFailure(base::ResultCode code, std::string message,
                     base::Duration RetryAfter);
  /// The target or the entry to which the request was sent last; empty if it
  /// was not sent.
  std::string lastRecipient() const;
  void logIfLate() const;
  void finish();
  base::Duration timeLeft() const;
  /// Hash of what the request contains.
  std::uint64_t content();

  /// Retry-After value while the key has no holder. A handover takes less time,
  /// replacing a lost holder takes more.
  static constexpr base::Duration NoHolderRetryAfter =
      std::chrono::milliseconds(250);

  RequestHandler &Handler;
  /// Its body is in RequestBody.
  gateway::HttpCall Request;
  std::shared_ptr<const std::string> RequestBody;
  protocol::AnswerSink Sink;
  RequestOrigin Origin;
  base::MonoTime ArrivedAt;
  base::MonoTime Deadline = base::MonoTime::max();
  RequestMetadata Metadata;
  /// Computed when it is needed first.
  std::optional<std::uint64_t> Content;
  std::optional<routing::Route> Route;
  std::string Service;
  bool IsKeyed = false;

  boost::asio::steady_timer Timer;
  /// Pace the receipt and the delivery of a large answer.
  boost::asio::steady_timer ReadTimer;
  boost::asio::steady_timer DeliveryTimer;
  protocol::CancelHook CancelCall;
  /// When the request was last sent to a target.
  base::MonoTime SentAt;
  /// When the head of the answer arrived; not set before that.
  std::optional<base::MonoTime> HeadAt;
  /// Targets to which the request was sent.
  std::vector<keyspace::TargetInstance> Tried;
  /// The permit that was asked for or granted; 0 for none.
  std::uint64_t Permit = 0;
  /// When the permit was granted.
  base::MonoTime PermitGrantedAt;
  /// The step of that permit.
  PermitStep AskedStep;
  /// Permits that were returned because of this VM's view or an evacuation.
  std::uint32_t ReturnedPermits = 0;
  /// The steps that remain until a permit is granted. Not set before the first.
  std::optional<std::deque<PermitStep>> PermitSteps;
  /// The shortest time to return of the steps that were refused.
  std::optional<base::Duration> PermitRetryAfter;
  bool SkipsPermit = false;
  /// Bytes of the link budget that are reserved for the answer.
  double ReservedLinkBytes = 0;
  bool IsWaiting = false;
  bool IsFinished = false;
  /// True if a target may have run the request.
  bool MayHaveRun = false;
  AnswerMetadata RefusalMetadata;
  /// Entries to which the request was relayed.
  std::vector<std::string> RelayHosts;
  struct {
    base::ResultCode Code = base::ResultCode::Ok;
    base::Duration RetryAfter{};
  } RelayRefusal;
  /// What the target's answer says about the target. Not set before the answer.
  std::optional<fleet::TargetNotice> Notice;
  protocol::AnswerHead Head;
  AnswerBody Body;
  /// Size of the whole body; set when the delivery starts.
  std::size_t AnswerBytes = 0;
  /// Bytes of the body that were passed on to the client.
  std::size_t DeliveredBytes = 0;
  bool IsDelivering = false;
  /// The delivery waits for more of the body.
  bool IsDeliveryIdle = false;
  /// The client's connection has not accepted the last part yet.
  bool IsSending = false;
  bool IsBodyComplete = false;
};

} // namespace magnoliamill::entry
