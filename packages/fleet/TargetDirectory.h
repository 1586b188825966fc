// Tracks the newest instance of each target. Decides which heartbeats are
// accepted and which instances have ended.
#pragma once

#include "fleet/View.h"

#include <map>
#include <string>
#include <vector>

namespace magnoliamill::fleet {

class TargetDirectory {
public:
  explicit TargetDirectory(
      const std::map<keyspace::TargetInstance, Target> &known);

  struct UpdateResult {
    /// False when the heartbeat is older than the newest known one or its
    /// sender has ended; it then changes nothing.
    bool IsAccepted = false;
    /// Instances that the heartbeat proves to have ended: the sender is a later
    /// instance with the same id, or has their address.
    std::vector<keyspace::TargetInstance> Ended;
  };

  /// Records the sender of a heartbeat, if the heartbeat is accepted.
  UpdateResult update(const Target &target);
  void remove(const keyspace::TargetInstance &instance);
  /// The newest instance of \p id; null when it is unknown.
  const Target *find(const std::string &id) const;

private:
  void put(const Target &target);

  std::map<std::string, Target> ById;
  /// Id of the newest target at each address.
  std::map<std::string, std::string> ByAddress;
};

} // namespace magnoliamill::fleet
