// Provides the serving side of one forwarded request: receives the answer from
// the handler and passes it to the requesting peer.
#pragma once

#include "peer/internal/LoopContext.h"
#include "protocol/internal/Wire.h"

#include <cstddef>
#include <kj/async.h>
#include <kj/refcount.h>
#include <optional>
#include <string>

namespace magnoliamill::peer::internal {

/// Lives as long as the peer holds the call or its body reader. When it is
/// destroyed before the answer is complete, the request is cancelled.
class AnswerRelay final : public kj::Refcounted {
public:
  /// Bodies up to this size may be sent in one message with the head.
  static constexpr std::size_t InlineBytes = 64u << 10;

  explicit AnswerRelay(LoopContext &context);
  ~AnswerRelay() noexcept(false) override;

  /// Passes the request to the handler. The promise resolves when writeAnswer
  /// may be called.
  kj::Promise<void> begin(protocol::ForwardRequest request);
  void writeAnswer(protocol::wire::Peer::ForwardResults::Builder results);

  // Called on the peer thread with the parts of the answer from the handler.
  void receiveHead(protocol::AnswerHead head);
  void receiveChunk(std::string chunk, std::function<void()> more);
  void receiveEnd();
  void receiveFailure(protocol::RequestFailure failure);

  /// Resolves when writePart has a part to write; one call at a time.
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
  // Body bytes received from the handler and not yet passed to the peer.
  std::string Body;
  // Requests the next chunk; set while the handler waits for that.
  std::function<void()> RequestMore;
  bool IsEnded = false;
  bool IsReady = false;
  bool IsAnswered = false;
  // True when the whole answer was passed to the peer: no cancel is needed.
  bool IsFinished = false;
  kj::Own<kj::PromiseFulfiller<void>> Ready;
  kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> PartReady;
  kj::Maybe<kj::Promise<void>> FlushTimer;
};

} // namespace magnoliamill::peer::internal
