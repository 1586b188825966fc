// Finds out whether a target has ended when the connection of a request to it
// is lost, and which requests it had then.
#pragma once

#include "base/EventLoopThread.h"
#include "gateway/TargetClient.h"
#include "keyspace/Types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliamill::entry {

/// All methods must be called on the thread of the event loop.
class CrashWatch {
public:
  explicit CrashWatch(base::EventLoopThread &loop) : EventLoop(loop) {}
  ~CrashWatch();

  /// \p target lost the request \p id with \p content, which it may have run.
  void onLost(const keyspace::TargetInstance &target,
              const gateway::TargetAddress &address, std::uint64_t content,
              std::string_view id);

private:
  struct LostRequest {
    std::uint64_t Content;
    std::string Id;
  };
  void onEnded(const keyspace::TargetInstance &target,
               const std::vector<LostRequest> &lost);

  base::EventLoopThread &EventLoop;
  /// The requests lost by each target that is being checked.
  std::map<keyspace::TargetInstance, std::vector<LostRequest>> Checks;
  /// Expires with this object; checks may outlive it.
  std::shared_ptr<bool> IsAlive = std::make_shared<bool>(true);
};

/// \p content as it is logged.
std::string formatContent(std::uint64_t content);

} // namespace magnoliamill::entry
