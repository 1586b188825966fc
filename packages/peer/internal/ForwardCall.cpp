// Implements the steps of a forwarded request: the call, then one read for each
// further part of the answer.
#include "peer/internal/ForwardCall.h"

#include "peer/internal/PeerMetrics.h"
#include "protocol/internal/CallCodec.h"

namespace magnoliamill::peer::internal {
namespace {

using base::ResultCode;
using protocol::internal::decode;
using protocol::internal::toString;

// The dispatcher knows the deadline too and answers by then. The requesting
// side waits this much longer before it gives up by itself.
constexpr base::Duration DeadlineGrace = std::chrono::milliseconds(100);

std::optional<base::Duration>
timeoutFor(const protocol::ForwardRequest &request) {
  if (request.DeadlineMs == 0)
    return std::nullopt;
  return std::chrono::milliseconds(request.DeadlineMs) + DeadlineGrace;
}

protocol::RequestFailure describeLostCall(CallFault fault, base::Error error) {
  bool IsLate = fault == CallFault::TimeLimit;
  return {IsLate ? ResultCode::OutcomeUnknownDeadline
                 : ResultCode::OutcomeUnknownPeerLost,
          std::move(error.Message), 0};
}

// Time after which the caller may retry a request that was refused because a
// queue was full.
constexpr std::uint32_t QueueFullRetryAfterMs = 100;

} // namespace

protocol::RequestFailure describeNotSent(const base::Error &error) {
  switch (error.Code) {
  case ResultCode::PeerQueueFull:
  case ResultCode::RingFull:
    return {ResultCode::NotRunQueueFull, error.Message, QueueFullRetryAfterMs};
  case ResultCode::BodyTooLarge:
    return {ResultCode::BodyTooLarge, error.Message, 0};
  default:
    return {ResultCode::NotRunPeerUnreachable, error.Message, 0};
  }
}

ForwardCall::ForwardCall(CallTable &calls, protocol::AnswerSink sink,
                         std::function<void(std::uint64_t)> next,
                         std::function<void()> done)
    : Calls(calls), Sink(std::move(sink)), RequestPart(std::move(next)),
      Done(std::move(done)) {}

ForwardCall::~ForwardCall() noexcept(false) { Calls.endCall(CurrentStep); }

void ForwardCall::start(protocol::wire::Peer::Client &remote,
                        const protocol::ForwardRequest &request,
                        std::size_t bytes) {
  auto call = remote.forwardRequest(
      capnp::MessageSize{bytes / sizeof(capnp::word) + 1, 0});
  protocol::internal::encode(request, call.initRequest());
  CurrentStep = Calls.run<Answer>(
      call.send(), [this](Answer &&answer) { handleAnswer(kj::mv(answer)); },
      makeFailHook(), timeoutFor(request));
}

CallTable::FailHook ForwardCall::makeFailHook() {
  return [this](CallFault fault, base::Error error) {
    fail(describeLostCall(fault, std::move(error)));
  };
}

void ForwardCall::handleAnswer(Answer answer) {
  auto result = answer.getResult();
  if (result.isFailure())
    return fail(decode(result.getFailure()));
  auto ok = result.getOk();
  auto head = decode(ok.getHead());
  auto chunk = toString(ok.getChunk());
  bool IsComplete = !ok.hasRest();
  if (!IsComplete)
    Rest = ok.getRest();
  Calls.endCall(CurrentStep);
  Sink.Head(std::move(head));
  if (IsComplete) {
    if (!chunk.empty())
      Sink.Chunk(std::move(chunk), [] {});
    return end();
  }
  if (chunk.empty())
    return readPart(NextPart);
  deliverChunk(std::move(chunk));
}

void ForwardCall::readPart(std::uint64_t part) {
  if (part != NextPart)
    return;
  ++NextPart;
  KJ_IF_MAYBE (rest, Rest) {
    CurrentStep = Calls.run<Part>(
        rest->readRequest().send(),
        [this](Part &&part) { handlePart(kj::mv(part)); }, makeFailHook(),
        std::nullopt);
  }
}

void ForwardCall::handlePart(Part response) {
  auto part = response.getResult();
  auto chunk = toString(part.getChunk());
  Calls.endCall(CurrentStep);
  bool IsLast = !part.isMore();
  if (!chunk.empty() && IsLast)
    Sink.Chunk(std::move(chunk), [] {});
  else if (!chunk.empty())
    return deliverChunk(std::move(chunk));
  if (part.isFailure())
    return fail(decode(part.getFailure()));
  if (IsLast)
    return end();
  readPart(NextPart);
}

void ForwardCall::deliverChunk(std::string chunk) {
  Sink.Chunk(std::move(chunk),
             [next = RequestPart, part = NextPart] { next(part); });
}

void ForwardCall::endAsLost(const base::Error &error) {
  fail(describeLostCall(CallFault::Link, error));
}

void ForwardCall::end() {
  Calls.endCall(CurrentStep);
  Sink.End();
  Done();
}

void ForwardCall::fail(protocol::RequestFailure failure) {
  Calls.endCall(CurrentStep);
  Sink.Fail(std::move(failure));
  Done();
}

} // namespace magnoliamill::peer::internal
