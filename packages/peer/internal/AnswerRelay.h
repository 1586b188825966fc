// The serving side of one forwarded request: takes the answer from the duty
// that gives it and hands it to the peer who asked.
#pragma once

#include "peer/internal/LoopContext.h"
#include "protocol/internal/Wire.h"

#include <cstddef>
#include <kj/async.h>
#include <kj/refcount.h>
#include <optional>
#include <string>

namespace magnoliamill::peer::internal {

/// Lives as long as the peer holds the call or its body reader; when it is
/// dropped before the answer is complete, the request is cancelled.
class AnswerRelay final : public kj::Refcounted {
public:
  /// Answers up to this size go in one message.
  static constexpr std::size_t InlineBytes = 64u << 10;

  explicit AnswerRelay(LoopContext &context);
  ~AnswerRelay() noexcept(false) override;

  /// Hands the request to the duty. The promise resolves when writeAnswer has
  /// something to write.
  kj::Promise<void> begin(protocol::ForwardRequest request);
  void writeAnswer(protocol::wire::Peer::ForwardResults::Builder results);

  // What the duty gives, on the peer thread.
  void receiveHead(protocol::AnswerHead head);
  void receiveChunk(std::string chunk, std::function<void()> more);
  void receiveEnd();
  void receiveFailure(protocol::RequestFailure failure);

  /// The next part of the body, at most one call at a time.
  kj::Promise<void> whenPartAvailable();
  void writePart(protocol::wire::BodyReader::Part::Builder part);

private:
  bool isComplete() const;
  bool hasPart() const { return !Body.empty() || IsEnded || Failure; }
  void becomeReady();
  void wakeReader();
  void requestChunk();
  void clearBody();

  LoopContext &Context;
  const std::uint64_t Id;
  protocol::CancelHook Cancel;
  std::optional<protocol::AnswerHead> Head;
  std::optional<protocol::RequestFailure> Failure;
  // Body bytes given by the duty and not yet handed to the peer.
  std::string Body;
  // Set while the duty waits to be asked for its next chunk.
  std::function<void()> RequestMore;
  bool IsEnded = false;
  bool IsReady = false;
  bool IsAnswered = false;
  // True when the peer has the whole answer: nothing is left to cancel.
  bool IsFinished = false;
  kj::Own<kj::PromiseFulfiller<void>> Ready;
  kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> PartReady;
  kj::Maybe<kj::Promise<void>> FlushTimer;
};

} // namespace magnoliamill::peer::internal
