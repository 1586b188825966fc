// One data centre of three VMs with three targets and load, for tests and
// measurements of one fault.
#pragma once

#include "cluster/HistoryJudge.h"
#include "cluster/LoadRecorder.h"
#include "cluster/LocalCluster.h"

#include <memory>
#include <string>
#include <vector>

namespace magnoliamill::tests {

/// VMs a1 (with a disk), a2 and a3; targets barn-1 to barn-3 of the keyed
/// service barnstock. Waits throw when their condition never comes.
class FaultBench {
public:
  /// Starts everything and waits for steady answers of each key.
  FaultBench(const std::string &name, std::uint16_t port,
             const std::vector<std::string> &TargetFlags = {});

  /// The VM that dispatches to \p target, empty when there is none.
  std::string dispatcherOf(const std::string &target);
  /// A VM that dispatches to a target and doesn't lead the data centre's group,
  /// if there is one.
  std::string findPlainDispatcher();
  std::string leader();
  /// The steady load goes on for a while from now.
  void awaitAnswers(const std::string &when);
  /// SIGKILL to a VM or target.
  void kill(const std::string &process);
  /// SIGSTOP for longer than every lease and grant.
  void freeze(const std::string &process);
  /// Ends the load and judges it; call once.
  Verdict judge();

  LocalCluster Cluster;
  std::unique_ptr<LoadRecorder> Load;

private:
  struct TargetLine {
    std::string Name;
    std::string Dispatcher;
    int OwnedSlots = 0;
  };
  std::vector<TargetLine> readTargets();

  // When a target was killed or frozen.
  StopTimes Stops;
  std::int64_t FromUs = 0;
};

} // namespace magnoliamill::tests
