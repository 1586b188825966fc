// Streams generated answer bodies of any size.
#pragma once

#include "protocol/Messages.h"

#include <cstdint>

namespace magnoliamill::fakes {

/// The byte at \p offset of every streamed body, with which receivers can check
/// the content.
constexpr char bodyByteAt(std::uint64_t offset) {
  return static_cast<char>('a' + (offset / 7 + offset) % 26);
}

/// Sends an answer whose head announces \p size bytes, followed by \p sent
/// bytes in chunks. When \p sent is less than \p size, the answer ends with the
/// failure AnswerTruncated.
void streamBody(const protocol::AnswerSink &sink, std::uint64_t size,
                std::uint64_t sent);

} // namespace magnoliamill::fakes
