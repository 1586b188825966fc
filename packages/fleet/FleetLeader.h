// The work of the leading core besides replication: it handles heartbeats,
// assigns stripes, changes the configuration and publishes the view. Does no
// I/O. A new object is created for each term in which its VM leads.
#pragma once

#include "base/Result.h"
#include "base/Time.h"
#include "fleet/Commands.h"
#include "fleet/FleetState.h"
#include "fleet/Frame.h"
#include "fleet/Heartbeat.h"
#include "fleet/SpeedReport.h"
#include "fleet/StripeLoadTable.h"
#include "fleet/TargetDirectory.h"
#include "fleet/View.h"
#include "fleet/WarmUpTimes.h"
#include "keyspace/GrantController.h"

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace magnoliamill::fleet {

struct FleetLeaderConfig {
  std::uint64_t Term = 0;
  /// Address at which this VM accepts heartbeats: HOST:PORT.
  std::string ControlAddress;
  keyspace::GrantConfig Grants;
  /// A target that sends no heartbeat for longer is removed from the view.
  base::Duration SilentTargetTime = std::chrono::seconds(30);
  /// How long a departure is kept after the departed target's last call. Its
  /// heartbeats may be held up by a partition for some seconds.
  base::Duration DepartureTime = std::chrono::seconds(120);
  /// Departures are kept up to this number. When it is reached, further ones
  /// are refused until earlier ones have expired.
  std::size_t MaxDepartures = 32768;
  /// Below this number, departures are also accepted of targets of which
  /// neither the view nor the keys give evidence.
  std::size_t MaxUnknownDepartures = 4096;
  /// The data centres that may be evacuated; empty: any.
  std::vector<std::string> DataCentres;
  /// Evacuated data centres are kept up to this number, which bounds the state
  /// and each view if any name is accepted.
  std::size_t MaxEvacuations = 1024;
  /// Whether stripes are placed by their measured load.
  bool BalancesByLoad = false;
};

/// Requests the id of the process at \p address (HOST:PORT) from that process
/// itself, by its health check. \p done gets none if there is no answer in
/// time.
using IdentifyProcessHook = std::function<void(
    const std::string &address, const std::string &path,
    std::function<void(std::optional<std::string> id)> done)>;

struct FleetLeaderHooks {
  /// Proposes a command to the group. The callback is called when the command
  /// has been applied on this VM, or with the error.
  std::function<void(Command, std::function<void(base::Result<void>)>)> Propose;
  std::function<void(ViewUpdate)> Publish;
  /// True while this VM holds the leader lease, so that no other VM can lead.
  std::function<bool()> HasLease;
  std::function<base::MonoTime()> ReadTime = base::readMonotonic;
  /// Not called if empty; an address then counts as in use until its target is
  /// silent.
  IdentifyProcessHook IdentifyProcess;
  /// How long requests of a service occupy a slot. Not known if empty.
  StripeLoadTable::WorkTimeHook ReadWorkTime;
};

using ReplyHook = std::function<void(std::uint16_t status, std::string body)>;

class FleetLeader {
public:
  /// \p known is the view that this VM had received before it became leader.
  FleetLeader(FleetLeaderConfig config, const FleetState &state,
              const ControlFormat &format, const View &known,
              FleetLeaderHooks hooks, base::MonoTime now);

  ~FleetLeader() { *Alive = false; }
  FleetLeader(const FleetLeader &) = delete;
  FleetLeader &operator=(const FleetLeader &) = delete;

  /// Publishes the complete view as the first update of the term.
  void start();
  void handle(const Call &call, ReplyHook reply, base::MonoTime now);
  /// To be called after a committed command was applied to the state.
  void onApplied(const StateChange &change);
  /// Plans stripe assignments and publishes pending changes. To be called every
  /// TickInterval.
  void tick(base::MonoTime now);
  void setCores(std::vector<VmAddress> cores);
  void onSpeeds(const SpeedReport &report) { Speeds.add(report); }
  void onStripeLoads(const StripeLoadReport &report, base::MonoTime now) {
    if (Config.BalancesByLoad)
      StripeLoads.add(report, now);
  }
  ViewVersion version() const { return {Config.Term, LastUpdateNumber}; }

  static constexpr base::Duration TickInterval = std::chrono::milliseconds(50);

private:
  keyspace::GrantConfig makeGrantConfig();
  /// Evidence that a heartbeat's sender is the process of its id.
  enum class SenderProof {
    None,
    /// The process at its address has named itself.
    HealthCheck,
  };
  void handleHeartbeat(const Call &call, const ReplyHook &reply,
                       base::MonoTime now,
                       SenderProof proof = SenderProof::None);
  void handleLeave(const Call &call, const ReplyHook &reply);
  void handleConfigChange(const Call &call, const ReplyHook &reply);
  void handleEvacuation(const Call &call, const ReplyHook &reply);
  /// Returns the status and the error by which the call is refused.
  std::optional<std::pair<std::uint16_t, base::Error>>
  checkEvacuation(const Call &call) const;
  /// Adopts the evacuated data centres of the state.
  void applyEvacuations(base::MonoTime now);
  void logEvacuation(const std::string &centre, bool active) const;
  bool areAllEvacuated() const;
  /// The targets of the data centre count as warming up.
  void warmTargets(const std::string &centre, base::MonoTime now);
  void revokeOverdue(base::MonoTime now);
  /// Answers a heartbeat that changes nothing.
  void answerUnaccepted(const Target &sender, HeartbeatVerdict verdict,
                        const ReplyHook &reply);
  /// Requests the id of the process at the sender's address. Returns false if
  /// no request may be sent now.
  bool identify(const Target &sender,
                std::function<void(const std::optional<std::string> &id)> done,
                const ReplyHook &reply, base::MonoTime now);
  /// Handles the heartbeat of a leaving sender once the process at its address
  /// has named itself, and ignores it otherwise.
  void checkDeparture(const Call &call, const Target &sender,
                      const ReplyHook &reply, base::MonoTime now);
  /// Checks which process is at the sender's address if the directory has
  /// another there, or the sender elsewhere, and handles the heartbeat again if
  /// it is the sender. Returns false if no check is started.
  bool checkAddress(const Call &call, const Target &sender,
                    const TargetDirectory::UpdateResult &result,
                    const ReplyHook &reply, base::MonoTime now);
  bool isAlive(const keyspace::TargetInstance &instance,
               base::MonoTime now) const;
  void answerHeartbeat(const Heartbeat &heartbeat, const ReplyHook &reply,
                       base::MonoTime now);
  /// True if the heartbeat was sent before a later instance of its id, or
  /// before the sender's last grant, which a former leader may have given.
  bool isOutdated(const Target &sender) const;
  /// True if an answer may not grant stripes before a GrantRecord of the
  /// heartbeat is committed.
  bool needsRecord(const keyspace::KeyReport &report) const;
  /// The last heartbeat that a GrantRecord names; null if there is none.
  const keyspace::SentHeartbeat *
  lastGrantOf(const std::string &service,
              const keyspace::TargetInstance &instance) const;
  /// Records the report and answers with the stripes that the sender may hold.
  void grantStripes(const keyspace::KeyReport &report, const ReplyHook &reply,
                    base::MonoTime now);
  /// Commits the record that the answer needs, and answers.
  void recordGrant(const keyspace::KeyReport &report, const ReplyHook &reply);
  void answerGrant(const keyspace::KeyReport &report, const ReplyHook &reply);
  /// True if there is room for one more departure.
  bool mayDepart(const keyspace::TargetInstance &instance) const;
  void refuseDeparture(const keyspace::TargetInstance &instance,
                       const ReplyHook &reply);
  /// Log indices of departures that no longer bind, a limited number.
  std::vector<consensus::LogIndex> listExpiredDepartures() const;
  void commitDeparture(const keyspace::TargetInstance &instance,
                       std::function<void(base::Result<void>)> done);
  /// Removes an instance that the sender of a heartbeat has taken the place of.
  void removeFromView(const keyspace::TargetInstance &instance);
  void updateTarget(Target reported, base::MonoTime now);
  bool isKeyed(const std::string &service) const;
  void plan(base::MonoTime now);
  void dropSilentTargets(base::MonoTime now);
  void publishPending();
  void refuse(const ReplyHook &reply, std::uint16_t status, base::Error error);

  FleetLeaderConfig Config;
  const FleetState &State;
  const ControlFormat &Format;
  FleetLeaderHooks Hooks;
  TargetDirectory Directory;
  SpeedTable Speeds;
  StripeLoadTable StripeLoads;
  keyspace::GrantController Grants;
  std::map<keyspace::TargetInstance, Target> Targets;
  std::map<keyspace::TargetInstance, base::MonoTime> LastHeartbeat;
  /// Earliest time of the next check of an address.
  std::map<std::string, base::MonoTime> NextAddressChecks;
  std::size_t CountAddressChecks = 0;
  /// Time of the last call of each departed target that this leader has
  /// received; the start of the leader for earlier ones.
  std::map<keyspace::TargetInstance, base::MonoTime> DepartedCalls;
  /// Departures that are proposed and not committed yet.
  std::size_t CountPendingDepartures = 0;
  std::vector<VmAddress> Cores;
  std::uint64_t LastUpdateNumber = 0;
  /// Changes of configuration that are proposed and not committed yet, in the
  /// order of the log.
  std::list<routing::ConfigItems> PendingChanges;
  /// Data centres of evacuation calls that are not committed yet.
  std::multiset<std::string> PendingEvacuations;
  /// As published.
  std::set<std::string> Evacuated;
  WarmUpTimes WarmUps;
  /// Changes to be published with the next update.
  ViewUpdate PendingUpdate;
  bool HasPendingUpdate = false;
  base::MonoTime NextSilenceCheck;
  /// Set to false when the object is destroyed at the end of the term:
  /// callbacks of proposals may still be called after that.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace magnoliamill::fleet
