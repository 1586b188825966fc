// Guards the HTTP library's parser against input that it asserts not to get.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <stdexcept>

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

/// Passes \p input to \p parser and returns how much of it was used. Its fields
/// hold at most 65,533 bytes and throw beyond that, where larger limits or a
/// trailer allow more.
template <class Parser>
std::size_t parseInput(Parser &parser, boost::asio::const_buffer input,
                       boost::system::error_code &ec) {
  ec = boost::beast::http::error::need_more;
  if (!mayParse(parser, input.size()))
    return 0;
  try {
    return parser.put(input, ec);
  } catch (const std::length_error &) {
    ec = boost::beast::http::error::header_limit;
    return 0;
  }
}

} // namespace magnoliamill::gateway::internal
