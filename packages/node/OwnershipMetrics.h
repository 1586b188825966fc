// Metrics of a data centre's services, computed from its ownership views:
// balance of slots, owner changes and unserved time.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "ownership/View.h"

#include <cstdint>
#include <map>
#include <vector>

namespace magnoliamill::node {

struct ServiceMetrics {
  /// Slots of the active target with the most slots divided by the mean over
  /// active targets; 0 when there is no active target or none owns a slot.
  double Imbalance = 0;
  /// Number of times that a slot got another owner since the start; a slot's
  /// first owner does not count.
  std::uint64_t OwnerChanges = 0;
  /// Slots with this data centre as their home that no target serves now.
  std::uint32_t UnservedSlots = 0;
  /// Sum over slots of the time in which no target served them, in seconds.
  double UnservedSeconds = 0;
};

/// Not thread-safe. Sees only the views: unserved time counts from the log
/// entry that records the loss of the target, not from the loss itself.
class OwnershipMetrics {
public:
  /// Takes \p view as the state from \p now on. \p homes lists, per service,
  /// the slots whose home is this data centre.
  void
  update(const ownership::View &view,
         const std::map<base::ServiceId, std::vector<std::uint32_t>> &homes,
         base::MonoTime now);
  const std::map<base::ServiceId, ServiceMetrics> &services() const {
    return Services;
  }

private:
  void countChanges(const base::ServiceId &service,
                    const std::vector<ownership::SlotView> &slots);

  std::map<base::ServiceId, ServiceMetrics> Services;
  // The last known owner of each slot; kept while the slot has no owner.
  std::map<base::ServiceId, std::vector<base::TargetInstanceId>> Owners;
  base::MonoTime LastUpdate{};
};

} // namespace magnoliamill::node
