// Implements the bounds and the batching of group messages.
#include "peer/internal/GroupMessageQueue.h"

#include "protocol/internal/ConsensusCodec.h"

#include <algorithm>

namespace magnoliamill::peer::internal {

std::size_t GroupMessageQueue::push(protocol::GroupMessage message) {
  std::size_t bytes = protocol::internal::estimateBytes(message);
  std::size_t dropped = 0;
  while (!Waiting.empty() && WaitingBytes + bytes > MaxBytes) {
    WaitingBytes -= Waiting.front().Bytes;
    Waiting.pop_front();
    ++dropped;
  }
  WaitingBytes += bytes;
  Waiting.push_back({std::move(message), bytes});
  return dropped;
}

GroupMessageQueue::Batch GroupMessageQueue::takeBatch() {
  Batch batch;
  if (Unacknowledged >= MaxUnacknowledgedBytes)
    return batch;
  while (!Waiting.empty()) {
    auto &next = Waiting.front();
    if (batch.Bytes > 0 && batch.Bytes + next.Bytes > MaxBatchBytes)
      break;
    batch.Bytes += next.Bytes;
    batch.Messages.push_back(std::move(next.Message));
    Waiting.pop_front();
  }
  WaitingBytes -= batch.Bytes;
  Unacknowledged += batch.Bytes;
  return batch;
}

void GroupMessageQueue::acknowledge(std::size_t bytes) {
  Unacknowledged -= std::min(bytes, Unacknowledged);
}

std::size_t GroupMessageQueue::clear() {
  std::size_t n = Waiting.size();
  Waiting.clear();
  WaitingBytes = 0;
  Unacknowledged = 0;
  return n;
}

} // namespace magnoliamill::peer::internal
