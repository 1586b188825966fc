// Bodies of any size, made as they are asked for.
#pragma once

#include "protocol/Messages.h"

#include <cstdint>

namespace magnoliamill::fakes {

/// The byte at \p offset of every streamed body: lets receivers check content.
constexpr char bodyByteAt(std::uint64_t offset) {
  return static_cast<char>('a' + (offset / 7 + offset) % 26);
}

/// Answers with a head that promises \p size bytes, and sends \p sent of them
/// chunk by chunk; fewer than promised end in a failure.
void streamBody(const protocol::AnswerSink &sink, std::uint64_t size,
                std::uint64_t sent);

} // namespace magnoliamill::fakes
