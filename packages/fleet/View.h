// The view by which the entries of a fleet route requests: configuration,
// targets and holders of stripes. The leader publishes it as numbered updates,
// so that every VM has the same view.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "keyspace/Types.h"
#include "routing/ConfigStore.h"

#include <algorithm>
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
  /// Sequence number of its newest heartbeat.
  std::uint64_t Sequence = 0;
  /// IP:PORT.
  std::string Address;
  std::string Service;
  std::string DataCentre;
  std::uint32_t Slots = 1;
  TargetState State = TargetState::Ready;
  /// Until when the target is slow after its start. Sent as the time that is
  /// left.
  base::MonoTime WarmUntil{};
  bool operator==(const Target &) const = default;
};

struct HolderChange {
  std::uint32_t Stripe = 0;
  /// Empty while requests of the stripe can't be served.
  std::optional<keyspace::TargetInstance> Holder;
};

struct ServiceHolders {
  std::string Service;
  std::uint32_t StripeCount = 0;
  std::vector<HolderChange> Changes;
};

/// A core or an entry.
struct VmAddress {
  /// Numeric IP; the ports are the same on all VMs.
  std::string Host;
  std::string DataCentre;
  auto operator<=>(const VmAddress &) const = default;
};

/// Version of a view: ordered by the leader's term, then by the number of the
/// update within the term.
struct ViewVersion {
  std::uint64_t Term = 0;
  std::uint64_t Number = 0;
  auto operator<=>(const ViewVersion &) const = default;
};

struct ViewUpdate {
  ViewVersion Version;
  /// True when Targets and Holders replace all earlier ones. Otherwise the
  /// update applies to the view with the preceding number.
  bool IsWhole = false;
  routing::ConfigItems Items;
  std::vector<Target> Targets;
  std::vector<keyspace::TargetInstance> GoneTargets;
  std::vector<ServiceHolders> Holders;
  /// Empty when unchanged.
  std::vector<VmAddress> Cores;
  /// The evacuated data centres, sorted; not set when unchanged.
  std::optional<std::vector<std::string>> Evacuated;
};

class View {
public:
  enum class Outcome {
    Applied,
    /// Not newer than the current version.
    Stale,
    /// Earlier updates are missing.
    Gap
  };

  /// Applies \p update. Configuration items are merged by their own versions,
  /// even if the outcome is Stale or Gap.
  Outcome apply(const ViewUpdate &update);
  /// The complete view as one update.
  ViewUpdate describeWhole() const;

  ViewVersion version() const { return Version; }
  bool isEmpty() const { return Version == ViewVersion{}; }
  const routing::ConfigStore &config() const { return Config; }
  const std::map<keyspace::TargetInstance, Target> &targets() const {
    return Targets;
  }
  const Target *findTarget(const keyspace::TargetInstance &instance) const;
  const std::vector<VmAddress> &cores() const { return Cores; }
  /// The targets of an evacuated data centre get no requests.
  bool isEvacuated(std::string_view centre) const {
    return std::ranges::binary_search(Evacuated, centre);
  }
  const std::vector<std::string> &evacuated() const { return Evacuated; }

  /// The target to which requests of \p key go; null when there is none.
  const keyspace::TargetInstance *holderOf(std::string_view service,
                                           std::uint32_t key) const;
  /// The number of stripes of the service; 0 if none was ever assigned.
  std::uint32_t countStripes(std::string_view service) const;
  /// What the last apply() changed, for callers that keep tables derived from
  /// the view.
  struct LastChange {
    routing::ConfigItems Items;
    /// Instances that were added, changed or removed.
    std::vector<keyspace::TargetInstance> Targets;
    bool HasEvacuations = false;
    /// All targets and holders may have changed.
    bool IsWhole = false;
  };
  const LastChange &lastChange() const { return Last; }

private:
  struct Holders {
    std::vector<keyspace::TargetInstance> Instances;
    /// Index of each instance in Instances.
    std::map<keyspace::TargetInstance, std::int32_t> Indices;
    /// Index into Instances by stripe; -1 for none.
    std::vector<std::int32_t> ByStripe;
  };
  void applyHolders(const ServiceHolders &update);
  static void dropUnused(Holders &holders);

  ViewVersion Version;
  routing::ConfigStore Config;
  LastChange Last;
  std::map<keyspace::TargetInstance, Target> Targets;
  std::map<std::string, Holders, std::less<>> ByService;
  std::vector<VmAddress> Cores;
  /// Sorted.
  std::vector<std::string> Evacuated;
};

} // namespace magnoliamill::fleet
