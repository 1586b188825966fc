// What the entries of a fleet know: configuration, targets, holders of stripes.
// Published by the leader as numbered updates; the same on every VM.
#pragma once

#include "base/Ids.h"
#include "keyspace/Types.h"
#include "routing/ConfigStore.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace magnoliamill::fleet {

enum class TargetState : std::uint8_t { Ready, Leaving };

struct Target {
  keyspace::TargetInstance Instance;
  /// Number of its newest heartbeat.
  std::uint64_t Sequence = 0;
  /// Numeric IP and port.
  std::string Address;
  std::string Service;
  std::string DataCentre;
  std::uint32_t Slots = 1;
  TargetState State = TargetState::Ready;
  bool operator==(const Target &) const = default;
};

struct HolderChange {
  std::uint32_t Stripe = 0;
  /// Nothing when requests of the stripe can't be served at present.
  std::optional<keyspace::TargetInstance> Holder;
};

struct ServiceHolders {
  std::string Service;
  std::uint32_t StripeCount = 0;
  std::vector<HolderChange> Changes;
};

struct CoreAddress {
  /// Numeric IP; the ports are the same on all VMs.
  std::string Host;
  std::string DataCentre;
  auto operator<=>(const CoreAddress &) const = default;
};

/// Orders the states of the view: by the leader's term, then by its count of
/// updates.
struct ViewVersion {
  std::uint64_t Term = 0;
  std::uint64_t Number = 0;
  auto operator<=>(const ViewVersion &) const = default;
};

struct ViewUpdate {
  ViewVersion Version;
  /// Targets and holders replace all that were known; otherwise the update
  /// follows the one with the number before it.
  bool IsWhole = false;
  routing::ConfigItems Items;
  std::vector<Target> Targets;
  std::vector<keyspace::TargetInstance> GoneTargets;
  std::vector<ServiceHolders> Holders;
  /// Empty when unchanged.
  std::vector<CoreAddress> Cores;
};

class View {
public:
  enum class Outcome {
    Applied,
    /// Older than what is known.
    Stale,
    /// Updates in between are missing.
    Gap
  };

  /// Items merge by version also when the update itself is stale.
  Outcome apply(const ViewUpdate &update);
  /// Everything known, as one update.
  ViewUpdate describeWhole() const;

  ViewVersion version() const { return Version; }
  bool isEmpty() const { return Version == ViewVersion{}; }
  const routing::ConfigStore &config() const { return Config; }
  const std::map<keyspace::TargetInstance, Target> &targets() const {
    return Targets;
  }
  const Target *findTarget(const keyspace::TargetInstance &instance) const;
  const std::vector<CoreAddress> &cores() const { return Cores; }

  /// The target to which requests of \p key go; null when there is none.
  const keyspace::TargetInstance *holderOf(std::string_view service,
                                           std::uint32_t key) const;
  /// What the last apply() changed, for those who keep tables of it.
  struct LastChange {
    routing::ConfigItems Items;
    /// Lives of targets that came, changed or went.
    std::vector<keyspace::TargetInstance> Targets;
    /// All targets and holders may have changed.
    bool IsWhole = false;
  };
  const LastChange &lastChange() const { return Last; }

private:
  struct Holders {
    std::vector<keyspace::TargetInstance> Instances;
    /// The index of each of Lives.
    std::map<keyspace::TargetInstance, std::int32_t> Indices;
    /// Index into Lives, by stripe; -1 for none.
    std::vector<std::int32_t> ByStripe;
  };
  void applyHolders(const ServiceHolders &update);
  static void dropUnused(Holders &holders);

  ViewVersion Version;
  routing::ConfigStore Config;
  LastChange Last;
  std::map<keyspace::TargetInstance, Target> Targets;
  std::map<std::string, Holders, std::less<>> ByService;
  std::vector<CoreAddress> Cores;
};

} // namespace magnoliamill::fleet
