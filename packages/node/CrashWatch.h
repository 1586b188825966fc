// Finds out whether a target has ended when the connection of a request to it
// is lost, and which requests it had then.
#pragma once

#include "base/EventLoopThread.h"
#include "dispatch/CrashReport.h"
#include "gateway/TargetClient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliamill::node {

/// All methods must be called on the thread of the event loop.
class CrashWatch {
public:
  /// \p component names the caller in log lines.
  CrashWatch(base::EventLoopThread &loop, std::string component)
      : EventLoop(loop), Component(std::move(component)) {}
  ~CrashWatch();

  /// Sets the hook that passes on what this VM learns by itself.
  void reportTo(std::function<void(const dispatch::CrashReport &)> report) {
    Report = std::move(report);
  }

  /// \p target, which names the instance, lost the request \p id with \p
  /// content, which it may have run.
  void onLost(const std::string &target, const gateway::TargetAddress &address,
              std::uint64_t content, std::string_view id);
  /// A target has run a request with \p content and answered it without an
  /// error.
  void onAnswered(std::uint64_t content);
  /// Another VM tells what it has learned.
  void onReport(const dispatch::CrashReport &report);
  /// What this VM knows.
  dispatch::CrashReport describe() const;
  const dispatch::RequestQuarantine &quarantine() const { return Quarantine; }

private:
  struct LostRequest {
    std::uint64_t Content;
    std::string Id;
  };
  void onEnded(const std::string &target, const std::vector<LostRequest> &lost);
  /// Takes over \p report and logs what is refused from now on.
  dispatch::CrashReport merge(const dispatch::CrashReport &report);

  base::EventLoopThread &EventLoop;
  std::string Component;
  dispatch::RequestQuarantine Quarantine;
  std::function<void(const dispatch::CrashReport &)> Report;
  /// The requests lost by each target that is being checked.
  std::map<std::string, std::vector<LostRequest>> Checks;
  /// Expires with this object; checks may outlive it.
  std::shared_ptr<bool> IsAlive = std::make_shared<bool>(true);
};

/// \p content as it is logged.
std::string formatContent(std::uint64_t content);

} // namespace magnoliamill::node
