// The leader's part of key ownership: decides which stripes each target holds,
// until when it may hold them, and when a stripe is free to be assigned to
// another target. Performs no I/O.
//
// Holds are granted only by answers to heartbeats and count from the sending of
// the heartbeat. A hold that was granted by an answer at time t has therefore
// ended at t + HoldTime, plus the tolerance for clock drift. A controller is
// created when its VM becomes leader. Owners that it has not heard from may
// hold their stripes for a full HoldTime from then.
#pragma once

#include "base/Time.h"
#include "keyspace/EvacuationSchedule.h"
#include "keyspace/KeyTable.h"
#include "keyspace/StripePlanner.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace magnoliamill::keyspace {

/// A check of the loads and the transfers that it has begun.
struct LoadTransferRound {
  std::string Service;
  /// Targets with more load than they can bear.
  std::size_t Overloaded = 0;
  std::size_t Transfers = 0;
};

struct GrantConfig {
  /// How long a target may hold its stripes after sending a heartbeat.
  base::Duration HoldTime = std::chrono::seconds(4);
  /// Maximum amount by which a target's clock may run slow, in thousandths.
  std::uint32_t ClockDriftPerMille = 20;
  /// Safety margin between the end of a hold and the reassignment of its
  /// stripes.
  base::Duration ExpiryMargin = std::chrono::milliseconds(100);
  base::Duration HeartbeatInterval = std::chrono::milliseconds(870);
  /// Time from the first heartbeat of a service's targets to the service's
  /// first assignment, so that all targets have reported by then.
  base::Duration SettleTime = std::chrono::milliseconds(1500);
  /// The relative speed of a target; 1 is the mean. All are 1 if unset.
  std::function<double(const TargetInstance &)> SpeedOf;
  /// The load of each stripe of a service; null if it is not known. Never known
  /// if unset.
  std::function<const StripeLoads *(const std::string &service)> LoadsOf;
  /// Called after each check of the loads.
  std::function<void(const LoadTransferRound &)> OnLoadTransfers;
  /// Time between two rounds of transfers by load: each entry has reported
  /// once.
  base::Duration LoadTransferInterval = std::chrono::seconds(1);
  /// Maximum percentage of stripes that are in transfer when a round of
  /// transfers by load ends.
  std::uint32_t MaxLoadTransferPercent = 4;
  /// How long a new leader transfers no stripes by count if loads are to become
  /// known: it can't tell yet which targets have few stripes because of load.
  base::Duration LoadSettleTime = std::chrono::seconds(5);
  /// How long a stripe is not transferred by load again. Longer than the
  /// transfer and the time in which a measurement reflects it.
  base::Duration LoadTransferPause = std::chrono::seconds(6);
  /// Time between two rounds of transfers, so that the measured speeds reflect
  /// the effect of the last round.
  base::Duration TransferInterval = std::chrono::seconds(2);
  /// Maximum percentage of stripes that are transferred at the same time. Their
  /// keys are not served during the transfer.
  std::uint32_t MaxTransferPercent = 12;
  /// How long the stripes of an evacuated data centre move in steps. Then its
  /// targets lose the rest.
  base::Duration EvacuationTime = std::chrono::seconds(2);
  /// Encoded size of a row of an answer in bytes; that in JSON if unset.
  std::function<std::size_t(const GrantRow &)> CountRowBytes;
  /// Maximum size in bytes of all rows of an answer to a heartbeat.
  std::size_t MaxRowBytes = 3900;
};

/// The part of a heartbeat that concerns keys.
struct KeyReport {
  TargetInstance Instance;
  std::string Service;
  std::uint32_t Slots = 1;
  /// The target gets no more stripes and releases those that it has.
  bool IsLeaving = false;
  std::vector<HeldRange> Holds;
  std::vector<ReleasedRange> Released;
  /// False if nothing but its id and start time says that the sender is the
  /// process that holds the stripes of this instance.
  bool IsIdentified = true;
  std::string DataCentre = {};
  SentHeartbeat Heartbeat = {};
};

/// A change of the target that receives a stripe's requests; no holder if they
/// go to none.
struct StripeChange {
  std::string Service;
  std::uint32_t Stripe = 0;
  std::optional<TargetInstance> Holder;
};

class GrantController {
public:
  GrantController(const KeyTable &table, GrantConfig config,
                  base::MonoTime now);

