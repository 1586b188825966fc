// Provides the requesting side of one forwarded request.
#pragma once

#include "peer/internal/CallTable.h"
#include "peer/internal/LoopContext.h"
#include "protocol/internal/Wire.h"

#include <cstdint>
#include <functional>
#include <kj/common.h>

namespace magnoliamill::peer::internal {

/// The failure to report when \p error prevented any part of a request from
/// being sent.
protocol::RequestFailure describeNotSent(const base::Error &error);

/// Reads the answer part by part and passes it to the sink. Owned by its link;
/// used on the peer thread only.
class ForwardCall {
public:
  /// \p next posts a request for the next part to the peer thread; it is called
  /// from any thread. \p done is called when the request has ended; it must not
  /// destroy this object before it returns, only later.
  ForwardCall(CallTable &calls, protocol::AnswerSink sink,
              std::function<void(std::uint64_t)> next,
              std::function<void()> done);
  ~ForwardCall() noexcept(false);
  KJ_DISALLOW_COPY(ForwardCall);

  void start(protocol::wire::Peer::Client &remote,
             const protocol::ForwardRequest &request, std::size_t bytes);
  /// Reads the part with this number; ignored when it was requested before.
  void readPart(std::uint64_t part);
  /// Ends the request because the link was lost while no step was pending.
  void endAsLost(const base::Error &error);

private:
  using Answer = capnp::Response<protocol::wire::Peer::ForwardResults>;
  using Part = capnp::Response<protocol::wire::BodyReader::ReadResults>;

  void handleAnswer(Answer answer);
  void handlePart(Part response);
  void deliverChunk(std::string chunk);
  CallTable::FailHook makeFailHook();
  void end();
  void fail(protocol::RequestFailure failure);

  CallTable &Calls;
  protocol::AnswerSink Sink;
  std::function<void(std::uint64_t)> RequestPart;
  std::function<void()> Done;
  // Number of the pending call in Calls.
  std::uint64_t CurrentStep = 0;
  // Number of the part that may be requested next.
  std::uint64_t NextPart = 1;
  kj::Maybe<protocol::wire::BodyReader::Client> Rest;
};

} // namespace magnoliamill::peer::internal
