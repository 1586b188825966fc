// Implements the functions of Hash.h with XXH3 from the xxHash library.
#include "base/Hash.h"

#include <xxhash.h>

namespace magnoliamill::base {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

SlotNumber slotOfKey(const ServiceId &service, std::string_view key,
                     std::uint32_t slots) {
  return static_cast<SlotNumber>(hash64(key, hash64(service.Value)) % slots);
}

} // namespace magnoliamill::base
