// From where an entry gets a request.
#pragma once

#include <cstdint>

namespace magnoliamill::entry {

enum class RequestOrigin : std::uint8_t {
  Client,
  /// Relayed by an entry that can't reach the request's target.
  Entry,
};

} // namespace magnoliamill::entry
