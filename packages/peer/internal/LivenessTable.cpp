// Implements the table of peers that are alive.
#include "peer/internal/LivenessTable.h"

#include <mutex>

namespace magnoliamill::peer::internal {

bool LivenessTable::isAlive(const base::VmId &vm, base::MonoTime now) const {
  std::shared_lock lock(Mutex);
  auto it = Peers.find(vm);
  return it != Peers.end() &&
         now.time_since_epoch().count() < it->second->load();
}

std::shared_ptr<AliveUntil> LivenessTable::add(const base::VmId &vm) {
  std::unique_lock lock(Mutex);
  auto &entry = Peers[vm];
  entry = std::make_shared<AliveUntil>(0);
  return entry;
}

void LivenessTable::remove(const base::VmId &vm) {
  std::unique_lock lock(Mutex);
  Peers.erase(vm);
}

} // namespace magnoliamill::peer::internal
