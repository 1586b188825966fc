// Handles one client attempt. Each attempt ends in exactly one of: the answer
// of a target, a refusal that guarantees it has not run, or an unknown outcome.
#pragma once

#include "entry/EntryFormat.h"
#include "entry/TargetPool.h"
#include "gateway/HttpServer.h"
#include "gateway/TargetClient.h"
#include "routing/ConfigItems.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace magnoliamill::entry {

class RequestHandler;

class EntryRequest : public std::enable_shared_from_this<EntryRequest> {
public:
  EntryRequest(RequestHandler &handler, gateway::HttpCall call,
               protocol::AnswerSink sink);

  void start();
  /// The client has disconnected.
  void cancel();
  /// The view has changed: continues a request that waits for the key's holder
  /// if there is one now.
  void onView();

private:
  bool readMetadata();
  bool findRoute();
  /// Reserves the VM's network link for the answer. Refuses the request and
  /// returns false if the backlog of reserved answers is too long.
  bool reserveLink();
  void tryNext();
  PooledTarget *chooseTarget();
  void send(PooledTarget &target);
  void onDone(const keyspace::TargetInstance &instance,
              const gateway::TargetOutcome &outcome);
  void onRefused(const keyspace::TargetInstance &instance);
  void onLost(const keyspace::TargetInstance &instance,
              const gateway::TargetOutcome &outcome);
  /// Takes a retry from the service's budget. False if the request has no
  /// attempts or time left, or the budget is used up.
  bool tryTakeRetry();
  gateway::AnswerKind classifyAnswer(const protocol::AnswerHead &head);
  void waitForHolder();
  void startTimer(base::MonoTime time);
  void onTimer();
  /// Calls \p more to read the next part of the answer, after the time that the
  /// link needs for the last part of \p bytes if the answer is large.
  void requestMore(std::size_t bytes, std::function<void()> more);
  bool isLarge() const;
  /// Calls \p next after \p wait, unless the request has ended by then.
  void runAfter(base::Duration wait, std::function<void()> next);
  void deliver();
  /// Sends the next part of the answer to the client; schedules the following
  /// ones.
  void deliverNextPart();
  void refuse(base::ResultCode code, std::string message,
              base::Duration RetryAfter);
  void fail(base::ResultCode code, std::string message);
  void answerFailure(base::ResultCode code, std::string message,
                     base::Duration RetryAfter);
  void finish();
  base::Duration timeLeft() const;

  RequestHandler &Handler;
  gateway::HttpCall Request;
  protocol::AnswerSink Sink;
  base::MonoTime ArrivedAt;
  base::MonoTime Deadline = base::MonoTime::max();
  RequestMetadata Metadata;
  std::optional<routing::Route> Route;
  std::string Service;
  bool IsKeyed = false;

  boost::asio::steady_timer Timer;
  boost::asio::steady_timer PaceTimer;
  protocol::CancelHook CancelCall;
  /// Targets to which the request was sent.
  std::vector<keyspace::TargetInstance> Tried;
  /// Bytes of the link budget that are reserved for the answer.
  double ReservedLinkBytes = 0;
  bool IsWaiting = false;
  bool IsFinished = false;
  /// True if a target may have run the request.
  bool MayHaveRun = false;
  AnswerMetadata RefusalMetadata;
  protocol::AnswerHead Head;
  std::string Body;
  /// Bytes of the body that were passed on to the client.
  std::size_t DeliveredBytes = 0;
};

} // namespace magnoliamill::entry
