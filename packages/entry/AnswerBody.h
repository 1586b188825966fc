// The received part of an answer's body, without what was passed on.
#pragma once

#include "gateway/MessageMemory.h"

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace magnoliamill::entry {

class AnswerBody {
public:
  explicit AnswerBody(std::shared_ptr<gateway::MessageMemory> memory)
      : Memory(std::move(memory)) {}
  AnswerBody(const AnswerBody &) = delete;
  AnswerBody &operator=(const AnswerBody &) = delete;
  ~AnswerBody() { clear(); }

  /// Returns false, and keeps nothing of \p data, if there is no memory for it.
  bool append(std::string_view data) {
    HasOverflowed = HasOverflowed || !Memory->take(Data.size(), data.size());
    if (!HasOverflowed)
      Data += data;
    return !HasOverflowed;
  }
  /// Removes and returns the next \p n bytes, which must have been received.
  std::string take(std::size_t n) {
    std::string part = Data.substr(Begin, n);
    Begin += part.size();
    // Erasing rarely keeps the cost per byte constant.
    if (Begin * 2 >= Data.size())
      dropTaken();
    return part;
  }
  /// Bytes received so far, whether or not they were taken.
  std::size_t size() const { return DroppedBytes + Data.size(); }
  /// True if the memory did not suffice since the last clear().
  bool hasOverflowed() const { return HasOverflowed; }

  void clear() {
    Memory->release(Data.size());
    Data = std::string();
    Begin = 0;
    DroppedBytes = 0;
    HasOverflowed = false;
  }

private:
  void dropTaken() {
    Memory->release(Begin);
    Data.erase(0, Begin);
    DroppedBytes += Begin;
    Begin = 0;
  }

  std::shared_ptr<gateway::MessageMemory> Memory;
  /// Its size is what this answer holds of Memory.
  std::string Data;
  /// Start of what was not taken, within Data.
  std::size_t Begin = 0;
  std::size_t DroppedBytes = 0;
  bool HasOverflowed = false;
};

} // namespace magnoliamill::entry
