// JSON of the body of PUT /.mill/grants and of its reply. See docs/TARGETS.md.
#pragma once

#include "base/Ids.h"
#include "base/Result.h"
#include "base/Token.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliamill::ownership {

struct GrantedSlot {
  base::SlotNumber Slot = 0;
  base::Token Token;
};

struct GrantRequest {
  base::VmId Dispatcher;
  /// The instance the grant is for. A restarted target has another one and
  /// refuses the grant.
  base::TargetInstanceId Instance;
  base::Token DispatchToken;
  /// A reading of the target's own clock; the grant expires TtlMs after it.
  std::int64_t AsOfMs = 0;
  std::int64_t TtlMs = 0;
  /// All slots that the target holds from now on; replaces earlier grants.
  std::vector<GrantedSlot> Slots;
};

struct GrantReply {
  bool Accepted = false;
  /// The target's clock in milliseconds; present when accepted.
  std::optional<std::int64_t> ClockMs;
  /// The highest dispatch token it has seen; present when refused.
  std::optional<base::Token> Highest;
};

std::string encodeGrant(const GrantRequest &request);
base::Result<GrantRequest> parseGrant(std::string_view text);
std::string encodeGrantReply(const GrantReply &reply);
base::Result<GrantReply> parseGrantReply(std::string_view text);

} // namespace magnoliamill::ownership
