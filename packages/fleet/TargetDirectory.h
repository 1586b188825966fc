// Tracks the instance of each target that is in use. Decides which heartbeats
// are accepted and which instances their senders replace.
#pragma once

#include "fleet/View.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace magnoliamill::fleet {

/// What becomes of a heartbeat.
enum class HeartbeatVerdict {
  Accepted,
  /// Older than the newest known one of its sender, or of a process that was
  /// started before the one in use.
  Late,
  /// A process that still sends heartbeats has the id or the address.
  Occupied,
  /// A process can't change its address or its service.
  Contradicting,
};

class TargetDirectory {
public:
  explicit TargetDirectory(
      const std::map<keyspace::TargetInstance, Target> &known);

  struct UpdateResult {
    /// A heartbeat that is not accepted changes nothing.
    HeartbeatVerdict Verdict = HeartbeatVerdict::Late;
    /// Instances that the sender replaces: they have its id or its address and
    /// send no heartbeats any more. They may still hold keys.
    std::vector<keyspace::TargetInstance> Replaced;
  };
  /// Whether an instance has sent a heartbeat lately and has not departed.
  using AliveTest = std::function<bool(const keyspace::TargetInstance &)>;

  /// Records the sender of a heartbeat, if the heartbeat is accepted. What it
  /// says of other processes is taken from one party only, so none is replaced
  /// while it is alive, and none by a process that was started before it:
  /// heartbeats may be delayed for as long as a partition lasts.
  UpdateResult update(const Target &target, const AliveTest &IsAlive);
  void remove(const keyspace::TargetInstance &instance);
  /// The instance of \p id that is in use; null when there is none.
  const Target *find(const std::string &id) const;

private:
  /// The other instances with the id or the address of \p target.
  std::vector<keyspace::TargetInstance> listRivals(const Target &target) const;
  void put(const Target &target);

  std::map<std::string, Target> ById;
  /// Id of the target in use at each address.
  std::map<std::string, std::string> ByAddress;
};

} // namespace magnoliamill::fleet
