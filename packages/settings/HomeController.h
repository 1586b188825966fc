// Decisions that the leader of the settings group makes on its own: the homes
// of slots, their moves between data centres, and the start of data-centre
// groups.
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

/// The state of a VM's replica of the data-centre group, as reported by the VM.
struct ReplicaReport {
  base::DataCentreId DataCentre;
  consensus::ReplicaId Replica;
  /// True when the VM may become a member of the group.
  bool Candidate = false;
  /// Epoch of the group whose state this replica holds; 0 when it holds none
  /// (first start, or state lost by a restart). An initial member holds the
  /// epoch as soon as it learns of it.
  std::uint64_t HeldEpoch = 0;
  /// Epoch of the group according to the settings that the VM has applied.
  std::uint64_t KnownEpoch = 0;
  /// The group's voters as known to this replica; empty when it holds no state.
  std::vector<consensus::ReplicaId> Voters;
};

struct HomeControllerConfig {
  /// Maximum number of slots of a service that move at the same time.
  std::uint32_t MaxMovesPerService = 4;
  /// Maximum number of commands per step, so that a large change does not flood
  /// the log.
  std::size_t MaxCommands = 64;
  std::size_t MaxGroupMembers = 5;
  /// How long to wait for more candidates before a group is started.
  base::Duration GroupStartDelay = std::chrono::seconds(2);
  /// Reports older than this are ignored.
  base::Duration ReportLifetime = std::chrono::seconds(5);
  /// How long a group must have been without a quorum before it is replaced.
  base::Duration LostGroupDelay = std::chrono::seconds(1);
  /// Tells whether a data centre has a target that could own slots of the
  /// service; homes are not moved to a data centre without one. When unset, all
  /// data centres qualify.
  std::function<bool(const base::ServiceId &, const base::DataCentreId &)>
      CanServe;
  /// Commands are issued again when the view has not changed for this long.
  base::Duration RetryInterval = std::chrono::seconds(1);
};

/// Runs on the leader; each new leader creates its own instance. Every command
/// carries the epoch that the decision was based on, so that a repeated command
/// or one of a former leader has no effect.
class HomeController {
public:
  explicit HomeController(HomeControllerConfig config = {});

  /// Stores the latest report of a VM, received at \p now.
  void report(const ReplicaReport &report, base::MonoTime now);
  /// The commands to propose now. Their WhenMs is 0; the caller sets it with
  /// setWhenMs().
  std::vector<Command> step(const View &view, base::MonoTime now);

private:
  struct TimedReport {
    ReplicaReport Report;
    base::MonoTime At;
  };
  /// Allows commands once per view index, and again after the retry interval
  /// when the view has not changed.
  struct CommandThrottle {
    consensus::LogIndex Index = 0;
    base::MonoTime At;
    /// Returns whether commands may be issued now, and records it if so.
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
  // When a data centre without a group got its first candidate, or when its
  // group was first seen without a quorum.
  std::map<base::DataCentreId, base::MonoTime> WaitingSince;
  CommandThrottle GroupThrottle;
  CommandThrottle HomeThrottle;
};

/// Sets the proposer's wall clock, in milliseconds since 1970, in any command.
void setWhenMs(Command &command, std::int64_t when);

} // namespace magnoliamill::settings
