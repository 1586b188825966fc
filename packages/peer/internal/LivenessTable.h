// Records which peers are alive; readable from any thread.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <atomic>
#include <memory>
#include <shared_mutex>
#include <unordered_map>

namespace magnoliamill::peer::internal {

/// Time until which a peer counts as alive, in microseconds on the monotonic
/// clock; 0 when the link is down.
using AliveUntil = std::atomic<std::int64_t>;

/// Written by the peer thread. Readers compare with the current time, so that
/// no peer stays alive when the peer thread hangs.
class LivenessTable {
public:
  bool isAlive(const base::VmId &vm, base::MonoTime now) const;
  std::shared_ptr<AliveUntil> add(const base::VmId &vm);
  void remove(const base::VmId &vm);

private:
  mutable std::shared_mutex Mutex;
  std::unordered_map<base::VmId, std::shared_ptr<AliveUntil>> Peers;
};

} // namespace magnoliamill::peer::internal
