// Sends a request at most once, unless it is idempotent, and streams its answer
// with at most one chunk in memory.
#include "gateway/internal/TargetExchange.h"

#include "gateway/HeaderRules.h"
#include "gateway/internal/ChunkedInput.h"
#include "gateway/internal/ResponseStatus.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

namespace magnoliamill::gateway::internal {

namespace http = boost::beast::http;
using base::ResultCode;

namespace {

/// Maximum number of bytes of a refusal's body that are kept as its message.
constexpr std::size_t MaxRefusalBytes = 4u << 10;
/// A refusal is reported after this time even if its body is incomplete.
constexpr base::Duration RefusalBodyTimeout = std::chrono::milliseconds(100);
constexpr std::size_t FirstReadBytes = 8u << 10;

} // namespace

TargetExchange::TargetExchange(boost::asio::io_context &context,
                               std::shared_ptr<ConnectionPool> pool,
                               TargetClientConfig config, TargetCall call,
                               protocol::AnswerSink sink, DoneHook done)
    : Context(context), Pool(std::move(pool)), Config(config),
      Call(std::move(call)), Sink(std::move(sink)), Done(std::move(done)),
      Timer(context) {}

void TargetExchange::start() {
  StartedAt = base::readMonotonic();
  if (StartedAt >= Call.Deadline)
    return fail(ResultCode::TargetTimeout, "the deadline has passed");
  takeConnection(false);
}

void TargetExchange::armTimer(base::MonoTime time) {
  TimerExpiry = time;
  Timer.expires_after(base::delayUntil(time));
  Timer.async_wait([self = shared_from_this(), time](ErrorCode ec) {
    if (!ec)
      self->onTimer(time);
  });
}

void TargetExchange::onTimer(base::MonoTime time) {
  // Ignores a wait that had already expired when the timer was re-armed.
  if (IsFinished || TimerExpiry != time)
    return;
  if (IsRefused)
    return complete();
  if (IsConnecting) {
    HasConnectTimedOut = true;
    return fail(ResultCode::TargetUnreachable,
                "the target did not accept a connection in time");
  }
  fail(isAnswering() ? ResultCode::AnswerTruncated : ResultCode::TargetTimeout,
       "the deadline passed");
}

void TargetExchange::write() {
  const auto left = Call.Deadline - base::readMonotonic();
  Message = buildTargetRequest(Call, Config.DeadlineHeader, left);
  // Nothing may happen between this check and the write.
  if (Call.MayWrite && !Call.MayWrite())
    return fail(ResultCode::NotRunLeaseLost,
                "the dispatcher is no longer allowed to write to the target");
  // Set before the write: a call that ends during it counts as written.
  const bool WasWritten = std::exchange(IsWritten, true);
  http::async_write(Connection->Socket, Message,
                    [self = shared_from_this(), connection = Connection,
                     WasWritten](ErrorCode ec, std::size_t n) {
                      if (ec && n == 0)
                        self->IsWritten = WasWritten;
                      self->onWritten(ec, n);
                    });
}

void TargetExchange::onWritten(ErrorCode ec, std::size_t n) {
  if (IsFinished)
    return;
  if (ec && n == 0 && Connection->IsReused && !HasRetried)
    return static_cast<void>(retryOnNewConnection());
  if (ec)
    return onConnectionLost(ec);
  resetParser();
  // An answer may have arrived before the request was written completely.
  if (Connection->Buffer.size() > 0)
    return processInput();
  readMore();
}

void TargetExchange::resetParser() {
  Parser.emplace();
  Parser->header_limit(UnusedInputLimit::MaxElementBytes);
  Parser->body_limit(boost::none);
  Parser->skip(Call.Request.Method == "HEAD");
}

void TargetExchange::readMore() {
  const std::size_t size =
      IsHeadSeen ? std::max(Config.ChunkBytes, FirstReadBytes) : FirstReadBytes;
  Connection->Socket.async_read_some(
      Connection->Buffer.prepare(size),
      [self = shared_from_this(), connection = Connection](
          ErrorCode ec, std::size_t n) { self->onRead(ec, n); });
}

void TargetExchange::onRead(ErrorCode ec, std::size_t n) {
  if (IsFinished)
    return;
  if (ec)
    return onConnectionLost(ec);
  Connection->Buffer.commit(n);
  processInput();
}

void TargetExchange::processInput() {
  IsProcessingInput = true;
  while (!IsFinished && !IsAwaitingMore) {
    std::string chunk;
    if (!parseSome(chunk))
      break;
    const bool IsComplete = Parser->is_done();
    const bool IsBufferEmpty = Connection->Buffer.size() == 0;
    if (!chunk.empty())
      deliver(std::move(chunk));
    if (IsFinished)
      break;
    if (IsComplete && IsStale) {
      discardStaleAnswer();
      if (!IsBufferEmpty)
        continue;
    } else if (IsComplete) {
      complete();
      break;
    }
    if (IsBufferEmpty && !IsAwaitingMore) {
      readMore();
      break;
    }
  }
  IsProcessingInput = false;
}

/// Parses buffered input into \p chunk, at most ChunkBytes. Returns false if
/// the call has ended or further input was requested.
bool TargetExchange::parseSome(std::string &chunk) {
  auto &input = Connection->Buffer;
  chunk.resize(std::min(Config.ChunkBytes, input.size()));
  std::size_t filled = 0;
  while (!Parser->is_done() && input.size() > 0) {
    auto &body = Parser->get().body();
    body.data = chunk.data() + filled;
    body.size = chunk.size() - filled;
    ErrorCode ec;
    const std::size_t n = parseInput(*Parser, input.data(), ec);
    input.consume(n);
    const std::size_t added = chunk.size() - body.size - filled;
    filled += added;
    const bool IsElementOpen = n == 0 && ec == http::error::need_more;
    if (!UnusedInput.accept(n, IsRefused || IsStale ? 0 : added,
                            IsElementOpen ? input.size() : 0))
      ec = http::error::buffer_overflow;
    if (ec && ec != http::error::need_more && ec != http::error::need_buffer) {
      IsRefused ? complete() : fail(ResultCode::TargetProtocol, ec.message());
      return false;
    }
    if (Parser->is_header_done() && !IsHeadSeen && !onHeader())
      return false;
    if (ec == http::error::need_buffer)
      break;
    if (n == 0) {
      // Incomplete syntax element: the rest must be received first.
      if (filled > 0)
        break;
      readMore();
      return false;
    }
  }
  chunk.resize(filled);
  return true;
}

/// Handles a complete head. Returns false if the call has ended.
bool TargetExchange::onHeader() {
  const unsigned status = Parser->get().result_int();
  if (isInterimStatus(status)) {
    resetParser();
    return true;
  }
  if (!isFinalStatus(status)) {
    fail(ResultCode::TargetProtocol,
         "no response has the status " + std::to_string(status));
    return false;
  }
  IsHeadSeen = true;
  HeadAt = base::readMonotonic();
  if (isCloseDelimited(*Parser) && !Call.AcceptsCloseDelimited) {
    // A truncation of a body that ends with the connection can't be detected.
    IsHeadSeen = false;
    fail(ResultCode::TargetProtocol,
         "the answer has neither Content-Length nor chunked coding");
    return false;
  }
  return classifyAnswer();
}

/// Classifies the answer by its head. Returns false if the call has ended.
bool TargetExchange::classifyAnswer() {
  const auto &response = Parser->get();
  auto head = readAnswerHead(response, readBodyLength(*Parser));
  auto verdict = isRefusedBeforeRunning(response) ? AnswerKind::NotRun
                                                  : AnswerKind::Deliver;
  if (Call.Classify)
    verdict = Call.Classify(head, Connection->IsReused);
  if (verdict == AnswerKind::Invalid) {
    IsHeadSeen = false;
    fail(ResultCode::TargetProtocol,
         "the answer does not belong to the request");
    return false;
  }
  IsRefused = verdict == AnswerKind::NotRun;
  IsStale = verdict == AnswerKind::Stale;
  if (IsRefused)
    armTimer(std::min(Call.Deadline, HeadAt + RefusalBodyTimeout));
  if (IsRefused || IsStale)
    return true;
  stripForForwarding(head.Headers);
  Sink.Head(std::move(head));
  return !IsFinished;
}

/// Called when a late answer to an earlier request is complete: prepares for
/// the next answer.
void TargetExchange::discardStaleAnswer() {
  IsStale = false;
  IsHeadSeen = false;
  resetParser();
}

void TargetExchange::deliver(std::string chunk) {
  if (IsStale)
    return;
  if (IsRefused) {
    const std::size_t capacity = MaxRefusalBytes - RefusalText.size();
    RefusalText.append(chunk, 0, capacity);
    return;
  }
  IsAwaitingMore = true;
  Sink.Chunk(std::move(chunk), [weak = weak_from_this(), &context = Context] {
    auto self = weak.lock();
    if (!self)
      return;
    if (context.get_executor().running_in_this_thread())
      return self->onMore();
    boost::asio::post(context, [self] { self->onMore(); });
  });
}

void TargetExchange::onMore() {
  if (IsFinished || !IsAwaitingMore)
    return;
  IsAwaitingMore = false;
  if (IsProcessingInput)
    return;
  if (Connection->Buffer.size() == 0)
    return readMore();
  processInput();
}

void TargetExchange::onConnectionLost(ErrorCode ec) {
  // A close-delimited answer ends with an orderly close, not with a reset.
  if (ec == boost::asio::error::eof && Parser && isAnswering()) {
    ErrorCode result;
    Parser->put_eof(result);
    if (!result && Parser->is_done())
      return complete();
  }
  const bool IsUnanswered = !Parser || !Parser->got_some();
  if (IsUnanswered && Connection->IsReused && Call.Idempotent &&
      retryOnNewConnection())
    return;
  if (IsRefused)
    return complete();
  if (isAnswering())
    return fail(ResultCode::AnswerTruncated,
                "the answer was truncated: " + ec.message());
  fail(ResultCode::TargetReset, ec.message());
}

void TargetExchange::complete() {
  if (IsRefused && HasLostAnswer)
    return fail(ResultCode::TargetReset,
                "the connection was lost, and the repeat was refused");
  TargetOutcome outcome;
  outcome.Status = static_cast<std::uint16_t>(Parser->get().result_int());
  outcome.Latency = HeadAt - StartedAt;
  outcome.RateLimit = readRateLimit(Parser->get());
  outcome.MayHaveRun = !IsRefused;
  outcome.Answered = !IsRefused;
  if (IsRefused) {
    outcome.Code = ResultCode::NotRunTargetRefused;
    outcome.Message = RefusalText;
    outcome.RetryAfterMs = readRetryAfterMs(Parser->get());
  }
  // Without a classification, a refusal has no id: written again, it would pass
  // for the answer to the next request.
  const bool MayRepeat = IsRefused && !Call.Classify;
  const bool IsReusable = Parser->is_done() && Parser->keep_alive() &&
                          !Parser->need_eof() && !MayRepeat &&
                          Connection->Buffer.size() == 0;
  Connection->KeepAliveTimeout = readKeepAlive(Parser->get());
  releaseConnection(IsReusable);
  finish(std::move(outcome));
  if (!IsRefused)
    Sink.End();
}

void TargetExchange::cancel() {
  fail(ResultCode::NotRunCancelled, "the call was cancelled");
}

void TargetExchange::fail(ResultCode code, std::string message) {
  if (IsFinished)
    return;
  releaseConnection(false);
  TargetOutcome outcome;
  outcome.MayHaveRun = IsWritten;
  outcome.HasConnectFailed =
      IsConnecting && code == ResultCode::TargetUnreachable;
  outcome.HasConnectTimedOut = HasConnectTimedOut;
  outcome.Code = code;
  outcome.Message = std::move(message);
  if (isAnswering())
    outcome.Status = static_cast<std::uint16_t>(Parser->get().result_int());
  outcome.Latency =
      (isAnswering() ? HeadAt : base::readMonotonic()) - StartedAt;
  finish(std::move(outcome));
}

void TargetExchange::finish(TargetOutcome outcome) {
  IsFinished = true;
  Timer.cancel();
  if (auto done = std::exchange(Done, nullptr))
    done(std::move(outcome));
}

} // namespace magnoliamill::gateway::internal
