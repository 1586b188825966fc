// Implements the answer sinks of forwarded requests.
#include "peer/internal/PendingAnswers.h"

#include "peer/internal/AnswerRelay.h"

namespace magnoliamill::peer::internal {

std::uint64_t PendingAnswers::add(AnswerRelay &relay) {
  Relays[++LastId] = &relay;
  return LastId;
}

protocol::AnswerSink PendingAnswers::makeSink(std::uint64_t id) {
  // `this` is used only by tasks on the peer thread; once the loop has ended,
  // the mailbox refuses them.
  auto post = [this, id, inbox = Inbox](auto task) {
    inbox->postAnswer([this, id, task = std::move(task)]() mutable {
      auto it = Relays.find(id);
      if (it != Relays.end())
        task(*it->second);
    });
  };
  protocol::AnswerSink sink;
  sink.Head = [post](protocol::AnswerHead head) {
    post([head = std::move(head)](AnswerRelay &relay) mutable {
      relay.receiveHead(std::move(head));
    });
  };
  sink.Chunk = [post](std::string chunk, std::function<void()> more) {
    post([chunk = std::move(chunk),
          more = std::move(more)](AnswerRelay &relay) mutable {
      relay.receiveChunk(std::move(chunk), std::move(more));
    });
  };
  sink.End = [post] { post([](AnswerRelay &relay) { relay.receiveEnd(); }); };
  sink.Fail = [post](protocol::RequestFailure failure) {
    post([failure = std::move(failure)](AnswerRelay &relay) mutable {
      relay.receiveFailure(std::move(failure));
    });
  };
  return sink;
}

} // namespace magnoliamill::peer::internal
