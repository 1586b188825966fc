// The properties of a request that routing and dispatching depend on; its
// headers and body are not part of them.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "settings/View.h"

#include <cstdint>
#include <optional>

namespace magnoliamill::dispatch {

struct RequestInfo {
  base::RequestId Id;
  base::ServiceId Service;
  base::ClientAccountId ClientAccount;
  /// Not set for services without keys.
  std::optional<base::SlotNumber> Slot;
  /// Hash of the key, for the hot-key sketch; 0 without a key.
  std::uint64_t KeyHash = 0;
  /// An idempotent request may be written to a target more than once.
  bool Idempotent = false;
  /// True if the request's idempotency key must be recorded at other VMs too
  /// (see LedgerQuorum) before the request starts.
  bool NeedsLedgerRecord = false;
  settings::Urgency Class = settings::Urgency::Normal;
  base::MonoTime Deadline;
};

} // namespace magnoliamill::dispatch
