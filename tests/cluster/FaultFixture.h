// A data centre of three VMs and three targets under load, into which tests and
// benchmarks inject faults.
#pragma once

#include "cluster/HistoryChecker.h"
#include "cluster/LoadRecorder.h"
#include "cluster/LocalCluster.h"

#include <memory>
#include <string>
#include <vector>

namespace magnoliamill::tests {

/// VMs a1 (with a disk), a2 and a3; targets barn-1 to barn-3 of the keyed
/// service barnstock. Waits throw std::runtime_error when they time out.
class FaultFixture {
public:
  /// Starts the VMs, the targets and the load, and waits until requests for
  /// every key are answered. Ports are taken from \p port on, two for each VM.
  FaultFixture(const std::string &name, std::uint16_t port,
               const std::vector<std::string> &TargetFlags = {});

  /// The VM that dispatches to \p target, empty when there is none.
  std::string dispatcherOf(const std::string &target);
  /// A VM that dispatches to a target and doesn't lead the data centre's group;
  /// the leader when no other VM dispatches.
  std::string findNonLeaderDispatcher();
  /// The VM that leads the data centre's group, empty when none is known.
  std::string leader();
  /// Waits until each key has got a fixed number of answers to requests sent
  /// from now on; \p when completes the message of a timeout.
  void awaitAnswers(const std::string &when);
  /// Kills a VM or target with SIGKILL and waits for its end.
  void kill(const std::string &process);
  /// Stops a VM or target with SIGSTOP for longer than any lease or grant
  /// lasts, then resumes it with SIGCONT.
  void freeze(const std::string &process);
  /// Ends the load and checks the recorded history; call once.
  HistoryReport stopAndCheck();

  LocalCluster Cluster;
  std::unique_ptr<LoadRecorder> Load;

private:
  struct TargetLine {
    std::string Name;
    std::string Dispatcher;
    int OwnedSlots = 0;
  };
  std::vector<TargetLine> readTargets();

  // Monotonic time in microseconds at which a process was killed or frozen.
  StopTimes Stops;
  // Start of the first wait for answers, where the checked time begins.
  std::int64_t FromUs = 0;
};

} // namespace magnoliamill::tests
