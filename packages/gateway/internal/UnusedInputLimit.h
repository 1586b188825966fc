// Bounds the part of an answer that is read but not passed on.
#pragma once

#include <cstddef>

namespace magnoliamill::gateway::internal {

/// Counts the input that its receiver does not get: heads, chunk sizes and
/// extensions, trailers, interim and late answers, and bodies of refusals.
class UnusedInputLimit {
public:
  /// Maximum size of an element of the syntax, such as a head, a chunk size
  /// with its extensions or a trailer. It is buffered until it is complete.
  static constexpr std::size_t MaxElementBytes = 64u << 10;

  /// Counts \p consumed bytes of input, of which the receiver gets \p used;
  /// \p pending bytes are buffered as the start of an element. Returns false if
  /// a limit is exceeded.
  bool accept(std::size_t consumed, std::size_t used, std::size_t pending) {
    UnusedBytes += consumed - used;
    UsedBytes += used;
    return pending < MaxElementBytes &&
           UnusedBytes <= MaxUnusedBytes + UsedBytes * MaxOverhead;
  }

private:
  /// Larger than a late answer to a large download.
  static constexpr std::size_t MaxUnusedBytes = 4u << 20;
  /// Maximum framing per byte of the body. Chunks of one byte have five.
  static constexpr std::size_t MaxOverhead = 8;

  std::size_t UnusedBytes = 0;
  std::size_t UsedBytes = 0;
};

} // namespace magnoliamill::gateway::internal
