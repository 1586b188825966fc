// The settings in force, typed and immutable: what the rest of the system
// reads.
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

/// Class of a route. Urgent requests go ahead without starving the rest.
enum class Urgency : std::uint8_t { Normal, Urgent };

struct RouteRule {
  /// Matches the start of the path behind the service's name.
  std::string Prefix;
  Urgency Class = Urgency::Normal;
  /// Overrides the method's own property (GET and HEAD are idempotent).
  std::optional<bool> Idempotent;
  bool operator==(const RouteRule &) const = default;
};

/// How much the rebalancer weighs each measure for this service.
struct MeasureWeights {
  double Imbalance = 1.0;
  double Churn = 1.0;
  double Unavailable = 1.0;
  bool operator==(const MeasureWeights &) const = default;
};

struct ServiceView {
  base::ServiceId Id;
  /// The team whose subtree holds the service.
  std::string Team;
  bool Keyed = false;
  /// Number of slots; fixed once set. Services without keys have none.
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

/// An operator's word about one target, by its announced name.
struct TargetRule {
  std::string Name;
  bool Leaving = false;
  /// Milliseconds since 1970 by which it must be empty; 0 when not leaving by
  /// date.
  std::int64_t LeaveByMs = 0;
  bool operator==(const TargetRule &) const = default;
};

struct VmView {
  base::VmId Id;
  base::DataCentreId DataCentre;
  std::string Host;
  std::uint16_t PeerPort = 0;
  std::uint16_t HttpPort = 0;
  bool HasDisk = false;
  bool operator==(const VmView &) const = default;
};

/// Where a slot is at home, and the epoch of its tokens there.
struct SlotHome {
  base::DataCentreId Home;
  std::uint64_t Epoch = 0;
  /// Set while a move waits for the old home's release.
  std::optional<base::DataCentreId> MovingTo;
  bool operator==(const SlotHome &) const = default;
};

/// The start of a data-centre group: its epoch and first members.
struct DataCentreGroupView {
  std::uint64_t Epoch = 0;
  consensus::Membership FirstMembers;
  /// Epoch of the group that this one replaced after its loss; 0 for the first.
  std::uint64_t PreviousEpoch = 0;
  bool operator==(const DataCentreGroupView &) const = default;
};

/// A team's access.
struct TeamView {
  std::string Name;
  /// Lower-case hexadecimal SHA-256 of the team's token.
  std::string TokenSha256;
  bool operator==(const TeamView &) const = default;
};

/// An operator's word about a data centre.
struct DataCentreRule {
  base::DataCentreId Id;
  /// The data centre is lost for good: its slots are taken without its
  /// confirmation.
  bool Gone = false;
  /// The group of this epoch (or a lower one) is lost for good and may be
  /// replaced by a new one; 0 when nothing was said.
  std::uint64_t AbandonedEpoch = 0;
  bool operator==(const DataCentreRule &) const = default;
};

struct View {
  /// The log index that this view holds everything up to.
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
