// One call to a target, from taking a connection to the last byte of the
// answer.
#pragma once

#include "gateway/TargetClient.h"
#include "gateway/internal/ConnectionPool.h"
#include "gateway/internal/TargetMessage.h"
#include "gateway/internal/UnusedInputLimit.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace magnoliamill::gateway::internal {

/// Sends one request and passes its answer to the sink; used on the event loop
/// only.
class TargetExchange : public std::enable_shared_from_this<TargetExchange> {
public:
  using DoneHook = std::function<void(TargetOutcome)>;

  TargetExchange(boost::asio::io_context &context,
                 std::shared_ptr<ConnectionPool> pool,
                 TargetClientConfig config, TargetCall call,
                 protocol::AnswerSink sink, DoneHook done);

  void start();
  /// Closes the connection; the call ends with NotRunCancelled as its code.
  void cancel();

private:
  using ErrorCode = boost::system::error_code;

  void takeConnection(bool fresh);
  void connect();
  void onConnected(ErrorCode ec);
  void armTimer(base::MonoTime time);
  void onTimer(base::MonoTime time);
  void write();
  void onWritten(ErrorCode ec, std::size_t n);
  void readMore();
  void onRead(ErrorCode ec, std::size_t n);
  void processInput();
  bool parseSome(std::string &chunk);
  bool onHeader();
  bool classifyAnswer();
  /// True from the head of the answer to the call's own request on.
  bool isAnswering() const { return IsHeadSeen && !IsStale; }
  void resetParser();
  void discardStaleAnswer();
  void deliver(std::string chunk);
  void onMore();
  void onConnectionLost(ErrorCode ec);
  bool retryOnNewConnection();
  void complete();
  void fail(base::ResultCode code, std::string message);
  void finish(TargetOutcome outcome);
  void releaseConnection(bool reusable);

  boost::asio::io_context &Context;
  std::shared_ptr<ConnectionPool> Pool;
  TargetClientConfig Config;
  TargetCall Call;
  protocol::AnswerSink Sink;
  DoneHook Done;
  boost::asio::steady_timer Timer;
  ConnectionPtr Connection;
  TargetRequest Message;
  std::optional<TargetResponseParser> Parser;
  /// Over all answers on the connections of this call.
  UnusedInputLimit UnusedInput;
  base::MonoTime StartedAt;
  /// The time the timer is armed for, on the clock of base::readMonotonic.
  base::MonoTime TimerExpiry;
  base::MonoTime HeadAt;
  /// True if a byte of the request may have left this VM. It is reset only if a
  /// write fails before its first byte and it was false before.
  bool IsWritten = false;
  bool HasRetried = false;
  /// The request was written before, and its connection was lost.
  bool HasLostAnswer = false;
  bool IsConnecting = false;
  bool HasConnectTimedOut = false;
  bool IsHeadSeen = false;
  /// The target refused the request before running it: the answer is not passed
  /// on.
  bool IsRefused = false;
  /// The answer belongs to an earlier request: it is read and discarded.
  bool IsStale = false;
  std::string RefusalText;
  bool IsProcessingInput = false;
  /// The receiver has a chunk and has not requested the next one yet.
  bool IsAwaitingMore = false;
  bool IsFinished = false;
};

} // namespace magnoliamill::gateway::internal
