// Transfer of answers between threads.
#include "gateway/internal/AnswerInbox.h"

#include <boost/asio/post.hpp>

namespace magnoliamill::gateway::internal {

void runOnEventLoop(base::EventLoopThread &loop, base::Task task) {
  if (loop.context().get_executor().running_in_this_thread())
    return task();
  // tryPost() takes its argument by value and drops a refused task, so it gets
  // a copy.
  if (!loop.tryPost(task))
    boost::asio::post(loop.context(), std::move(task));
}

protocol::AnswerSink AnswerInbox::makeSink() {
  auto self = shared_from_this();
  protocol::AnswerSink sink;
  sink.Head = [self](protocol::AnswerHead head) { self->put(std::move(head)); };
  sink.Chunk = [self](std::string data, std::function<void()> more) {
    self->put(ChunkEvent{std::move(data), std::move(more)});
  };
  sink.End = [self] { self->put(EndEvent{}); };
  sink.Fail = [self](protocol::RequestFailure failure) {
    self->put(std::move(failure));
  };
  return sink;
}

void AnswerInbox::put(AnswerEvent event) {
  {
    std::lock_guard lock(Mutex);
    Events.push_back(std::move(event));
    if (DeliveryPending)
      return;
    DeliveryPending = true;
  }
  auto task = [self = shared_from_this()] { self->deliver(); };
  // Posted even on the event loop's own thread: the head, the first chunk and
  // the end usually follow each other directly and are then written together.
  if (EventLoop.context().get_executor().running_in_this_thread())
    return boost::asio::post(EventLoop.context(), std::move(task));
  runOnEventLoop(EventLoop, std::move(task));
}

void AnswerInbox::deliver() {
  std::vector<AnswerEvent> events;
  {
    std::lock_guard lock(Mutex);
    events.swap(Events);
    DeliveryPending = false;
  }
  if (Receive)
    Receive(std::move(events));
}

} // namespace magnoliamill::gateway::internal
