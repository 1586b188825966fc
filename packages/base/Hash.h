// The hash function used throughout the system: XXH3 with 64 bits.
#pragma once

#include "base/Ids.h"

#include <cstdint>
#include <string_view>

namespace magnoliamill::base {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// The slot of \p key in a service with \p slots slots. The service's name is
/// part of the hash, so that equal keys of different services map to unrelated
/// slots.
SlotNumber slotOfKey(const ServiceId &service, std::string_view key,
                     std::uint32_t slots);

} // namespace magnoliamill::base