  /// Records a heartbeat, which must be the newest of its target instance, and
  /// later than the last one that a GrantRecord names. The first one ends
  /// earlier instances of the same id: their stripes pass to this one without a
  /// wait, to other targets only after their hold has ended. Returns the number
  /// of revoked stripes that the target has released.
  std::size_t recordHeartbeat(const KeyReport &report, base::MonoTime now);
  /// True if the answer to the heartbeat would grant stripes that the target
  /// doesn't report with their current token. Such an answer needs a committed
  /// GrantRecord.
  bool hasNewStripes(const KeyReport &report) const;
  /// Returns all keys that the target may hold for config().HoldTime after it
  /// sent this heartbeat, the last one that was recorded of its instance.
  std::vector<GrantRow> grant(const KeyReport &report);
  /// Records and grants at once.
  std::vector<GrantRow> onHeartbeat(const KeyReport &report,
                                    base::MonoTime now) {
    recordHeartbeat(report, now);
    return grant(report);
  }
  /// The target will send no more heartbeats, but may use its stripes until its
  /// hold ends.
  void onDeparture(const TargetInstance &instance);
  /// The process of the target has ended for certain: \p successor answers at
  /// its address. Its stripes pass to the successor if that has the same
  /// service, else they are free.
  void onEnded(const TargetInstance &instance, const TargetInstance &successor,
               base::MonoTime now);
  /// Another process has the address of the target, which has fallen silent.
  /// The target may use its stripes until its hold ends, and may return. One
  /// that was never identified keeps its stripes: it may be at another address.
  void onReplaced(const TargetInstance &instance, base::MonoTime now);
  /// Targets of these data centres get no stripes and give up those that they
  /// have: a share with each answer, if there are other targets, and the rest
  /// with revokeOverdue().
  void setEvacuated(const std::set<std::string> &centres, base::MonoTime now) {
    Evacuations.update(centres, now);
  }
  /// An evacuated data centre whose targets keep no stripes from now on.
  struct Revocation {
    std::string DataCentre;
    /// Stripes that had not moved.
    std::size_t Stripes = 0;
  };
  /// Revokes the remaining stripes of the data centres whose EvacuationTime has
  /// passed since the last call. To be called before plan().
  std::vector<Revocation> revokeOverdue(base::MonoTime now);
  /// Returns the assignments to propose now. Each must be followed by
  /// onApplied() or onDropped() before the next one of its service is planned.
  std::vector<KeyAssignment> plan(base::MonoTime now);
  /// The assignment that passes the stripes of ended instances to their
  /// successor \p heir, to be handled like one returned by plan(); none if
  /// there are no such stripes or another assignment of the service is in
  /// progress.
  std::optional<KeyAssignment> planInheritance(const TargetInstance &heir,
                                               base::MonoTime now);
  /// An assignment was applied and moved the stripes \p moved.
  void onApplied(const std::string &service,
                 const std::vector<std::uint32_t> &moved);
  /// The proposed assignment of the service was not committed.
  void onDropped(const std::string &service);

  /// Returns the changes of holders since the last call, oldest first.
  std::vector<StripeChange> takeChanges();
  /// The holder that receives the stripe's requests; null if there is none.
  const TargetInstance *holderOf(const std::string &service,
                                 std::uint32_t stripe) const;
  /// True if a stripe is committed to the target, which may still hold it, and
  /// the target has not sent a heartbeat since this controller was created.
  bool isUnreportedHolder(const TargetInstance &instance,
                          base::MonoTime now) const;
  bool isOwner(const TargetInstance &instance) const;
  /// True if a later instance of the same id owns or has owned stripes.
  bool hasLaterInstance(const TargetInstance &instance) const;
  const GrantConfig &config() const { return Config; }

private:
  struct InstanceState {
    std::string Service;
    std::string DataCentre;
    std::uint32_t Slots = 1;
    base::MonoTime HoldEnd;
    base::MonoTime LastHeartbeat;
    bool HasReported = false;
    bool IsLeaving = false;
    /// Another process has its address; it gets no stripes before its next
    /// heartbeat.
    bool IsDisplaced = false;
    /// What the target reports as released counts from then on: before, another
    /// process with its id may have sent the report while the target holds its
    /// stripes.
    base::MonoTime ReleasesFrom{};
    /// The instance as which the target has started again, or that has taken
    /// its address.
    std::optional<TargetInstance> Successor;
    /// Instances that this one, directly or not, is the successor of.
    std::vector<TargetInstance> Predecessors;
  };
  struct Stripe {
    /// Omitted from answers to its owner, so that the owner releases it.
    bool IsRevoked = false;
    /// The owner has released it.
    bool IsReleased = false;
    /// An assignment of the stripe is proposed.
    bool IsProposed = false;
    /// The stripe was granted to its owner, which may receive requests.
    bool IsActive = false;
    /// The target that a transfer moves the stripe to.
    std::optional<TargetInstance> Destination;
    std::string Handover;
    /// Until then it is not transferred by load.
    base::MonoTime StaysUntil;
    /// End of the hold of earlier instances of the owner, which it has
    /// inherited the stripe from. Until then the stripe passes to no other
    /// target: that they have ended is stated by the owner's id alone.
    base::MonoTime FormerHoldEnd;
  };
  /// When a target had too much load for the first and for the last time.
  struct Overload {
    base::MonoTime Since;
    base::MonoTime Last;
  };
  struct Keys {
    std::vector<Stripe> Stripes;
    /// Stripes with IsRevoked set.
    std::set<std::uint32_t> Revoked;
    bool IsProposed = false;
    /// Earliest time of the next round of transfers.
    base::MonoTime NextTransfers;
    /// The same for transfers by load.
    base::MonoTime NextLoadTransfers;
    std::map<TargetInstance, Overload> Overloads;
    /// Time of the first heartbeat of any target of the service.
    std::optional<base::MonoTime> FirstHeartbeat;
  };

