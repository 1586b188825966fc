// The received part of an answer's body, without what was passed on. Kept in
// blocks, so that it never takes more memory than it has reserved: a buffer
// that grows takes several times its content while it is copied.
#pragma once

#include "gateway/MessageMemory.h"

#include <list>
#include <memory>
#include <string>
#include <string_view>

namespace magnoliamill::entry {

class AnswerBody {
public:
  /// Each block is as large as all earlier ones together, within these limits:
  /// small answers take little more than their size.
  static constexpr std::size_t MinBlockBytes = 1u << 10;
  static constexpr std::size_t MaxBlockBytes = 32u << 10;

  explicit AnswerBody(std::shared_ptr<gateway::MessageMemory> memory)
      : Memory(std::move(memory)) {}
  AnswerBody(const AnswerBody &) = delete;
  AnswerBody &operator=(const AnswerBody &) = delete;
  ~AnswerBody() { clear(); }

  /// Returns false if there is no memory for all of \p data. Nothing can be
  /// appended then until the next clear().
  bool append(std::string_view data);
  /// Removes and returns the next \p n bytes, which must have been received.
  std::string take(std::size_t n);
  /// Bytes received so far, whether or not they were taken.
  std::size_t size() const { return ReceivedBytes; }
  /// True if the memory did not suffice since the last clear().
  bool hasOverflowed() const { return HasOverflowed; }
  void clear();

private:
  struct Block {
    std::unique_ptr<char[]> Data;
    std::size_t Capacity = 0;
    /// What was received and not taken is between these offsets.
    std::size_t Begin = 0;
    std::size_t End = 0;
  };

  bool addBlock();

  std::shared_ptr<gateway::MessageMemory> Memory;
  std::list<Block> Blocks;
  /// Sum of the capacities of Blocks, which is what this answer holds of
  /// Memory.
  std::size_t HeldBytes = 0;
  std::size_t ReceivedBytes = 0;
  bool HasOverflowed = false;
};

} // namespace magnoliamill::entry
