// Compares heartbeats by id, start time, sequence number and address.
#include "fleet/TargetDirectory.h"

namespace magnoliamill::fleet {

TargetDirectory::TargetDirectory(
    const std::map<keyspace::TargetInstance, Target> &known) {
  for (const auto &[instance, target] : known)
    update(target);
}

TargetDirectory::UpdateResult TargetDirectory::update(const Target &target) {
  const auto &instance = target.Instance;
  if (const Target *same = find(instance.Id)) {
    const bool IsLate = instance.StartedAtMs < same->Instance.StartedAtMs ||
                        (instance.StartedAtMs == same->Instance.StartedAtMs &&
                         target.Sequence <= same->Sequence);
    if (IsLate)
      return {};
  }
  UpdateResult result{true, {}};
  // Only one process at a time can listen on an address.
  if (auto it = ByAddress.find(target.Address);
      it != ByAddress.end() && it->second != instance.Id) {
    const Target *other = find(it->second);
    if (other && other->Instance.StartedAtMs > instance.StartedAtMs)
      return {};
    if (other)
      result.Ended.push_back(other->Instance);
  }
  if (const Target *same = find(instance.Id);
      same && same->Instance.StartedAtMs < instance.StartedAtMs)
    result.Ended.push_back(same->Instance);
  for (const auto &ended : result.Ended)
    remove(ended);
  put(target);
  return result;
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
