// Tries a member of each group of targets that is cut off, so that requests use
// the direct path again once it works.
#pragma once

#include "base/EventLoopThread.h"
#include "entry/TargetPool.h"
#include "gateway/ListenerCheck.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace magnoliamill::entry {

/// All methods must be called on the thread of the event loop.
class TargetProbe {
public:
  /// Called with the result of an attempt begun at \p begun.
  using ResultHook =
      std::function<void(const PooledTarget &target,
                         gateway::ListenerState state, base::MonoTime begun)>;

  TargetProbe(base::EventLoopThread &loop, TargetPool &pool, ResultHook result)
      : EventLoop(loop), Pool(pool), Result(std::move(result)),
        Timer(loop.context()) {}

  /// Probes from now on, until no group is cut off.
  void start();

private:
  void probe();
  void connect(const PooledTarget &target);

  base::EventLoopThread &EventLoop;
  TargetPool &Pool;
  ResultHook Result;
  boost::asio::steady_timer Timer;
  bool IsRunning = false;
  /// Expires with this object; attempts may outlive it.
  std::shared_ptr<bool> IsAlive = std::make_shared<bool>(true);
};

} // namespace magnoliamill::entry
