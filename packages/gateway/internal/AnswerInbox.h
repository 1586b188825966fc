// Carries the parts of one answer from the thread that gives them to the
// thread of the connection, in order.
#pragma once

#include "base/EventLoopThread.h"
#include "protocol/Messages.h"

#include <functional>
#include <memory>
#include <mutex>
#include <variant>
#include <vector>

namespace magnoliamill::gateway::internal {

struct ChunkEvent {
  std::string Data;
  std::function<void()> More;
};
struct EndEvent {};
using AnswerEvent = std::variant<protocol::AnswerHead, ChunkEvent, EndEvent,
                                 protocol::RequestFailure>;

/// Runs \p task on the duty's thread: at once when called there. A full ring
/// falls back to the event loop's own queue; the caller bounds such tasks.
void runOnDuty(base::EventLoopThread &loop, base::Task task);

/// A queue of one answer's events. At most one chunk is unacknowledged, so it
/// holds a head, a chunk and an end at the most.
class AnswerInbox : public std::enable_shared_from_this<AnswerInbox> {
public:
  using Receiver = std::function<void(std::vector<AnswerEvent>)>;

  /// \p receiver gets the events in order on the duty's thread.
  AnswerInbox(base::EventLoopThread &loop, Receiver receiver)
      : EventLoop(loop), Receive(std::move(receiver)) {}

  /// A sink that fills this inbox; its hooks may be called from any thread.
  protocol::AnswerSink makeSink();
  /// Drops the receiver: later events are ignored. Duty's thread only.
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
