// What the decisions of this package know of a request: everything but its
// bytes.
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
  /// Absent for services without keys.
  std::optional<base::SlotNumber> Slot;
  /// Hash of the key, for the hot-key sketch; 0 without a key.
  std::uint64_t KeyHash = 0;
  /// An idempotent request may be written to a target more than once.
  bool Idempotent = false;
  /// True when the request must be recorded at a second VM before it starts.
  bool NeedsLedgerRecord = false;
  settings::Urgency Class = settings::Urgency::Normal;
  base::MonoTime Deadline;
};

} // namespace magnoliamill::dispatch
