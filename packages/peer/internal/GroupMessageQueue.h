// The group messages that wait for one peer: bounded, oldest dropped first.
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
  /// that a heartbeat behind it is not held up for long.
  static constexpr std::size_t MaxBatchBytes = 256u << 10;
  /// Bytes on their way to the peer, not yet acknowledged.
  static constexpr std::size_t MaxUnacknowledgedBytes = 1u << 20;

  explicit GroupMessageQueue(std::size_t limit) : MaxBytes(limit) {}

  /// Adds a message; returns how many older ones were dropped for it.
  std::size_t push(protocol::GroupMessage message);

  struct Batch {
    std::vector<protocol::GroupMessage> Messages;
    std::size_t Bytes = 0;
  };
  /// The next batch to send, empty when there is none or when too much is on
  /// its way.
  Batch takeBatch();
  /// A batch of \p bytes was acknowledged.
  void acknowledge(std::size_t bytes);
  /// Forgets everything; returns how many messages were waiting.
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
