// The data-centre group on one VM: its replica or follower, the ownership state
// and, on the leader, the decisions about targets and slots.
#pragma once

#include "base/EventLoopThread.h"
#include "node/GroupFollower.h"
#include "node/GroupRunner.h"
#include "node/LeaderFinder.h"
#include "node/LogFetchServer.h"
#include "node/StateTypes.h"
#include "ownership/Controller.h"
#include "ownership/StateMachine.h"
#include "settings/NodeSettings.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace magnoliamill::node {

struct DataCentreParticipantHooks {
  std::function<void(const base::VmId &, std::vector<consensus::Message>)> Send;
  std::function<void(const base::VmId &, protocol::FetchRequest,
                     protocol::Reply<protocol::FetchReply>)>
      Fetch;
  std::function<void(const base::VmId &, protocol::LeaseRequest,
                     protocol::Reply<protocol::LeaseReply>)>
      LeaseAt;
  std::function<void(const base::VmId &, protocol::AnnounceRequest,
                     protocol::Reply<protocol::AnnounceReply>)>
      AnnounceAt;
  std::function<bool(const base::VmId &)> IsAlive;
  std::function<void(ownership::ViewPtr)> OnView;
  /// The data centre's first group ever starts while this VM runs.
  std::function<void()> OnFirstGroup;
  /// Tells the settings group that slots moving elsewhere are released here.
  std::function<void(settings::FinishHomeMove)> ReleaseHome;
};

/// All methods on the state duty's thread, but for those marked otherwise.
class DataCentreParticipant {
public:
  DataCentreParticipant(base::EventLoopThread &eventloop,
                        const settings::NodeSettings &node,
                        std::uint64_t number, DataCentreParticipantHooks hooks);

  void setSettings(settings::ViewPtr view);
  void receive(consensus::Message message);
  void answerFetch(protocol::FetchRequest request,
                   protocol::Reply<protocol::FetchReply> reply);
  /// A lease request of a VM: answered here by the leader, else NotLeader.
  void handleLeaseRequest(protocol::LeaseRequest request,
                          protocol::Reply<protocol::LeaseReply> reply);
  /// This VM's own request, brought to the leader.
  void renewLease(protocol::LeaseRequest request,
                  protocol::Reply<protocol::LeaseReply> reply);
  void handleAnnounce(protocol::AnnounceRequest request,
                      protocol::Reply<protocol::AnnounceReply> reply);
  void announce(protocol::AnnounceRequest request, std::uint32_t tries,
                protocol::Reply<protocol::AnnounceReply> reply);
  void onReport(const NodeReport &report);
  void tick();
  /// What this VM reports of its replica.
  settings::ReplicaReport replicaReport() const;

  ownership::ViewPtr view() const { return View; }
  /// True when the ownership state in force is not the empty one of the start
  /// and, on a replica, the group counts this VM as a voter.
  bool isReady() const;
  bool isLeader() const { return Runner && Runner->isLeader(); }
  base::VmId leader() const;
  std::uint64_t epoch() const { return Epoch; }
  std::optional<consensus::Membership> membership() const;
  void handOverLeadership();

private:
  void startGroup(const settings::DataCentreGroupView &group);
  void startRunner(const consensus::Membership &members);
  void startFollower();
  std::string applyEntry(const consensus::Entry &entry);
  void afterApply();
  void updateLeadership();
  void stepController(const ownership::ControllerEvent &event);
  void perform(ownership::ControllerActions actions);
  void updateMembership();
  protocol::FetchReply readAfter(const protocol::FetchRequest &request) const;
  std::vector<base::VmId> replicas() const;
  bool leadsWithLease() const;
  /// True when this replica is or was a member of the present group.
  bool holdsState() const;

  struct TimedReport {
    NodeReport Report;
    base::MonoTime At;
  };

  base::EventLoopThread &EventLoop;
  settings::NodeSettings Node;
  DataCentreParticipantHooks Hooks;
  settings::ViewPtr Settings;
  // Epoch of the group that this VM takes part in; 0 before the first.
  std::uint64_t Epoch = 0;
  // Identity of this VM's replica; raised whenever its state is given up.
  std::uint64_t Incarnation;
  ownership::StateMachine Machine{0};
  ownership::ViewPtr View;
  std::unique_ptr<GroupRunner> Runner;
  std::unique_ptr<GroupFollower> Follower;
  consensus::LogWindow FollowerWindow;
  LogFetchServer Fetches;
  ownership::Controller Controller;
  // The term in which the controller was told that it leads; 0 while it
  // doesn't.
  consensus::TermNumber LeadingTerm = 0;
  std::map<base::VmId, TimedReport> Reports;
  LeaderFinder Finder;
  base::MonoTime LastMembershipChange{};
};

} // namespace magnoliamill::node
