// Opens a connection to a random member of each group and closes it at once.
#include "entry/TargetProbe.h"

namespace magnoliamill::entry {
namespace {

/// Time between two attempts at a group, which bounds how long requests are
/// relayed after the path works again.
constexpr base::Duration ProbeInterval = std::chrono::milliseconds(250);
/// A target in another data centre accepts a connection within a few
/// milliseconds.
constexpr base::Duration ProbeTime = std::chrono::milliseconds(200);

} // namespace

void TargetProbe::start() {
  if (!std::exchange(IsRunning, true))
    probe();
}

void TargetProbe::probe() {
  const auto groups = Pool.reach().listCutOff(base::readMonotonic());
  IsRunning = !groups.empty();
  if (!IsRunning)
    return;
  for (const auto &group : groups)
    if (const auto *target = Pool.pickMember(group))
      connect(*target);
  Timer.expires_after(ProbeInterval);
  // A wait that has ended already can't be cancelled.
  Timer.async_wait([this, alive = std::weak_ptr(IsAlive)](
                       const boost::system::error_code &ec) {
    if (!ec && !alive.expired())
      probe();
  });
}

void TargetProbe::connect(const PooledTarget &target) {
  const auto begun = base::readMonotonic();
  gateway::checkListener(
      EventLoop.context(), target.Address, ProbeTime,
      [this, begun, instance = target.Description.Instance,
       alive = std::weak_ptr(IsAlive)](gateway::ListenerState state) {
        if (alive.expired())
          return;
        if (const auto *known = Pool.find(instance))
          Result(*known, state, begun);
      });
}

} // namespace magnoliamill::entry
