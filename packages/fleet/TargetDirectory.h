// Judges heartbeats: which is news, which is late, which process is gone.
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
    /// False: the heartbeat is older than what is known, or its sender has
    /// ended. It changes nothing.
    bool IsAccepted = false;
    /// Lives that the heartbeat proves to have ended: a later life has the same
    /// id, or its process has their address.
    std::vector<keyspace::TargetInstance> Ended;
  };

  UpdateResult update(const Target &target);
  void remove(const keyspace::TargetInstance &instance);
  /// The newest life of \p id; null when it is unknown.
  const Target *find(const std::string &id) const;

private:
  void put(const Target &target);

  std::map<std::string, Target> ById;
  /// The id of the newest process at an address.
  std::map<std::string, std::string> ByAddress;
};

} // namespace magnoliamill::fleet
