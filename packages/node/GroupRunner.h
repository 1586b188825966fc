// Runs one replica of a replicated log on an event loop: passes messages,
// proposals and timer ticks to its core and carries out the core's actions.
#pragma once

#include "base/EventLoopThread.h"
#include "base/Time.h"
#include "consensus/LogWindow.h"
#include "consensus/ReplicaCore.h"
#include "consensus/Storage.h"
#include "protocol/Messages.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace magnoliamill::node {

struct GroupRunnerHooks {
  std::function<void(const base::VmId &, std::vector<consensus::Message>)> Send;
  /// Applies a committed entry; for commands returns the outcome.
  std::function<std::string(const consensus::Entry &)> Apply;
  std::function<void(const consensus::RestoreSnapshot &)> Restore;
  /// The state machine's snapshot as of the last applied entry.
  std::function<std::string()> TakeSnapshot;
  /// Called after every step of the core.
  std::function<void()> AfterStep;
};

struct GroupRunnerConfig {
  /// Number of applied entries after which a snapshot is taken and the log
  /// truncated.
  std::uint64_t SnapshotEvery = 1000;
};

/// All methods run on the event loop's thread.
class GroupRunner {
public:
  /// \p storage is the thread that writes and syncs; null when the store is not
  /// on disk and needs no thread of its own.
  GroupRunner(base::EventLoopThread &eventloop, base::EventLoopThread *storage,
              GroupRunnerConfig config, consensus::ReplicaConfig core,
              consensus::OpenedStorage opened, GroupRunnerHooks hooks);
  ~GroupRunner();
  GroupRunner(const GroupRunner &) = delete;
  GroupRunner &operator=(const GroupRunner &) = delete;

  void start();
  void receive(consensus::Message message);
  /// \p reply is called when the command was applied here or was refused, and
  /// with ChangeOutcomeUnknown when the runner is destroyed before.
  void propose(std::string command,
               protocol::Reply<protocol::ProposeReply> reply);
  void proposeMembership(consensus::Membership next);
  void transferLeadership();

  const consensus::ReplicaCore &core() const { return Core; }
  const consensus::LogWindow &window() const { return Window; }
  consensus::LogIndex appliedIndex() const { return Applied; }
  bool isLeader() const;

private:
  void step(const consensus::Event &event);
  void perform(consensus::Actions actions);
  void persist(consensus::Actions &actions);
  void writeNext();
  void onWritten(std::uint64_t id);
  /// The disk has no room: writes the first request again later. Until then
  /// this replica sends nothing that promises the request to others.
  void onStorageFull(const std::string &message);
  void recordRoom();
  void sendAll(std::vector<consensus::Message> messages);
  void applyCommitted(std::vector<consensus::Entry> entries);
  void finishProposals(std::vector<consensus::ProposalOutcome> outcomes);
  void snapshotIfDue();
  void armTimer();

  struct PendingWrite {
    consensus::PersistRequest Request;
    std::vector<consensus::Message> SendAfter;
  };

  base::EventLoopThread &EventLoop;
  base::EventLoopThread *StorageThread;
  GroupRunnerConfig Config;
  GroupRunnerHooks Hooks;
  std::shared_ptr<consensus::Storage> Store;
  consensus::ReplicaCore Core;
  consensus::LogWindow Window;
  boost::asio::steady_timer Timer;
  consensus::LogIndex Applied = 0;
  std::uint64_t NextProposal = 1;
  std::unordered_map<std::uint64_t, protocol::Reply<protocol::ProposeReply>>
      Proposals;
  // Outcomes of the entries applied in the current step.
  std::map<consensus::LogIndex, std::string> Outcomes;
  // Pending writes; they are written one at a time and in order.
  std::deque<PendingWrite> Writes;
  bool WriteInFlight = false;
  boost::asio::steady_timer RetryTimer;
  /// Since when the disk has had no room; not set while it has.
  std::optional<base::MonoTime> FullSince;
  // Set to false by the destructor, so that tasks posted earlier do nothing.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace magnoliamill::node
