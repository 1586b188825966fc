// Takes part in the data-centre group on one VM: runs a replica or a follower,
// holds the ownership state and, on the leader, decides about targets and
// slots.
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
      RequestLeaseFrom;
  std::function<void(const base::VmId &, protocol::AnnounceRequest,
                     protocol::Reply<protocol::AnnounceReply>)>
      AnnounceTo;
  std::function<bool(const base::VmId &)> IsAlive;
  std::function<void(ownership::ViewPtr)> OnView;
  /// Called when the first group of the data centre starts while this VM runs.
  std::function<void()> OnFirstGroup;
  /// Tells the settings group that a slot whose home moves to another data
  /// centre has been released here.
  std::function<void(settings::FinishHomeMove)> ReleaseHome;
};

/// All methods run on the state thread.
class DataCentreParticipant {
public:
  DataCentreParticipant(base::EventLoopThread &eventloop,
                        const settings::NodeSettings &node,
                        std::uint64_t number, DataCentreParticipantHooks hooks);

  void setSettings(settings::ViewPtr view);
  void receive(consensus::Message message);
  void answerFetch(protocol::FetchRequest request,
                   protocol::Reply<protocol::FetchReply> reply);
  /// Answers a VM's lease request when this VM leads with a valid leader lease;
  /// otherwise fails with NotLeader and the leader's VM id.
  void handleLeaseRequest(protocol::LeaseRequest request,
                          protocol::Reply<protocol::LeaseReply> reply);
  /// Sends this VM's own lease request to the leader.
  void renewLease(protocol::LeaseRequest request,
                  protocol::Reply<protocol::LeaseReply> reply);
  void handleAnnounce(protocol::AnnounceRequest request,
                      protocol::Reply<protocol::AnnounceReply> reply);
  void announce(protocol::AnnounceRequest request, std::uint32_t tries,
                protocol::Reply<protocol::AnnounceReply> reply);
  void onReport(const NodeReport &report);
  void tick();
  /// The state of this VM's replica for the reports to other VMs.
  settings::ReplicaReport replicaReport() const;

  ownership::ViewPtr view() const { return View; }
  /// True when an ownership state is in force (not the initial empty one) and,
  /// on a replica, this VM is a voter of the group.
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
  /// True when this replica is or was a member of the current group.
  bool holdsState() const;

  struct TimedReport {
    NodeReport Report;
    base::MonoTime At;
  };

  base::EventLoopThread &EventLoop;
  settings::NodeSettings Node;
  DataCentreParticipantHooks Hooks;
  settings::ViewPtr Settings;
  // Epoch of the group that this VM takes part in; 0 before the first group.
  std::uint64_t Epoch = 0;
  // Incarnation of this VM's replica; incremented whenever its state is
  // discarded.
  std::uint64_t Incarnation;
  ownership::StateMachine Machine{0};
  ownership::ViewPtr View;
  std::unique_ptr<GroupRunner> Runner;
  std::unique_ptr<GroupFollower> Follower;
  consensus::LogWindow FollowerWindow;
  LogFetchServer Fetches;
  ownership::Controller Controller;
  // The term in which the controller was told that it leads; 0 when it does not
  // lead.
  consensus::TermNumber LeadingTerm = 0;
  std::map<base::VmId, TimedReport> Reports;
  LeaderFinder Finder;
  base::MonoTime LastMembershipChange{};
};

} // namespace magnoliamill::node