  /// Candidates[i] belongs to Instances[i]; sorted by instance.
  struct CandidateSet {
    std::vector<TargetInstance> Instances;
    std::vector<Candidate> Candidates;
  };

  std::size_t countBytes(const GrantRow &row) const;
  /// Approximate number of rows that fit into an answer.
  std::size_t maxRowsPerAnswer() const;
  Keys &keysOf(const std::string &service);
  base::Duration maxHoldDuration() const;
  /// Makes \p successor the heir of the stripes of \p former.
  void setSuccessor(const TargetInstance &former, InstanceState &state,
                    const TargetInstance &successor);
  /// Makes \p successor the heir of the earlier instances of its id.
  void endEarlierInstances(const TargetInstance &successor);
  std::size_t recordReleases(const KeyReport &report, const ServiceKeys &owned);
  void setActive(const std::string &service, std::uint32_t stripe, bool active);
  void revokeAll(const TargetInstance &instance, const InstanceState &state);
  /// Revokes what the sender gives up now because of an evacuation.
  void revokeEvacuated(const KeyReport &report, const InstanceState &state,
                       const ServiceKeys &owned, base::MonoTime now);
  static void revoke(Keys &keys, std::uint32_t stripe);
  /// The last in the row of its successors; null if there is none.
  const TargetInstance *findHeir(const InstanceState &state) const;
  /// Adds the stripes of \p owner to an assignment that passes them to its
  /// heir, the last one of the assignment's owners.
  void addInheritance(const TargetInstance &owner, const ServiceKeys &owned,
                      KeyAssignment &assignment, base::MonoTime now);
  /// Passes stripes to candidates that are heirs of their owners.
  std::optional<KeyAssignment> planInheritances(const std::string &service,
                                                base::MonoTime now);
  /// Stripes that no target can still hold, in ascending order.
  std::vector<std::uint32_t> listFreeStripes(const ServiceKeys *owned,
                                             const Keys &keys,
                                             std::uint32_t total,
                                             base::MonoTime now) const;
  bool isCandidate(const InstanceState &state, base::MonoTime now) const;
  CandidateSet listCandidates(const std::string &service, const Keys &keys,
                              base::MonoTime now) const;
  std::optional<KeyAssignment> planService(const std::string &service,
                                           base::MonoTime now);
  void planServiceTransfers(const std::string &service, const CandidateSet &set,
                            base::MonoTime now);
  /// The load of each stripe of the service; null if it is not known.
  const StripeLoads *findLoads(const std::string &service) const;
  std::vector<LoadCandidate> measureCandidates(const std::string &service,
                                               const CandidateSet &set,
                                               const StripeLoads &loads,
                                               base::MonoTime now);
  /// The candidates by which stripes are placed by count.
  std::vector<Candidate> countCandidates(const std::string &service,
                                         const CandidateSet &set,
                                         base::MonoTime now);
  /// Begins transfers by load. Returns false if none are needed or loads are
  /// not known.
  bool planLoadTransfers(const std::string &service, const CandidateSet &set,
                         base::MonoTime now);
  void deactivateExpired(const std::string &service, const ServiceKeys &owned,
                         base::MonoTime now);

  const KeyTable &Table;
  GrantConfig Config;
  EvacuationSchedule Evacuations;
  std::map<TargetInstance, InstanceState> Instances;
  std::map<std::string, Keys> Services;
  std::vector<StripeChange> Changes;
};

} // namespace magnoliamill::keyspace
