// HTTP towards targets: requests with tokens, grants, probes, cancellation.
#pragma once

#include "base/EventLoopThread.h"
#include "base/HostPort.h"
#include "base/Ids.h"
#include "base/Result.h"
#include "base/Time.h"
#include "base/Token.h"
#include "protocol/Messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace magnoliamill::gateway {

using TargetAddress = base::HostPort;

/// What an answer is worth, by its head.
enum class AnswerVerdict : std::uint8_t {
  /// The answer to the request.
  Deliver,
  /// The target says that it did not run the request.
  NotRun,
  /// The late answer to another request on this connection: the next one
  /// counts.
  Foreign,
  /// Bytes that are no answer to anything.
  Invalid,
};

struct TargetCall {
  TargetAddress Address;
  /// The Host header; empty for the target's address.
  std::string Host;
  protocol::ForwardRequest Request;
  /// Sent as Mill-Token; absent for services without keys.
  std::optional<base::Token> Token;
  std::optional<base::SlotNumber> Slot;
  base::MonoTime Deadline;
  bool Idempotent = false;
  /// Judges the head of an answer; left out, Mill-Not-Run decides.
  std::function<AnswerVerdict(const protocol::AnswerHead &)> Judge;
  /// Takes an answer without length, which ends with its connection.
  bool TakesUnframed = false;
  /// Asked immediately before the first byte is written. False: nothing is
  /// written and the call fails with NotRunLeaseLost.
  std::function<bool()> MayWrite;
};

/// How a call to a target ended, beside the answer in its sink.
struct TargetOutcome {
  /// False only when no byte of the request can have reached the target, or the
  /// target itself refused it before running it (Mill-Not-Run header).
  bool MayHaveRun = false;
  /// True when the whole answer came.
  bool Answered = false;
  std::uint16_t Status = 0;
  /// Ok, NotRunLeaseLost, NotRunTargetRefused, NotRunCancelled (look at
  /// MayHaveRun), AnswerTruncated (a head was passed on), or 8xxx.
  base::ResultCode Code = base::ResultCode::Ok;
  std::string Message;
  /// The target asked to come back later (503/429 with Mill-Not-Run).
  std::uint32_t RetryAfterMs = 0;
  /// From the start of the call to the head of the answer or the loss.
  base::Duration Latency{};
};

struct TargetClientConfig {
  /// The header that tells the target what is left of the deadline.
  std::string DeadlineHeader = "Mill-Deadline-Ms";
  base::Duration ConnectTimeout = std::chrono::milliseconds(250);
  /// A connection idle for longer is not used for non-idempotent requests.
  base::Duration MaxIdleForUnsafe = std::chrono::milliseconds(500);
  base::Duration MaxIdle = std::chrono::seconds(20);
  std::size_t MaxConnectionsPerTarget = 130;
  std::size_t ChunkBytes = 64u << 10;
};

/// All methods and hooks on the duty's thread.
class TargetClient {
public:
  TargetClient(base::EventLoopThread &loop, TargetClientConfig config);
  ~TargetClient();

  /// Sends the request. The sink gets Head and Chunk only for a request that
  /// the target answered; End follows only when the whole body was delivered.
  /// \p done comes exactly once, when the answer is complete (then before End,
  /// which follows at once) or lost. After a loss the caller decides what it
  /// becomes: the sink's Fail is not called here. An answer that comes with
  /// neither Content-Length nor chunked coding fails with TargetProtocol,
  /// because nobody can tell whether it is whole. \p done may be called before
  /// this returns. The hook cancels: the connection is closed and \p done gets
  /// NotRunCancelled; it may be called from any thread.
  protocol::CancelHook call(TargetCall call, protocol::AnswerSink sink,
                            std::function<void(TargetOutcome)> done);

  /// One small JSON exchange (grants, probes). Fails with 8xxx codes.
  void exchange(const TargetAddress &address, std::string method,
                std::string path, std::string body, base::Duration timeout,
                std::function<void(base::Result<std::string>)> done);

  /// Closes idle connections to \p address and marks those in use as suspect.
  void invalidateConnections(const TargetAddress &address);

private:
  struct State;
  std::shared_ptr<State> Self;
};

} // namespace magnoliamill::gateway
