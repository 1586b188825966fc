// Shares a fixed amount of memory among the answers that wait for their
// clients. Performs no I/O.
#pragma once

#include <cstddef>

namespace magnoliamill::entry {

class AnswerMemory {
public:
  explicit AnswerMemory(std::size_t capacity) : Capacity(capacity) {}

  /// Takes \p bytes for an answer that holds \p held bytes. Returns false if it
  /// would then hold more than is left free: one answer gets at most half of
  /// the memory, and many that grow at the same time leave room for others.
  bool take(std::size_t held, std::size_t bytes) {
    if (Used + held + 2 * bytes > Capacity)
      return false;
    Used += bytes;
    return true;
  }
  void release(std::size_t bytes) { Used -= bytes; }
  std::size_t used() const { return Used; }

private:
  std::size_t Capacity;
  /// At most Capacity.
  std::size_t Used = 0;
};

} // namespace magnoliamill::entry
