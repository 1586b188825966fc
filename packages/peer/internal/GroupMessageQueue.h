// Provides the bounded queue of group messages for one peer; the oldest
// messages are dropped first.
#pragma once

#include "protocol/Messages.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace magnoliamill::peer::internal {

/// A state machine without I/O; used on the peer thread only.
class GroupMessageQueue {
public:
  /// Largest batch in bytes, unless a single message is larger. Small enough
  /// not to delay a heartbeat queued behind it for long.
  static constexpr std::size_t MaxBatchBytes = 256u << 10;
  /// No batch is taken while this many sent bytes are not yet acknowledged.
  static constexpr std::size_t MaxUnacknowledgedBytes = 1u << 20;

  explicit GroupMessageQueue(std::size_t limit) : MaxBytes(limit) {}

  /// Adds a message; returns how many older ones were dropped to make room.
  std::size_t push(protocol::GroupMessage message);

  struct Batch {
    std::vector<protocol::GroupMessage> Messages;
    std::size_t Bytes = 0;
  };
  /// The next batch to send; empty when no message is queued or too many bytes
  /// are unacknowledged.
  Batch takeBatch();
  /// Records that the peer acknowledged a batch of \p bytes bytes.
  void acknowledge(std::size_t bytes);
  /// Resets the queue; returns how many messages were waiting.
  std::size_t clear();
  std::size_t size() const { return Waiting.size(); }

private:
  struct Item {
    protocol::GroupMessage Message;
    std::size_t Bytes = 0;
  };

  const std::size_t MaxBytes;
  std::deque<Item> Waiting;
  // Sum of Bytes over Waiting.
  std::size_t WaitingBytes = 0;
  std::size_t Unacknowledged = 0;
};

} // namespace magnoliamill::peer::internal
