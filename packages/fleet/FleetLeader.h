// What the leader of a fleet's cores does beyond replicating: it judges
// heartbeats, grants stripes, changes configuration and publishes the view.
// Without I/O; made anew for each term that its VM leads.
#pragma once

#include "base/Result.h"
#include "base/Time.h"
#include "fleet/Commands.h"
#include "fleet/FleetState.h"
#include "fleet/Frame.h"
#include "fleet/Heartbeat.h"
#include "fleet/SpeedReport.h"
#include "fleet/TargetDirectory.h"
#include "fleet/View.h"
#include "keyspace/GrantController.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace magnoliamill::fleet {

struct FleetLeaderConfig {
  std::uint64_t Term = 0;
  /// Where this VM takes heartbeats: HOST:PORT.
  std::string ControlAddress;
  keyspace::GrantConfig Grants;
  /// A target that is silent for longer leaves the view.
  base::Duration SilentTargetTime = std::chrono::seconds(30);
};

struct FleetLeaderHooks {
  /// Proposes to the group; the answer comes when the command has taken effect
  /// here, or was refused.
  std::function<void(Command, std::function<void(base::Result<void>)>)> Propose;
  std::function<void(ViewUpdate)> Publish;
  /// True while no other VM can lead.
  std::function<bool()> HasLease;
};

using ReplyHook = std::function<void(std::uint16_t status, std::string body)>;

class FleetLeader {
public:
  /// \p known is the view as this VM followed it before it became leader.
  FleetLeader(FleetLeaderConfig config, const FleetState &state,
              const ControlFormat &format, const View &known,
              FleetLeaderHooks hooks, base::MonoTime now);

  ~FleetLeader() { *Alive = false; }
  FleetLeader(const FleetLeader &) = delete;
  FleetLeader &operator=(const FleetLeader &) = delete;

  /// Publishes the whole view for the first time.
  void start();
  void handle(const Call &call, ReplyHook reply, base::MonoTime now);
  /// A committed command was applied to the state.
  void onApplied(const StateChange &change);
  /// Plans assignments and publishes what has changed. To be called every
  /// TickInterval.
  void tick(base::MonoTime now);
  void setCores(std::vector<CoreAddress> cores);
  void onSpeeds(const SpeedReport &report) { Speeds.add(report); }
  ViewVersion version() const { return {Config.Term, LastUpdateNumber}; }

  static constexpr base::Duration TickInterval = std::chrono::milliseconds(50);

private:
  keyspace::GrantConfig makeGrantConfig() const;
  void handleHeartbeat(const Call &call, const ReplyHook &reply,
                       base::MonoTime now);
  void handleLeave(const Call &call, const ReplyHook &reply);
  void handleConfigChange(const Call &call, const ReplyHook &reply);
  void answerHeartbeat(const Heartbeat &heartbeat, const ReplyHook &reply,
                       base::MonoTime now);
  void commitDeparture(const keyspace::TargetInstance &instance,
                       std::function<void(base::Result<void>)> done);
  void removeEndedInstance(const keyspace::TargetInstance &instance,
                           std::string_view reason);
  void updateTarget(const Target &target);
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
  keyspace::GrantController Grants;
  std::map<keyspace::TargetInstance, Target> Targets;
  std::map<keyspace::TargetInstance, base::MonoTime> LastHeartbeat;
  std::vector<CoreAddress> Cores;
  std::uint64_t LastUpdateNumber = 0;
  /// What the next update tells.
  ViewUpdate PendingUpdate;
  bool HasPendingUpdate = false;
  base::MonoTime NextSilenceCheck;
  /// False after the end of the leader's term, in which replies may still come.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace magnoliamill::fleet
