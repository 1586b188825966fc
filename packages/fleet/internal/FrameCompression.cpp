// Compresses frames with zlib at its fastest level.
#include "fleet/internal/FrameCompression.h"

#include <cstdint>
#include <cstring>
#include <zlib.h>

namespace magnoliamill::fleet::internal {
namespace {

const Bytef *asBytes(std::string_view text) {
  return reinterpret_cast<const Bytef *>(text.data());
}

Bytef *asBytes(char *text) { return reinterpret_cast<Bytef *>(text); }

} // namespace

std::string compressFrame(std::string_view bytes) {
  const auto size = static_cast<std::uint32_t>(bytes.size());
  uLongf capacity = ::compressBound(bytes.size());
  std::string compressed(sizeof size + capacity, '\0');
  std::memcpy(compressed.data(), &size, sizeof size);
  const int code =
      ::compress2(asBytes(compressed.data() + sizeof size), &capacity,
                  asBytes(bytes), bytes.size(), Z_BEST_SPEED);
  if (code != Z_OK)
    return {};
  compressed.resize(sizeof size + capacity);
  return compressed;
}

base::Result<std::string> decompressFrame(std::string_view bytes,
                                          std::size_t limit) {
  std::uint32_t size = 0;
  if (bytes.size() < sizeof size)
    return base::fail(base::ResultCode::PeerProtocol,
                      "a compressed frame is truncated");
  std::memcpy(&size, bytes.data(), sizeof size);
  if (size > limit)
    return base::fail(base::ResultCode::PeerProtocol,
                      "a compressed frame expands beyond the limit");
  std::string plain(size, '\0');
  uLongf capacity = size;
  const auto compressed = bytes.substr(sizeof size);
  const int code = ::uncompress(asBytes(plain.data()), &capacity,
                                asBytes(compressed), compressed.size());
  if (code != Z_OK || capacity != size)
    return base::fail(base::ResultCode::PeerProtocol,
                      "a compressed frame is damaged");
  return plain;
}

} // namespace magnoliamill::fleet::internal
