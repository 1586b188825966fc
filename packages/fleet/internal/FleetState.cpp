// Applies commands to the replicated state, and restores it from a snapshot.
#include "fleet/FleetState.h"

#include <algorithm>

namespace magnoliamill::fleet {
namespace {

/// Number of departures kept. A departed target exits within seconds, so this
/// is many times the number that can be in progress at once.
constexpr std::size_t MaxDepartures = 4096;

} // namespace

StateChange FleetState::apply(const Command &command,
                              consensus::LogIndex index) {
  StateChange change;
  if (const auto *items = std::get_if<routing::ConfigItems>(&command)) {
    change.Items = Parts.Config.apply(*items);
  } else if (const auto *moves =
                 std::get_if<keyspace::KeyAssignment>(&command)) {
    change.Service = moves->Service;
    change.MovedStripes = Parts.Keys.apply(*moves, index);
  } else {
    rememberDeparture(std::get<TargetDeparture>(command).Instance, index);
  }
  return change;
}

void FleetState::rememberDeparture(const keyspace::TargetInstance &instance,
                                   consensus::LogIndex index) {
  auto &departures = Parts.Departures;
  departures.emplace(instance, index);
  if (departures.size() <= MaxDepartures)
    return;
  departures.erase(std::ranges::min_element(
      departures, {}, [](const auto &entry) { return entry.second; }));
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
