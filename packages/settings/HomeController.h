// What the leader of the settings group decides by itself: homes of slots,
// their moves between data centres, and the start of data-centre groups.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "consensus/Types.h"
#include "settings/Commands.h"
#include "settings/View.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace magnoliamill::settings {

/// What a VM says of its replica of the data-centre group.
struct ReplicaReport {
  base::DataCentreId DataCentre;
  consensus::ReplicaId Replica;
  /// False for VMs that are not to be a replica.
  bool Candidate = false;
  /// Epoch of the group whose state this replica holds; 0 when it holds none
  /// (first start, or memory lost by a restart). A first member holds the epoch
  /// as soon as it knows it.
  std::uint64_t HeldEpoch = 0;
  /// Epoch of the group in the settings that the VM has in force.
  std::uint64_t KnownEpoch = 0;
  /// The group's voters as far as this replica knows; empty when it holds no
  /// state.
  std::vector<consensus::ReplicaId> Voters;
};

struct HomeControllerConfig {
  /// Slots of one service that move between data centres at the same time.
  std::uint32_t MaxMovesPerService = 4;
  /// Commands in one step, so that a large change does not fill the log.
  std::size_t MaxCommands = 64;
  std::size_t MaxGroupMembers = 5;
  /// How long to wait for more candidates before a first group starts.
  base::Duration GroupStartDelay = std::chrono::seconds(2);
  /// A report counts for this long.
  base::Duration ReportLifetime = std::chrono::seconds(5);
  /// A group must be seen to be without a quorum for this long before it is
  /// replaced.
  base::Duration LostGroupDelay = std::chrono::seconds(1);
  /// Says whether a data centre has a target that could own slots of the
  /// service; a home is not moved to one that has none. Unset: all have.
  std::function<bool(const base::ServiceId &, const base::DataCentreId &)>
      CanServe;
  /// A command is given out again when the view has not changed for this long.
  base::Duration RetryInterval = std::chrono::seconds(1);
};

/// Runs on the leader; a new leader starts with a new one. All commands carry
/// the epoch they were decided on, so that a command of a former leader or a
/// repeated one has no effect.
class HomeController {
public:
  explicit HomeController(HomeControllerConfig config = {});

  void report(const ReplicaReport &report, base::MonoTime now);
  /// The commands to propose now. WhenMs is left 0 for the shell to fill with
  /// setWhenMs().
  std::vector<Command> step(const View &view, base::MonoTime now);

private:
  struct TimedReport {
    ReplicaReport Report;
    base::MonoTime At;
  };
  /// Gives commands out once for each state of the settings, and again when
  /// nothing came of them.
  struct CommandThrottle {
    consensus::LogIndex Index = 0;
    base::MonoTime At;
    /// True when commands may be given out; notes that they were.
    bool tryAcquire(const View &view, base::MonoTime now, base::Duration retry);
  };
  using Reports = std::vector<ReplicaReport>;

  Reports freshReports(const base::DataCentreId &centre,
                       base::MonoTime now) const;
  void planHomes(const View &view, std::vector<Command> &out) const;
  void planGroups(const View &view, base::MonoTime now,
                  std::vector<Command> &out);
  bool isStartDue(const View &view, const base::DataCentreId &centre,
                  const Reports &fresh, base::MonoTime now);

  HomeControllerConfig Config;
  std::map<base::VmId, TimedReport> LastReports;
  // Since when the first candidate of a data centre without a group has been
  // waiting, or its group has been without a quorum.
  std::map<base::DataCentreId, base::MonoTime> WaitingSince;
  CommandThrottle GroupThrottle;
  CommandThrottle HomeThrottle;
};

/// Stamps any command with the proposer's wall clock.
void setWhenMs(Command &command, std::int64_t when);

} // namespace magnoliamill::settings
