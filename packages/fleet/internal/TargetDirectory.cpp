// Heartbeats by id and by address.
#include "fleet/TargetDirectory.h"

namespace magnoliamill::fleet {

TargetDirectory::TargetDirectory(
    const std::map<keyspace::TargetInstance, Target> &known) {
  for (const auto &[life, target] : known)
    judge(target);
}

TargetDirectory::Verdict TargetDirectory::judge(const Target &about) {
  const auto &life = about.Instance;
  if (const Target *same = find(life.Id)) {
    const bool IsLate = life.StartedAtMs < same->Instance.StartedAtMs ||
                        (life.StartedAtMs == same->Instance.StartedAtMs &&
                         about.Sequence <= same->Sequence);
    if (IsLate)
      return {};
  }
  Verdict verdict{true, {}};
  // One process at a time can listen on an address.
  if (auto it = ByAddress.find(about.Address);
      it != ByAddress.end() && it->second != life.Id) {
    const Target *other = find(it->second);
    if (other && other->Instance.StartedAtMs > life.StartedAtMs)
      return {};
    if (other)
      verdict.Ended.push_back(other->Instance);
  }
  if (const Target *same = find(life.Id);
      same && same->Instance.StartedAtMs < life.StartedAtMs)
    verdict.Ended.push_back(same->Instance);
  for (const auto &ended : verdict.Ended)
    remove(ended);
  put(about);
  return verdict;
}

void TargetDirectory::put(const Target &target) {
  auto it = ById.find(target.Instance.Id);
  if (it != ById.end() && it->second.Address != target.Address)
    ByAddress.erase(it->second.Address);
  ById.insert_or_assign(target.Instance.Id, target);
  ByAddress.insert_or_assign(target.Address, target.Instance.Id);
}

void TargetDirectory::remove(const keyspace::TargetInstance &life) {
  auto it = ById.find(life.Id);
  if (it == ById.end() || it->second.Instance != life)
    return;
  auto address = ByAddress.find(it->second.Address);
  if (address != ByAddress.end() && address->second == life.Id)
    ByAddress.erase(address);
  ById.erase(it);
}

const Target *TargetDirectory::find(const std::string &id) const {
  auto it = ById.find(id);
  return it == ById.end() ? nullptr : &it->second;
}

} // namespace magnoliamill::fleet
