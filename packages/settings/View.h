// The current settings as typed, immutable values, as the rest of the system
// reads them.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "consensus/Types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace magnoliamill::settings {

/// Class of a route. Urgent requests are dispatched first, without starving
/// normal ones.
enum class Urgency : std::uint8_t { Normal, Urgent };

/// How requests to some paths of a service are treated.
struct RouteRule {
  /// Prefix of the request path after the service's name.
  std::string Prefix;
  Urgency Class = Urgency::Normal;
  /// Overrides the default of the method (GET and HEAD are idempotent).
  std::optional<bool> Idempotent;
  bool operator==(const RouteRule &) const = default;
};

/// Weights of the measures that the rebalancer minimizes for a service.
struct MeasureWeights {
  double Imbalance = 1.0;
  double Churn = 1.0;
  double Unavailable = 1.0;
  bool operator==(const MeasureWeights &) const = default;
};

/// The settings of a service.
struct ServiceView {
  base::ServiceId Id;
  /// The team whose subtree contains the service.
  std::string Team;
  bool Keyed = false;
  /// Number of slots; fixed once the service exists. 0 for services without
  /// keys.
  std::uint32_t Slots = 0;
  std::vector<base::DataCentreId> DataCentres;
  /// Weight per client account; a client account that is not listed has weight
  /// 1 unless OnlyListedClientAccounts is set.
  std::map<base::ClientAccountId, std::uint32_t> ClientAccountWeights;
  bool OnlyListedClientAccounts = false;
  base::Duration DefaultDeadline = std::chrono::seconds(2);
  std::uint32_t QueueLimitPerTarget = 64;
  std::vector<RouteRule> Routes;
  MeasureWeights Weights;
  /// Numeric IPs or prefixes ("127.0.0.0/8") that may announce targets.
  std::vector<std::string> TargetHosts;
  /// Retries allowed per 100 answered requests.
  std::uint32_t RetryBudgetPercent = 10;
  bool operator==(const ServiceView &) const = default;
};

/// An operator's setting for a target.
struct TargetRule {
  /// The target's announced name.
  std::string Name;
  /// The target is to be drained.
  bool Leaving = false;
  /// Time by which it must be empty, in milliseconds since 1970; 0 when no time
  /// is set.
  std::int64_t LeaveByMs = 0;
  bool operator==(const TargetRule &) const = default;
};

/// A registered VM and its addresses.
struct VmView {
  base::VmId Id;
  base::DataCentreId DataCentre;
  std::string Host;
  std::uint16_t PeerPort = 0;
  std::uint16_t HttpPort = 0;
  bool HasDisk = false;
  bool operator==(const VmView &) const = default;
};

/// The data centre that owns a slot, its home, and the epoch of the slot's
/// tokens there.
struct SlotHome {
  base::DataCentreId Home;
  std::uint64_t Epoch = 0;
  /// The destination of a move, set until the old home has released the slot.
  std::optional<base::DataCentreId> MovingTo;
  bool operator==(const SlotHome &) const = default;
};

/// The epoch and the initial members of a data-centre group.
struct DataCentreGroupView {
  std::uint64_t Epoch = 0;
  consensus::Membership FirstMembers;
  /// Epoch of the lost group that this one replaced; 0 for the first group.
  std::uint64_t PreviousEpoch = 0;
  bool operator==(const DataCentreGroupView &) const = default;
};

/// A team and its token.
struct TeamView {
  std::string Name;
  /// Lower-case hexadecimal SHA-256 of the team's token.
  std::string TokenSha256;
  bool operator==(const TeamView &) const = default;
};

/// An operator's setting for a data centre.
struct DataCentreRule {
  base::DataCentreId Id;
  /// The data centre is permanently lost: its slots are reassigned without its
  /// confirmation.
  bool Gone = false;
  /// Groups up to this epoch are permanently lost and may be replaced by a new
  /// one; 0 when none was declared lost.
  std::uint64_t AbandonedEpoch = 0;
  bool operator==(const DataCentreRule &) const = default;
};

/// All current settings.
struct View {
  /// The log index of the last change that this view contains.
  consensus::LogIndex Index = 0;
  std::map<base::ServiceId, ServiceView> Services;
  /// By service, then by the target's announced name.
  std::map<base::ServiceId, std::map<std::string, TargetRule>> TargetRules;
  std::map<base::VmId, VmView> Vms;
  std::map<base::ServiceId, std::vector<SlotHome>> Homes;
  std::map<base::DataCentreId, DataCentreGroupView> Groups;
  std::map<std::string, TeamView> Teams;
  std::map<base::DataCentreId, DataCentreRule> DataCentreRules;
  bool operator==(const View &) const = default;
};

using ViewPtr = std::shared_ptr<const View>;

} // namespace magnoliamill::settings
