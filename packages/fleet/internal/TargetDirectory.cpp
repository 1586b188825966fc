// Compares heartbeats by id, start time, sequence number and address.
#include "fleet/TargetDirectory.h"

namespace magnoliamill::fleet {

namespace {

bool never(const keyspace::TargetInstance &) { return false; }

} // namespace

TargetDirectory::TargetDirectory(
    const std::map<keyspace::TargetInstance, Target> &known) {
  for (const auto &[instance, target] : known)
    update(target, {never, never, never});
}

TargetDirectory::UpdateResult
TargetDirectory::update(const Target &target, const Evidence &evidence) {
  const Target *same = find(target.Instance.Id);
  if (same && same->Instance == target.Instance) {
    // Checked before the sequence numbers, which differ between processes.
    if (target.Address != same->Address)
      return {HeartbeatVerdict::Contradicting, {}, same->Instance};
    if (target.Sequence <= same->Sequence)
      return {};
    if (target.Service != same->Service)
      return {HeartbeatVerdict::Contradicting, {}, {}};
    put(target);
    return {HeartbeatVerdict::Accepted, {}, {}};
  }
  const Target *occupant = findOccupant(target);
  const auto IsLater = [&](const Target *other) {
    return other && other->Instance.StartedAtMs > target.Instance.StartedAtMs;
  };
  if (IsLater(same))
    return {};
  const bool IsHolder = evidence.IsUnreportedHolder(target.Instance);
  // Between two holders of keys the process at the address decides.
  const bool IsOnlyHolder =
      occupant && IsHolder && !evidence.IsReportedHolder(occupant->Instance);
  if (occupant && !IsOnlyHolder) {
    if (IsLater(occupant) && !IsHolder)
      return {};
    if (IsLater(occupant) || evidence.IsAlive(occupant->Instance))
      return {HeartbeatVerdict::Occupied, {}, occupant->Instance};
  }
  UpdateResult result{HeartbeatVerdict::Accepted, {}, {}};
  if (same)
    remove(*(result.Former = same->Instance));
  if (occupant)
    remove(*(result.Occupant = occupant->Instance));
  put(target);
  return result;
}

const Target *TargetDirectory::findOccupant(const Target &target) const {
  const auto it = ByAddress.find(target.Address);
  return it == ByAddress.end() || it->second == target.Instance.Id
             ? nullptr
             : find(it->second);
}

void TargetDirectory::put(const Target &target) {
  auto it = ById.find(target.Instance.Id);
  if (it != ById.end() && it->second.Address != target.Address)
    ByAddress.erase(it->second.Address);
  ById.insert_or_assign(target.Instance.Id, target);
  ByAddress.insert_or_assign(target.Address, target.Instance.Id);
}

void TargetDirectory::remove(const keyspace::TargetInstance &instance) {
  auto it = ById.find(instance.Id);
  if (it == ById.end() || it->second.Instance != instance)
    return;
  auto address = ByAddress.find(it->second.Address);
  if (address != ByAddress.end() && address->second == instance.Id)
    ByAddress.erase(address);
  ById.erase(it);
}

const Target *TargetDirectory::find(const std::string &id) const {
  auto it = ById.find(id);
  return it == ById.end() ? nullptr : &it->second;
}

} // namespace magnoliamill::fleet
