// One client attempt on its way: each ends in exactly one answer of a target, a
// refusal that says it has not run, or an unknown outcome.
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
  /// The client has gone.
  void cancel();
  /// The view has changed: a request that waits for a holder may go on.
  void onView();

private:
  bool readMetadata();
  bool findRoute();
  /// False when the link of this VM is promised to others for too long.
  bool reserveLink();
  void tryNext();
  PooledTarget *chooseTarget();
  void send(PooledTarget &target);
  void onDone(const keyspace::TargetInstance &instance,
              const gateway::TargetOutcome &outcome);
  void onRefused(const keyspace::TargetInstance &instance);
  void onLost(const keyspace::TargetInstance &instance,
              const gateway::TargetOutcome &outcome);
  bool tryTakeRetry();
  gateway::AnswerVerdict classifyAnswer(const protocol::AnswerHead &head);
  void waitForHolder();
  void startTimer(base::MonoTime time);
  void onTimer();
  /// Asks the target for the part after one of \p bytes, when the link has
  /// room.
  void requestMore(std::size_t bytes, std::function<void()> more);
  bool isLarge() const;
  /// Goes on with \p next after \p wait, unless the request has ended.
  void runAfter(base::Duration wait, std::function<void()> next);
  void deliver();
  /// Passes the rest of the answer on, part by part.
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
  /// Targets that the request was sent to.
  std::vector<keyspace::TargetInstance> Tried;
  /// Bytes of the link that are promised to the answer.
  double ReservedLinkBytes = 0;
  bool IsWaiting = false;
  bool IsFinished = false;
  /// Set when a target may have run the request.
  bool MayHaveRun = false;
  AnswerMetadata RefusalMetadata;
  protocol::AnswerHead Head;
  std::string Body;
  /// Bytes of the body that were passed on.
  std::size_t DeliveredBytes = 0;
};

} // namespace magnoliamill::entry
