// Tracks the instance of each target that is in use. Decides which heartbeats
// are accepted, which instances have started again and which are displaced.
#pragma once

#include "fleet/View.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace magnoliamill::fleet {

/// What becomes of a heartbeat.
enum class HeartbeatVerdict {
  Accepted,
  /// Older than the newest known one of its sender, or of a process that was
  /// started before the one in use.
  Late,
  /// Another target that still sends heartbeats has the address.
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
    /// The earlier instance of the sender's id, which has started again.
    std::optional<keyspace::TargetInstance> Former;
    /// Another target at the sender's address: displaced, but possibly still
    /// holding keys, if the heartbeat is accepted, alive if the address is
    /// occupied. The sender itself if it contradicts its address.
    std::optional<keyspace::TargetInstance> Occupant;
  };
  using InstanceTest = std::function<bool(const keyspace::TargetInstance &)>;
  /// What else is known of the instances that a heartbeat concerns.
  struct Evidence {
    /// Whether an instance has sent a heartbeat lately and has not departed.
    InstanceTest IsAlive;
    /// Whether the group has committed keys to an instance that has sent no
    /// heartbeat to this leader yet. The directory may then lack its address.
    InstanceTest IsUnreportedHolder;
    /// Whether the group has committed keys to an instance that has sent a
    /// heartbeat to this leader.
    InstanceTest IsReportedHolder = [](const auto &) { return false; };
  };

  /// Records the sender of a heartbeat, if the heartbeat is accepted. A later
  /// instance of an id is accepted at once. A target with another id is
  /// displaced only while it sends nothing, or by a holder whose address was
  /// not in the directory. An earlier process never displaces a later one.
  UpdateResult update(const Target &target, const Evidence &evidence);
  void remove(const keyspace::TargetInstance &instance);
  /// The instance of \p id that is in use; null when there is none.
  const Target *find(const std::string &id) const;

private:
  /// The target in use at the address of \p target that has another id; null
  /// when there is none.
  const Target *findOccupant(const Target &target) const;
  void put(const Target &target);

  std::map<std::string, Target> ById;
  /// Id of the target in use at each address.
  std::map<std::string, std::string> ByAddress;
};

} // namespace magnoliamill::fleet
