// Guards the HTTP library's parser against input that it asserts not to get.
#pragma once

#include <cstddef>

namespace magnoliamill::gateway::internal {

/// The parser asserts that it gets the last chunk of a body, once it has seen
/// its size, in at least this many bytes ("0", CRLF, CRLF). A sender that
/// splits them would end the process.
constexpr std::size_t MinChunkedBytes = 5;

/// False if \p parser has to get more than \p bytes of input at once. No body
/// waits for that in vain: what is left of it always ends with a last chunk.
template <class Parser> bool mayParse(const Parser &parser, std::size_t bytes) {
  return !parser.is_header_done() || !parser.chunked() ||
         bytes >= MinChunkedBytes;
}

} // namespace magnoliamill::gateway::internal
