// What a target says of itself: POST /v1/targets/announce. See docs/TARGETS.md.
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
  /// Requests it runs at once.
  std::uint32_t Slots = 1;
  bool ChecksTokens = false;
  bool CanCancel = false;
  bool HonoursDeadlines = false;
  /// The target's monotonic clock, in milliseconds.
  std::int64_t ClockMs = 0;
  bool Leaving = false;
};

/// Reads and checks an announcement. Errors: JsonMalformed, MissingField,
/// WrongType, OutOfRange, AnnouncementInvalid (a name or address of wrong
/// form); the message names the field. Unknown fields are ignored, so that
/// targets may be newer than the system.
base::Result<Announcement> parseAnnouncement(std::string_view text);

/// True when \p host is in one of \p allowed: numeric IPs or IPv4 prefixes
/// ("127.0.0.0/8"). An empty list allows every host.
bool isHostAllowed(const std::string &host,
                   std::span<const std::string> allowed);

/// JSON in the form that parseAnnouncement reads.
std::string encodeAnnouncement(const Announcement &target);

} // namespace magnoliamill::ownership
