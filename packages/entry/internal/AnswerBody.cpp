// Appends to the last block and takes from the first one.
#include "entry/AnswerBody.h"

#include <algorithm>
#include <cstring>

namespace magnoliamill::entry {

bool AnswerBody::append(std::string_view data) {
  while (!data.empty() && !HasOverflowed) {
    if (Blocks.empty() || Blocks.back().End == Blocks.back().Capacity) {
      HasOverflowed = !addBlock();
      continue;
    }
    Block &block = Blocks.back();
    const std::size_t n = std::min(data.size(), block.Capacity - block.End);
    std::memcpy(block.Data.get() + block.End, data.data(), n);
    block.End += n;
    ReceivedBytes += n;
    data.remove_prefix(n);
  }
  return !HasOverflowed;
}

bool AnswerBody::addBlock() {
  const std::size_t bytes = std::clamp(HeldBytes, MinBlockBytes, MaxBlockBytes);
  if (!Memory->take(HeldBytes, bytes))
    return false;
  HeldBytes += bytes;
  // Not initialized: most of it may never be used.
  Blocks.push_back({std::make_unique_for_overwrite<char[]>(bytes), bytes});
  return true;
}

std::string AnswerBody::take(std::size_t n) {
  std::string part;
  part.reserve(n);
  while (part.size() < n && !Blocks.empty()) {
    Block &block = Blocks.front();
    const std::size_t taken =
        std::min(n - part.size(), block.End - block.Begin);
    part.append(block.Data.get() + block.Begin, taken);
    block.Begin += taken;
    if (block.Begin < block.End)
      break;
    HeldBytes -= block.Capacity;
    Memory->release(block.Capacity);
    Blocks.pop_front();
  }
  return part;
}

void AnswerBody::clear() {
  Memory->release(HeldBytes);
  Blocks.clear();
  HeldBytes = 0;
  ReceivedBytes = 0;
  HasOverflowed = false;
}

} // namespace magnoliamill::entry
