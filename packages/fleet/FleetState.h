// The replicated state of a fleet: the configuration, the owner of each stripe,
// and the targets that have announced their departure.
#pragma once

#include "base/Result.h"
#include "consensus/Types.h"
#include "fleet/Commands.h"
#include "fleet/internal/FleetCodec.h"
#include "keyspace/KeyTable.h"
#include "routing/ConfigStore.h"

#include <string>
#include <string_view>
#include <vector>

namespace magnoliamill::fleet {

/// What applying a command changed.
struct StateChange {
  routing::ConfigItems Items;
  /// The service of an assignment and the stripes that it moved.
  std::string Service;
  std::vector<std::uint32_t> MovedStripes;
  /// The evacuated data centres have changed.
  bool HasEvacuations = false;
};

class FleetState {
public:
  StateChange apply(const Command &command, consensus::LogIndex index);

  std::string encodeSnapshot() const;
  /// Error: SnapshotDamaged; the state is empty then.
  base::Result<void> restore(std::string_view bytes);

  const routing::ConfigStore &config() const { return Parts.Config; }
  const keyspace::KeyTable &keys() const { return Parts.Keys; }
  bool hasDeparted(const keyspace::TargetInstance &instance) const {
    return Parts.Departures.contains(instance);
  }
  /// Index of the log entry of each departure that is kept. None is dropped
  /// before a later departure names it as expired.
  const std::map<keyspace::TargetInstance, consensus::LogIndex> &
  departures() const {
    return Parts.Departures;
  }

  /// Data centres whose targets get no requests.
  const std::set<std::string> &evacuations() const { return Parts.Evacuations; }

private:
  void recordDeparture(const TargetDeparture &departure,
                       consensus::LogIndex index);

  internal::SnapshotParts Parts;
};

} // namespace magnoliamill::fleet
