// A core VM of a fleet: runs a consensus replica, acts as fleet leader while it
// leads the group, and passes calls of targets and operators to the leader.
#pragma once

#include "base/EventLoopThread.h"
#include "fleet/CrashRelay.h"
#include "fleet/EntryDirectory.h"
#include "fleet/FleetLeader.h"
#include "fleet/FleetSettings.h"
#include "fleet/FleetState.h"
#include "fleet/Heartbeat.h"
#include "fleet/PermitDesk.h"
#include "fleet/RecentUpdates.h"
#include "fleet/internal/CoreLinks.h"
#include "fleet/internal/GroupMembership.h"
#include "node/GroupRunner.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace magnoliamill::fleet {

/// Not thread-safe: all methods run on the thread of the event loop.
class CoreNode {
public:
  CoreNode(base::EventLoopThread &loop, FleetSettings settings,
           ControlFormat format, IdentifyProcessHook identify = {});
  ~CoreNode();

  /// Opens the storage and the link listener. Errors: ListenFailed, or 5xxx
  /// from the storage.
  base::Result<void> start();
  /// Handles a call of a target or operator. \p reply is called within about a
  /// second, with status 503 when no leader has answered by then.
  void handle(CallKind kind, std::string name, std::string body,
              ReplyHook reply);
  /// Transfers leadership to another core if this one leads, then calls \p
  /// done.
  void stop(std::function<void()> done);
  void updateSeeds(const std::vector<settings::ListenAddress> &seeds);

private:
  struct PendingCall {
    Call Request;
    ReplyHook Reply;
    base::MonoTime Deadline;
    bool IsSent = false;
  };

  base::Result<void> openReplica();
  base::Result<void> createGroup(consensus::OpenedStorage &opened) const;
  void startRunner(consensus::OpenedStorage opened);
  std::string apply(const consensus::Entry &entry);
  void onFrame(const std::shared_ptr<Link> &from, const std::string &host,
               Frame frame);
  void onHello(const std::shared_ptr<Link> &from, const Hello &hello);
  void onReply(CallReply reply);
  void onCrashReport(const dispatch::CrashReport &report,
                     CrashRelay::Source source);
  /// \p host is the core that has sent the report; empty for an entry.
  void onStripeLoads(const std::string &host, const StripeLoadReport &report);
  void onViewUpdate(ViewUpdate update);
  /// Logs the configuration items of the update that was applied last.
  void logItems(const ViewUpdate &update) const;
  void relayViewCurrent(const ViewCurrent &current);
  /// The leader's last confirmation of LocalView.
  ViewCurrent describeCurrent() const;
  void afterStep();
  void updateLeadership();
  void startLeading();
  void followLeader();
  void updateMembership(base::MonoTime now);
  void propose(Command command, std::function<void(base::Result<void>)> done);
  void sendPending();
  void expireCalls(base::MonoTime now);
  void publish(ViewUpdate update);
  /// Sends the update that was applied last to all subscribers.
  void passOn(ViewUpdate update);
  /// Sends what a subscriber with the view \p known lacks.
  void sendMissing(Link &to, const ViewVersion &known);
  void broadcast(const EncodedFrame &frame);
  const EncodedFrame &encodedView();
  /// \p host is the core to which it is sent; empty for an entry.
  Hello makeHello(const std::string &host) const;
  std::vector<VmAddress> listCores() const;
  /// Host of the leader; empty when no leader is known.
  std::string leaderHost() const;
  void armTick();
  void tick();

  base::EventLoopThread &EventLoop;
  FleetSettings Settings;
  ControlFormat Format;
  IdentifyProcessHook IdentifyProcess;
  FleetState State;
  View LocalView;
  /// When the leader last confirmed LocalView.
  base::MonoTime ViewConfirmedAt;
  /// LocalView encoded as a frame; null after LocalView has changed.
  EncodedFrame EncodedView;
  base::MonoTime ViewEncodedAt{};
  /// The updates that led to LocalView.
  RecentUpdates Recent;
  std::unique_ptr<node::GroupRunner> Runner;
  /// Set with Runner.
  std::optional<internal::GroupMembership> Members;
  std::unique_ptr<FleetLeader> Leader;
  std::uint64_t LeaderTerm = 0;
  /// When this core became leader, while it is.
  base::MonoTime LeadingSince;
  std::uint64_t Incarnation = 0;
  internal::CoreLinks Links;
  PermitDesk Permits;
  EntryDirectory Entries;
  CrashRelay Crashes;
  boost::asio::steady_timer Timer;
  std::set<std::shared_ptr<Link>> Subscribers;
  /// Incoming links of other cores.
  std::set<std::shared_ptr<Link>> CorePeers;
  std::map<std::uint64_t, PendingCall> PendingCalls;
  std::uint64_t NextCall = 1;
  /// Host of the leader whose view updates are applied; empty when none is
  /// known.
  std::string FollowedCore;
  base::MonoTime NextCoreList;
  base::MonoTime NextViewCurrent;
};

} // namespace magnoliamill::fleet
