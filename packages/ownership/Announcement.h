// The body of POST /v1/targets/announce, by which a target registers itself and
// keeps its properties up to date. See docs/TARGETS.md.
#pragma once

#include "base/Ids.h"
#include "base/Result.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace magnoliamill::ownership {

struct Announcement {
  base::TargetInstanceId Instance;
  std::string Name;
  base::ServiceId Service;
  base::DataCentreId DataCentre;
  /// Numeric IP.
  std::string Host;
  std::uint16_t Port = 0;
  /// Number of requests that the target runs concurrently.
  std::uint32_t Slots = 1;
  bool ChecksTokens = false;
  bool CanCancel = false;
  bool HonoursDeadlines = false;
  /// The target's monotonic clock, in milliseconds.
  std::int64_t ClockMs = 0;
  bool Leaving = false;
};

/// Parses and validates an announcement. Errors: JsonMalformed, MissingField,
/// WrongType, OutOfRange, AnnouncementInvalid (a malformed name or
/// address); the message names the field. Unknown fields are ignored, so that
/// targets may be newer than the system.
base::Result<Announcement> parseAnnouncement(std::string_view text);

/// True when \p host matches an entry of \p allowed, each a numeric IP or an
/// IPv4 prefix ("127.0.0.0/8"). An empty list allows every host.
bool isHostAllowed(const std::string &host,
                   std::span<const std::string> allowed);

/// Encodes \p target as the JSON that parseAnnouncement reads.
std::string encodeAnnouncement(const Announcement &target);

} // namespace magnoliamill::ownership
