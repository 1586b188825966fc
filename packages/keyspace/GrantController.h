// The leader's side of ownership: what each target is to hold, until when it
// may hold it, and when a stripe is free for another. Without I/O.
//
// Holds travel only in answers to heartbeats and count from their sending, so a
// hold that was answered at time t has ended everywhere at t + HoldTime, drift
// included. A controller is made when its VM becomes leader; owners that it has
// not heard of may hold their stripes for a full HoldTime from then.
#pragma once

#include "base/Time.h"
#include "keyspace/KeyTable.h"
#include "keyspace/StripePlanner.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace magnoliamill::keyspace {

struct GrantConfig {
  /// How long a target may hold its stripes after it sent a heartbeat.
  base::Duration HoldTime = std::chrono::seconds(4);
  /// Bound for how slow a target's clock may run, in parts of a thousand.
  std::uint32_t ClockDriftPerMille = 20;
  /// From the end of a hold until others are given its stripes.
  base::Duration ExpiryMargin = std::chrono::milliseconds(100);
  base::Duration HeartbeatInterval = std::chrono::milliseconds(870);
  /// From the first target's heartbeat to the first assignment of a service, so
  /// that all targets have reported.
  base::Duration SettleTime = std::chrono::milliseconds(1500);
  /// The relative speed of a target, 1 for the mean.
  std::function<double(const TargetInstance &)> SpeedOf;
  /// From one plan of transfers to the next: measured speeds have to show what
  /// the last one did.
  base::Duration TransferInterval = std::chrono::seconds(2);
  /// Stripes that may be on their way to another holder at a time, in percent:
  /// their keys are not served meanwhile.
  std::uint32_t MaxTransferPercent = 12;
  /// Bytes of a row in an answer; left out, those of a row in JSON.
  std::function<std::size_t(const GrantRow &)> CountRowBytes;
  /// Bytes of the rows in an answer to a heartbeat.
  std::size_t MaxRowBytes = 3900;
};

/// What a heartbeat says about keys.
struct KeyReport {
  TargetInstance Instance;
  std::string Service;
  std::uint32_t Slots = 1;
  /// The target gets no stripes any more and releases those that it has.
  bool IsLeaving = false;
  std::vector<HeldRange> Holds;
  std::vector<ReleasedRange> Released;
};

/// A stripe whose requests are to go to another target, or to none.
struct StripeChange {
  std::string Service;
  std::uint32_t Stripe = 0;
  std::optional<TargetInstance> Holder;
};

class GrantController {
public:
  GrantController(const KeyTable &table, GrantConfig config,
                  base::MonoTime now);

  /// Everything that the target is to hold from the sending of this heartbeat
  /// for config().HoldTime. The heartbeat must be the newest of its life.
  std::vector<GrantRow> onHeartbeat(const KeyReport &report,
                                    base::MonoTime now);
  /// The target has no heartbeats to come, but may hold until its hold ends.
  void onDeparture(const TargetInstance &instance);
  /// The process is proved to be gone: its holds are void.
  void onTerminated(const TargetInstance &instance);

  /// Assignments to propose now; each is answered by onApplied or onDropped
  /// before the next of its service.
  std::vector<KeyAssignment> plan(base::MonoTime now);
  /// An assignment took effect; \p moved are the stripes that it moved.
  void onApplied(const std::string &service,
                 const std::vector<std::uint32_t> &moved);
  void onDropped(const std::string &service);

  /// Changes of holders since the last call, newest last.
  std::vector<StripeChange> takeChanges();
  /// The holder to which requests of a stripe go; null when there is none.
  const TargetInstance *holderOf(const std::string &service,
                                 std::uint32_t stripe) const;
  const GrantConfig &config() const { return Config; }

private:
  struct InstanceState {
    std::string Service;
    std::uint32_t Slots = 1;
    base::MonoTime HoldEnd;
    base::MonoTime LastHeartbeat;
    bool HasReported = false;
    bool IsLeaving = false;
    bool IsTerminated = false;
  };
  struct Stripe {
    /// Left out of its owner's answers, so that the owner releases it.
    bool IsRevoked = false;
    /// The owner has released it.
    bool IsReleased = false;
    /// An assignment of it is proposed.
    bool IsProposed = false;
    /// Its owner was granted it, and requests may go there.
    bool IsActive = false;
    std::optional<TargetInstance> Destination;
    std::string Handover;
  };
  struct Keys {
    std::vector<Stripe> Stripes;
    /// The stripes whose IsRevoked is set.
    std::set<std::uint32_t> Revoked;
    bool IsProposed = false;
    /// Until then no stripes are taken from holders that work.
    base::MonoTime NextTransfers;
    /// First heartbeat of a target of the service.
    std::optional<base::MonoTime> FirstHeartbeat;
  };

  struct CandidateSet {
    std::vector<TargetInstance> Instances;
    std::vector<Candidate> Candidates;
  };

  std::size_t countBytes(const GrantRow &row) const;
  /// Rows that fit into an answer, about.
  std::size_t maxRowsPerAnswer() const;
  Keys &keysOf(const std::string &service);
  base::Duration maxHoldDuration() const;
  void recordReleases(const KeyReport &report, const ServiceKeys &owned);
  std::vector<GrantRow> grant(const KeyReport &report,
                              const ServiceKeys &owned);
  void setActive(const std::string &service, std::uint32_t stripe, bool active);
  void revokeAll(const TargetInstance &instance, const InstanceState &state);
  static void revoke(Keys &keys, std::uint32_t stripe);
  /// Stripes that no target can hold any more, in ascending order.
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
  void deactivateExpired(const std::string &service, const ServiceKeys &owned,
                         base::MonoTime now);

  const KeyTable &Table;
  GrantConfig Config;
  std::map<TargetInstance, InstanceState> Instances;
  std::map<std::string, Keys> Services;
  std::vector<StripeChange> Changes;
};

} // namespace magnoliamill::keyspace
