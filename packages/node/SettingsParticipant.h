// Takes part in the settings group on one VM: runs a replica, or a follower
// that fetches the log from replicas.
#pragma once

#include "base/EventLoopThread.h"
#include "node/GroupFollower.h"
#include "node/GroupRunner.h"
#include "node/LeaderFinder.h"
#include "node/LogFetchServer.h"
#include "node/StateTypes.h"
#include "settings/HomeController.h"
#include "settings/NodeSettings.h"
#include "settings/StateMachine.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace magnoliamill::node {

struct SettingsParticipantHooks {
  std::function<void(const base::VmId &, std::vector<consensus::Message>)> Send;
  std::function<void(const base::VmId &, protocol::FetchRequest,
                     protocol::Reply<protocol::FetchReply>)>
      Fetch;
  std::function<void(const base::VmId &, protocol::ProposeRequest,
                     protocol::Reply<protocol::ProposeReply>)>
      ProposeTo;
  std::function<bool(const base::VmId &)> IsAlive;
  /// Called when a new view is in force on this VM.
  std::function<void(settings::ViewPtr)> OnView;
};

/// All methods run on the state thread.
class SettingsParticipant {
public:
  SettingsParticipant(base::EventLoopThread &eventloop,
                      base::EventLoopThread &storage,
                      const settings::NodeSettings &node,
                      SettingsParticipantHooks hooks);

  /// Opens the data folder when this VM is a replica. \p bootstrap is true for
  /// the first start of a new installation; otherwise an empty folder means
  /// that the disk was lost, and the replica joins as a new member.
  base::Result<void> open(bool bootstrap);

  void receive(consensus::Message message);
  /// Proposes when this replica leads; otherwise fails with NotLeader and the
  /// leader's VM id, if known, as the message.
  void proposeLocally(std::string command,
                      protocol::Reply<protocol::ProposeReply> reply);
  /// Proposes to the leader on any VM. Safe to call again with the same
  /// command, because all commands are idempotent. Errors: ChangeOutcomeUnknown
  /// when a replica may still apply the command, else NoQuorum.
  void
  propose(const settings::Command &command,
          std::function<void(base::Result<settings::ChangeOutcome>)> reply);
  void answerFetch(protocol::FetchRequest request,
                   protocol::Reply<protocol::FetchReply> reply);
  void onReport(const NodeReport &report);
  /// Handles a leader's commit index that was received after this VM started.
  void onLeaderCommit(consensus::LogIndex commit);
  void tick();

  const settings::StateMachine &machine() const { return Machine; }
  settings::ViewPtr view() const { return View; }
  /// True once this VM has caught up, since its start, with the committed log.
  bool isReady() const { return Ready; }
  bool isLeader() const { return Runner && Runner->isLeader(); }
  std::uint64_t incarnation() const { return Incarnation; }
  consensus::LogIndex inForce() const { return Machine.appliedIndex(); }
  /// The settings index in force at each VM, as reported by it.
  const std::map<base::VmId, consensus::LogIndex> &inForceByVm() const {
    return InForceByVm;
  }
  std::optional<consensus::Membership> membership() const;
  /// {"leader":bool,"commit":N}: tells other VMs the index up to which they
  /// must catch up.
  std::string renderCommit() const;
  base::VmId leader() const;
  /// The VM of the leader when it is known, otherwise of some other replica.
  base::VmId chooseReplica();
  void handOverLeadership();

private:
  /// Writes the first membership of a new installation to \p opened.
  base::Result<void>
  writeFirstMembership(consensus::OpenedStorage &opened) const;
  void startRunner(consensus::OpenedStorage opened);
  void startFollower();
  void afterApply();
  protocol::FetchReply readAfter(const protocol::FetchRequest &request) const;
  /// Other VMs with a disk, in the order in which they are tried.
  std::vector<base::VmId> replicas() const;
  struct ProposeProgress {
    std::uint32_t TriesLeft = 0;
    /// An attempt ended without a clear answer: a replica may still apply the
    /// command, whatever later attempts return.
    bool MayHaveRun = false;
  };
  void proposeWithRetries(
      std::string command, ProposeProgress progress,
      std::function<void(base::Result<settings::ChangeOutcome>)> reply);
  void runLeaderTasks();
  /// Proposes this VM's registration when it is new or its address or other
  /// seed data changed.
  void registerSelf();
  void updateMembership();

  base::EventLoopThread &EventLoop;
  base::EventLoopThread &StorageThread;
  settings::NodeSettings Node;
  SettingsParticipantHooks Hooks;
  settings::StateMachine Machine;
  settings::ViewPtr View;
  std::unique_ptr<GroupRunner> Runner;
  std::unique_ptr<GroupFollower> Follower;
  // Entries that this VM fetched, for VMs that fetch from it.
  consensus::LogWindow FollowerWindow;
  LogFetchServer Fetches;
  std::uint64_t Incarnation = 0;
  bool Ready = false;
  LeaderFinder Finder;
  std::optional<settings::HomeController> Homes;
  std::map<base::VmId, consensus::LogIndex> InForceByVm;
  struct TimedReport {
    NodeReport Report;
    base::MonoTime At;
  };
  std::map<base::VmId, TimedReport> Reports;
  bool BootstrapProposed = false;
  bool RegisterProposed = false;
  base::MonoTime LastMembershipChange{};
};

} // namespace magnoliamill::node
