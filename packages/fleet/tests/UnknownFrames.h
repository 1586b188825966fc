// Test helper: frames of kinds that this build does not have.
#pragma once

#include "fleet/Frame.h"

#include <cstring>
#include <string>

namespace magnoliamill::fleet::tests {

/// Encodes a frame without content whose kind is \p kind.
inline std::string makeUnknownFrame(std::uint16_t kind) {
  // The kind is the first value after the segment table and the root pointer.
  constexpr std::size_t KindOffset = 16;
  std::string bytes = encodeFrame(Ping{});
  std::memcpy(bytes.data() + KindOffset, &kind, sizeof kind);
  return bytes;
}

} // namespace magnoliamill::fleet::tests
