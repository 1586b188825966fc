// Compresses large frames: a changed configuration or a complete view has to
// pass the narrow link of an entry within the time in which it must take
// effect.
#pragma once

#include "base/Result.h"

#include <string>
#include <string_view>

namespace magnoliamill::fleet::internal {

/// Compressing smaller frames isn't worth the CPU time.
constexpr std::size_t MinCompressedBytes = 2048;

/// Returns the size of \p bytes as a 32-bit integer, followed by the bytes
/// compressed with zlib. Empty on failure.
std::string compressFrame(std::string_view bytes);
/// Error: PeerProtocol when \p bytes are damaged or expand to more than \p
/// limit bytes.
base::Result<std::string> decompressFrame(std::string_view bytes,
                                          std::size_t limit);

} // namespace magnoliamill::fleet::internal
