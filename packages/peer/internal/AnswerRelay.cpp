// Decides when an answer is sent and in how many parts.
#include "peer/internal/AnswerRelay.h"

#include "peer/internal/PeerMetrics.h"
#include "peer/internal/PendingAnswers.h"
#include "protocol/internal/CallCodec.h"

#include <kj/debug.h>

namespace magnoliamill::peer::internal {
namespace {

using protocol::internal::asData;
using protocol::internal::encode;

// Time for which the start of an answer is held back to be sent in one message
// with the rest of a small body.
constexpr kj::Duration MaxHoldTime = 2 * kj::MILLISECONDS;

// Serves the rest of a body that was not sent in the first message.
class RelayReader final : public protocol::wire::BodyReader::Server {
public:
  explicit RelayReader(kj::Own<AnswerRelay> relay) : Relay(kj::mv(relay)) {}

  kj::Promise<void> read(ReadContext context) override {
    context.allowCancellation();
    return Relay->whenPartAvailable().then([this, context]() mutable {
      Relay->writePart(context.getResults().initResult());
    });
  }

private:
  kj::Own<AnswerRelay> Relay;
};

} // namespace

AnswerRelay::AnswerRelay(LoopContext &context)
    : Context(context), Id(context.Pending.add(*this)) {}

AnswerRelay::~AnswerRelay() noexcept(false) {
  Context.Pending.remove(Id);
  clearBody();
  if (!IsFinished && Cancel)
    Cancel();
}

kj::Promise<void> AnswerRelay::begin(protocol::ForwardRequest request) {
  auto paf = kj::newPromiseAndFulfiller<void>();
  Ready = kj::mv(paf.fulfiller);
  if (Context.Handlers.OnForward)
    Cancel = Context.Handlers.OnForward(std::move(request),
                                        Context.Pending.makeSink(Id));
  else
    receiveFailure(
        {base::ResultCode::NotRunNotReady, "this VM has no dispatcher", 0});
  return kj::mv(paf.promise);
}

void AnswerRelay::receiveHead(protocol::AnswerHead head) {
  if (Head || IsReady)
    return;
  Head = std::move(head);
  FlushTimer = Context.Timer.afterDelay(MaxHoldTime)
                   .then([this] { becomeReady(); })
                   .eagerlyEvaluate(nullptr);
}

void AnswerRelay::receiveChunk(std::string chunk, std::function<void()> more) {
  metrics().AnswerBytesBuffered.Increment(static_cast<double>(chunk.size()));
  if (Body.empty())
    Body = std::move(chunk);
  else
    Body += chunk;
  RequestMore = std::move(more);
  if (IsAnswered)
    return wakeReader();
  if (isComplete() || Body.size() > InlineBytes)
    becomeReady();
  if (isComplete() || Body.size() <= InlineBytes)
    requestChunk();
}

void AnswerRelay::receiveEnd() {
  IsEnded = true;
  becomeReady();
  wakeReader();
}

void AnswerRelay::receiveFailure(protocol::RequestFailure failure) {
  Failure = std::move(failure);
  becomeReady();
  wakeReader();
}

void AnswerRelay::writeAnswer(
    protocol::wire::Peer::ForwardResults::Builder results) {
  IsFinished = IsEnded || Failure || isComplete();
  IsAnswered = true;
  auto result = results.initResult();
  if (Failure || !Head) {
    IsFinished = true;
    encode(Failure.value_or(protocol::RequestFailure{
               base::ResultCode::OutcomeUnknown, "the answer has no head", 0}),
           result.initFailure());
    return;
  }
  auto answer = result.initOk();
  encode(*Head, answer.initHead());
  answer.setChunk(asData(Body));
  clearBody();
  if (IsFinished)
    return;
  answer.setRest(kj::heap<RelayReader>(kj::addRef(*this)));
  requestChunk();
}

kj::Promise<void> AnswerRelay::whenPartAvailable() {
  KJ_REQUIRE(PartReady == nullptr, "the previous part is still being read");
  if (hasPart())
    return kj::READY_NOW;
  auto paf = kj::newPromiseAndFulfiller<void>();
  PartReady = kj::mv(paf.fulfiller);
  return paf.promise.attach(kj::defer([this] { PartReady = nullptr; }));
}

void AnswerRelay::writePart(protocol::wire::BodyReader::Part::Builder part) {
  part.setChunk(asData(Body));
  clearBody();
  IsFinished = IsEnded || Failure;
  if (Failure)
    encode(*Failure, part.initFailure());
  else if (IsEnded)
    part.setEnd();
  else
    part.setMore();
  // The handler prepares the next chunk while this one is in transit.
  requestChunk();
}

bool AnswerRelay::isComplete() const {
  return Head && Head->Length == Body.size() && !IsAnswered;
}

void AnswerRelay::becomeReady() {
  if (IsReady)
    return;
  IsReady = true;
  Ready->fulfill();
}

void AnswerRelay::wakeReader() {
  KJ_IF_MAYBE (fulfiller, PartReady) {
    (*fulfiller)->fulfill();
  }
}

void AnswerRelay::requestChunk() {
  if (!RequestMore)
    return;
  auto more = std::move(RequestMore);
  RequestMore = nullptr;
  more();
}

void AnswerRelay::clearBody() {
  metrics().AnswerBytesBuffered.Decrement(static_cast<double>(Body.size()));
  Body.clear();
}

} // namespace magnoliamill::peer::internal
