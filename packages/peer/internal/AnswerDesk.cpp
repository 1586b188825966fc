// Hooks of forwarded requests.
#include "peer/internal/AnswerDesk.h"

#include "peer/internal/AnswerRelay.h"

namespace magnoliamill::peer::internal {

std::uint64_t AnswerDesk::add(AnswerRelay &relay) {
  Relays[++LastId] = &relay;
  return LastId;
}

protocol::AnswerSink AnswerDesk::makeSink(std::uint64_t id) {
  // The mailbox refuses posts once the loop is gone: `this` is not touched
  // before that, only carried.
  auto post = [this, id, posts = Posts](auto task) {
    posts->postAnswer([this, id, task = std::move(task)]() mutable {
      auto it = Relays.find(id);
      if (it != Relays.end())
        task(*it->second);
    });
  };
  protocol::AnswerSink sink;
  sink.Head = [post](protocol::AnswerHead head) {
    post([head = std::move(head)](AnswerRelay &relay) mutable {
      relay.takeHead(std::move(head));
    });
  };
  sink.Chunk = [post](std::string chunk, std::function<void()> more) {
    post([chunk = std::move(chunk),
          more = std::move(more)](AnswerRelay &relay) mutable {
      relay.takeChunk(std::move(chunk), std::move(more));
    });
  };
  sink.End = [post] { post([](AnswerRelay &relay) { relay.takeEnd(); }); };
  sink.Fail = [post](protocol::RequestFailure failure) {
    post([failure = std::move(failure)](AnswerRelay &relay) mutable {
      relay.takeFailure(std::move(failure));
    });
  };
  return sink;
}

} // namespace magnoliamill::peer::internal
