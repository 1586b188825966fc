// Transfers the parts of one answer, in order, from the threads that produce
// them to the event loop of the connection.
#pragma once

#include "base/EventLoopThread.h"
#include "protocol/Messages.h"

#include <functional>
#include <memory>
#include <mutex>
#include <variant>
#include <vector>

namespace magnoliamill::gateway::internal {

/// A part of the body. More asks for the next part; it may be empty.
struct ChunkEvent {
  std::string Data;
  std::function<void()> More;
};
/// The end of the answer.
struct EndEvent {};
using AnswerEvent = std::variant<protocol::AnswerHead, ChunkEvent, EndEvent,
                                 protocol::RequestFailure>;

/// Runs \p task on the event loop: immediately if called on its thread. If the
/// task ring is full, the task is posted to the unbounded queue of the event
/// loop; the caller must bound the number of such tasks.
void runOnEventLoop(base::EventLoopThread &loop, base::Task task);

/// Queues the events of one answer. At most one chunk is unacknowledged, so the
/// queue holds at most a head, a chunk and an end.
class AnswerInbox : public std::enable_shared_from_this<AnswerInbox> {
public:
  using Receiver = std::function<void(std::vector<AnswerEvent>)>;

  /// \p receiver gets the events in order on the event loop.
  AnswerInbox(base::EventLoopThread &loop, Receiver receiver)
      : EventLoop(loop), Receive(std::move(receiver)) {}

  /// Returns a sink that writes to this inbox; its hooks may be called from any
  /// thread.
  protocol::AnswerSink makeSink();
  /// Removes the receiver: later events are ignored. Event loop only.
  void close() { Receive = nullptr; }

private:
  void put(AnswerEvent event);
  void deliver();

  base::EventLoopThread &EventLoop;
  Receiver Receive;
  std::mutex Mutex;
  // Guarded by Mutex.
  std::vector<AnswerEvent> Events;
  bool DeliveryPending = false;
};

} // namespace magnoliamill::gateway::internal
