// Applies commands to the replicated state, and restores it from a snapshot.
#include "fleet/FleetState.h"

#include <algorithm>

namespace magnoliamill::fleet {
StateChange FleetState::apply(const Command &command,
                              consensus::LogIndex index) {
  StateChange change;
  if (const auto *items = std::get_if<routing::ConfigItems>(&command)) {
    change.Items = Parts.Config.apply(*items);
  } else if (const auto *moves =
                 std::get_if<keyspace::KeyAssignment>(&command)) {
    change.Service = moves->Service;
    change.MovedStripes = Parts.Keys.apply(*moves, index);
  } else if (const auto *departure = std::get_if<TargetDeparture>(&command)) {
    recordDeparture(*departure, index);
  } else if (const auto *record =
                 std::get_if<keyspace::GrantRecord>(&command)) {
    Parts.Keys.apply(*record);
  } else {
    const auto &evacuation = std::get<Evacuation>(command);
    change.HasEvacuations =
        evacuation.IsActive
            ? Parts.Evacuations.insert(evacuation.DataCentre).second
            : Parts.Evacuations.erase(evacuation.DataCentre) > 0;
  }
  return change;
}

void FleetState::recordDeparture(const TargetDeparture &departure,
                                 consensus::LogIndex index) {
  std::erase_if(Parts.Departures, [&](const auto &entry) {
    return std::ranges::find(departure.Expired, entry.second) !=
           departure.Expired.end();
  });
  Parts.Departures.emplace(departure.Instance, index);
}

std::string FleetState::encodeSnapshot() const {
  return internal::encodeSnapshot(Parts);
}

base::Result<void> FleetState::restore(std::string_view bytes) {
  Parts = {};
  // The snapshot of a new group is empty.
  if (bytes.empty())
    return base::ok();
  auto parts = internal::decodeSnapshot(bytes);
  if (!parts)
    return base::fail(parts.error());
  Parts = std::move(parts.value());
  return base::ok();
}

} // namespace magnoliamill::fleet
