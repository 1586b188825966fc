// The measures of a data centre's services, from its ownership states: spread
// of slots, churn, unavailable time.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "ownership/View.h"

#include <cstdint>
#include <map>
#include <vector>

namespace magnoliamill::node {

struct ServiceMetrics {
  /// Slots of the busiest active target divided by the mean over active
  /// targets; 0 when there is none or no slot is owned.
  double Imbalance = 0;
  /// Slots that got another owner since the start; a first owner is none.
  std::uint64_t OwnerChanges = 0;
  /// Slots at home here that no target serves now.
  std::uint32_t UnservedSlots = 0;
  /// Sum over slots of the time in which no target served them, in seconds.
  double UnservedSeconds = 0;
};

/// Not thread-safe. Sees what the views show: an outage counts from the entry
/// that says so, not from the moment of the loss.
class OwnershipMetrics {
public:
  /// Takes \p view as the state from \p now on. \p homes lists the slots that
  /// are at home in this data centre, per service.
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
  // The last known owner of each slot; kept while the slot has none.
  std::map<base::ServiceId, std::vector<base::TargetInstanceId>> Owners;
  base::MonoTime LastUpdate{};
};

} // namespace magnoliamill::node
