// Steps of a forwarded request: the call, then one read for each part.
#include "peer/internal/ForwardCall.h"

#include "peer/internal/PeerMetrics.h"
#include "protocol/internal/CallCodec.h"

namespace magnoliamill::peer::internal {
namespace {

using base::ResultCode;
using protocol::internal::decode;
using protocol::internal::toString;

// The dispatcher knows the deadline too and answers by it; only after this
// grace does the asking side give up by itself.
constexpr base::Duration DeadlineGrace = std::chrono::milliseconds(100);

std::optional<base::Duration> limitOf(const protocol::ForwardRequest &request) {
  if (request.DeadlineMs == 0)
    return std::nullopt;
  return std::chrono::milliseconds(request.DeadlineMs) + DeadlineGrace;
}

protocol::RequestFailure describeLoss(CallFault fault, base::Error error) {
  bool IsLate = fault == CallFault::TimeLimit;
  return {IsLate ? ResultCode::OutcomeUnknownDeadline
                 : ResultCode::OutcomeUnknownPeerLost,
          std::move(error.Message), 0};
}

// When the caller of a refused request may come back.
constexpr std::uint32_t QueueRetryMs = 100;

} // namespace

protocol::RequestFailure describeNotSent(const base::Error &error) {
  switch (error.Code) {
  case ResultCode::PeerQueueFull:
  case ResultCode::RingFull:
    return {ResultCode::NotRunQueueFull, error.Message, QueueRetryMs};
  case ResultCode::BodyTooLarge:
    return {ResultCode::BodyTooLarge, error.Message, 0};
  default:
    return {ResultCode::NotRunPeerUnreachable, error.Message, 0};
  }
}

ForwardCall::ForwardCall(CallTable &calls, protocol::AnswerSink sink,
                         std::function<void(std::uint64_t)> ask,
                         std::function<void()> done)
    : Calls(calls), Sink(std::move(sink)), Ask(std::move(ask)),
      Done(std::move(done)) {}

ForwardCall::~ForwardCall() noexcept(false) { Calls.finish(Step); }

void ForwardCall::start(protocol::wire::Peer::Client &remote,
                        const protocol::ForwardRequest &request,
                        std::size_t bytes) {
  auto call = remote.forwardRequest(
      capnp::MessageSize{bytes / sizeof(capnp::word) + 1, 0});
  protocol::internal::encode(request, call.initRequest());
  Step = Calls.run<Answer>(
      call.send(), [this](Answer &&answer) { takeAnswer(kj::mv(answer)); },
      makeFailHook(), limitOf(request));
}

CallTable::FailHook ForwardCall::makeFailHook() {
  return [this](CallFault fault, base::Error error) {
    fail(describeLoss(fault, std::move(error)));
  };
}

void ForwardCall::takeAnswer(Answer answer) {
  auto result = answer.getResult();
  if (result.isFailure())
    return fail(decode(result.getFailure()));
  auto ok = result.getOk();
  auto head = decode(ok.getHead());
  auto chunk = toString(ok.getChunk());
  bool IsWhole = !ok.hasRest();
  if (!IsWhole)
    Rest = ok.getRest();
  Calls.finish(Step);
  Sink.Head(std::move(head));
  if (IsWhole) {
    if (!chunk.empty())
      Sink.Chunk(std::move(chunk), [] {});
    return end();
  }
  if (chunk.empty())
    return pull(NextPart);
  giveChunk(std::move(chunk));
}

void ForwardCall::pull(std::uint64_t part) {
  if (part != NextPart)
    return;
  ++NextPart;
  KJ_IF_MAYBE (rest, Rest) {
    Step = Calls.run<Part>(
        rest->readRequest().send(),
        [this](Part &&part) { takePart(kj::mv(part)); }, makeFailHook(),
        std::nullopt);
  }
}

void ForwardCall::takePart(Part response) {
  auto part = response.getResult();
  auto chunk = toString(part.getChunk());
  Calls.finish(Step);
  bool IsLast = !part.isMore();
  if (!chunk.empty() && IsLast)
    Sink.Chunk(std::move(chunk), [] {});
  else if (!chunk.empty())
    return giveChunk(std::move(chunk));
  if (part.isFailure())
    return fail(decode(part.getFailure()));
  if (IsLast)
    return end();
  pull(NextPart);
}

void ForwardCall::giveChunk(std::string chunk) {
  Sink.Chunk(std::move(chunk), [ask = Ask, part = NextPart] { ask(part); });
}

void ForwardCall::lose(const base::Error &error) {
  fail(describeLoss(CallFault::Link, error));
}

void ForwardCall::end() {
  Calls.finish(Step);
  Sink.End();
  Done();
}

void ForwardCall::fail(protocol::RequestFailure failure) {
  Calls.finish(Step);
  Sink.Fail(std::move(failure));
  Done();
}

} // namespace magnoliamill::peer::internal
