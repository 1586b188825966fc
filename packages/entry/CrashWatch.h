// Finds out whether a target has ended when the connection of a request to it
// is lost, and which requests it had then.
#pragma once

#include "base/EventLoopThread.h"
#include "dispatch/RequestQuarantine.h"
#include "fleet/Frame.h"
#include "gateway/TargetClient.h"
#include "keyspace/Types.h"

#include <cstdint>
#include <functional>
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

  /// Sets the hook that passes on what this entry learns by itself.
  void reportTo(std::function<void(const fleet::CrashReport &)> report) {
    Report = std::move(report);
  }

  /// \p target lost the request \p id with \p content, which it may have run.
  void onLost(const keyspace::TargetInstance &target,
              const gateway::TargetAddress &address, std::uint64_t content,
              std::string_view id);
  /// A target has run a request with \p content and answered it without an
  /// error.
  void onAnswered(std::uint64_t content);
  /// A core tells what the entries have learned.
  void onReport(const fleet::CrashReport &report);
  /// What this entry knows.
  fleet::CrashReport describe() const;
  const dispatch::RequestQuarantine &quarantine() const { return Quarantine; }

private:
  struct LostRequest {
    std::uint64_t Content;
    std::string Id;
  };
  void onEnded(const keyspace::TargetInstance &target,
               const std::vector<LostRequest> &lost);
  /// Takes over \p report and logs what is refused from now on.
  fleet::CrashReport merge(const fleet::CrashReport &report);

  base::EventLoopThread &EventLoop;
  dispatch::RequestQuarantine Quarantine;
  std::function<void(const fleet::CrashReport &)> Report;
  /// The requests lost by each target that is being checked.
  std::map<keyspace::TargetInstance, std::vector<LostRequest>> Checks;
  /// Expires with this object; checks may outlive it.
  std::shared_ptr<bool> IsAlive = std::make_shared<bool>(true);
};

/// \p content as it is logged.
std::string formatContent(std::uint64_t content);

} // namespace magnoliamill::entry
