// HTTP client for targets: requests with tokens, grants, probes, cancellation.
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

/// How an answer is handled, as determined from its head.
enum class AnswerKind : std::uint8_t {
  /// The answer to the request; it is passed on.
  Deliver,
  /// The target states that it did not run the request.
  NotRun,
  /// A late answer to an earlier request on this connection; it is discarded
  /// and the next answer is read.
  Stale,
  /// Not an answer to any request; the call fails with TargetProtocol.
  Invalid,
};

/// A request to a target.
struct TargetCall {
  TargetAddress Address;
  /// The Host header; if empty, the address of the target is sent.
  std::string Host;
  protocol::ForwardRequest Request;
  /// Sent in place of Request.Body if set; shared by all attempts at a request,
  /// so that there is one copy of a large body.
  std::shared_ptr<const std::string> SharedBody;
  /// Sent as Mill-Token; absent for services without keys.
  std::optional<base::Token> Token;
  std::optional<base::SlotNumber> Slot;
  base::MonoTime Deadline;
  bool Idempotent = false;
  /// Classifies an answer by its head. \p IsReused tells that earlier requests
  /// were sent on the connection, whose answers may arrive again. If empty, an
  /// answer with a status of at least 400 and "Mill-Not-Run: 1" is NotRun and
  /// any other is Deliver; a refusal then ends its connection, since nothing
  /// distinguishes it from a later one.
  std::function<AnswerKind(const protocol::AnswerHead &, bool IsReused)>
      Classify;
  /// Accepts an answer whose body is delimited by the close of the connection.
  bool AcceptsCloseDelimited = false;
  /// Called immediately before the first byte is written. If it returns false,
  /// nothing is written and the call fails with NotRunLeaseLost.
  std::function<bool()> MayWrite;
};

/// The result of a call to a target; the answer itself goes to the sink.
struct TargetOutcome {
  /// False only if no byte of the request can have reached the target, or the
  /// target refused the request before running it (Mill-Not-Run header).
  bool MayHaveRun = false;
  /// True if the complete answer was received.
  bool Answered = false;
  /// True if no connection to the target could be opened.
  bool HasConnectFailed = false;
  /// True if that was because the target did not answer in time.
  bool HasConnectTimedOut = false;
  std::uint16_t Status = 0;
  /// Ok, NotRunLeaseLost, NotRunTargetRefused, NotRunCancelled (MayHaveRun
  /// tells whether the request was sent), AnswerTruncated (a head was passed
  /// on), or 8xxx.
  base::ResultCode Code = base::ResultCode::Ok;
  std::string Message;
  /// Retry-After of a refusal with Mill-Not-Run, in milliseconds; 0 if none.
  /// Targets send it with 503 or 429; it is read from a refusal of any status.
  std::uint32_t RetryAfterMs = 0;
  /// Mill-Rate-Limit of the answer or refusal: the requests per second that the
  /// target takes; not set if it names none.
  std::optional<double> RateLimit;
  /// From the start of the call to the head of the answer, or to the failure if
  /// no head was received.
  base::Duration Latency{};
};

/// Timeouts and limits of a TargetClient.
struct TargetClientConfig {
  /// The header that carries the time left until the deadline, in ms.
  std::string DeadlineHeader = "Mill-Deadline-Ms";
  base::Duration ConnectTimeout = std::chrono::milliseconds(250);
  /// A connection that was idle for longer is not used for requests that are
  /// not idempotent.
  base::Duration MaxIdleForNonIdempotent = std::chrono::milliseconds(500);
  base::Duration MaxIdle = std::chrono::seconds(20);
  std::size_t MaxConnectionsPerTarget = 130;
  /// To all targets together.
  std::size_t MaxConnections = 65536;
  /// Maximum size of a chunk passed to the sink.
  std::size_t ChunkBytes = 64u << 10;
};

/// Sends requests to targets over pooled connections. All methods are called on
/// the event loop, and the hooks are called there.
class TargetClient {
public:
  TargetClient(base::EventLoopThread &loop, TargetClientConfig config);
  ~TargetClient();

  /// Sends the request. The sink gets Head and Chunk only for a request that
  /// the target answered, and End only after the whole body.
  /// \p done is called exactly once, possibly before this function returns:
  /// when the answer is complete (End follows immediately) or when the call has
  /// failed. The sink's Fail is never called: the caller decides how to report
  /// the failure.
  /// An answer with neither Content-Length nor chunked coding fails with
  /// TargetProtocol unless the call accepts it, because a truncated body could
  /// not be detected.
  /// The returned hook cancels the call: the connection is closed and \p done
  /// gets NotRunCancelled. It may be called from any thread.
  protocol::CancelHook call(TargetCall call, protocol::AnswerSink sink,
                            std::function<void(TargetOutcome)> done);

  /// Sends a small JSON request (grants, probes) and collects its answer, at
  /// most 1 MiB. Errors: 8xxx codes.
  void exchange(const TargetAddress &address, std::string method,
                std::string path, std::string body, base::Duration timeout,
                std::function<void(base::Result<std::string>)> done);

  /// Closes the idle connections to \p address; those in use are closed when
  /// their call ends instead of being reused.
  void invalidateConnections(const TargetAddress &address);

private:
  struct State;
  std::shared_ptr<State> Self;
};

} // namespace magnoliamill::gateway
