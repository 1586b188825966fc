// Simulates a group of replicas in one thread, with faults of network, disks
// and clocks derived from a seed. Every step is checked: see Cluster::faults().
#pragma once

#include "Linearizability.h"
#include "consensus/ReplicaCore.h"

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>

namespace magnoliamill::consensus::tests {

using base::Duration;
using base::MonoTime;

struct ClusterOptions {
  std::uint64_t Seed = 1;
  std::size_t Vms = 5;
  /// This many of the first VMs are the initial voters.
  std::size_t Voters = 3;
  /// This many of the first VMs have a disk; the others lose everything in a
  /// crash.
  std::size_t Disks = 2;
  double DropRate = 0.02;
  double DuplicateRate = 0.02;
  Duration MaxDelay = std::chrono::milliseconds(20);
  Duration MaxSync = std::chrono::milliseconds(10);
  /// The rates of the clocks lie within 1 +/- this.
  double Drift = 0.01;
  std::size_t MaxAppendBytes = 200;
  /// Difference between the longest and the shortest election timeout.
  Duration ElectionSpread = std::chrono::milliseconds(300);
  /// A replica takes a snapshot after this many entries.
  LogIndex SnapshotEvery = 25;
};

class Cluster {
public:
  explicit Cluster(const ClusterOptions &options);

  // Faults.
  /// Loses what is not synced; a VM without a disk loses everything.
  void crash(std::size_t vm);
  void restart(std::size_t vm);
  /// Loses the disk too: the VM returns as its next incarnation.
  void wipe(std::size_t vm);
  void pause(std::size_t vm, Duration duration);
  /// Cuts all links between \p side and the other VMs; an empty set restores
  /// them.
  void partition(std::set<std::size_t> side) { IsolatedVms = std::move(side); }
  /// True while the group tolerates the loss of this VM's state.
  bool canLose(std::size_t vm) const;

  // Work.
  void propose(Operation operation);
  void read();
  void readUnderLease();
  /// Does what an operator's program does: makes new incarnations learners and
  /// then voters in place of the old ones.
  void repairMembership();
  void changeMembership(std::size_t vm, bool add);
  /// Proposes \p next at \p leader.
  void proposeMembership(std::size_t leader, Membership next);
  void transferLeadership();

  void run(Duration duration);
  /// Runs until \p condition is true. Returns false if it is not within \p
  /// limit of simulated time.
  bool runUntil(const std::function<bool()> &condition, Duration limit);
  /// Ends all faults and runs until all voters have committed the whole log.
  /// Returns false if they do not.
  bool settle();

  // State.
  std::optional<std::size_t> findLeader() const;
  ReplicaCore &core(std::size_t vm) { return *Vms[vm].Core; }
  bool isUp(std::size_t vm) const { return Vms[vm].Core != nullptr; }
  bool hasDisk(std::size_t vm) const { return Vms[vm].HasDisk; }
  std::size_t size() const { return Vms.size(); }
  ReplicaId idOf(std::size_t vm) const { return Vms[vm].Id; }
  MonoTime clockOf(std::size_t vm) const;
  const std::map<LogIndex, Entry> &committed() const {
    return CommittedEntries;
  }
  const std::vector<Operation> &history() const { return History; }
  std::size_t countConfirmed() const { return Confirmed; }
  /// Violations found so far, at most five.
  const std::vector<std::string> &faults() const { return Faults; }
  /// The faults, the confirmed proposals that are not in the log, and whether
  /// the history is not linearizable.
  std::vector<std::string> findViolations() const;
  std::mt19937_64 &random() { return Random; }
  double chance() { return std::uniform_real_distribution<>(0, 1)(Random); }
  std::size_t pick(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(Random);
  }
  Duration pickDuration(Duration max);

private:
  struct Write {
    PersistRequest Request;
    std::vector<Message> HeldMessages;
  };
  struct Vm {
    ReplicaId Id;
    bool HasDisk = false;
    std::unique_ptr<ReplicaCore> Core;
    DurableState Disk;
    std::deque<Write> Writes;
    double Rate = 1;
    Duration Offset{0};
    std::int64_t PausedUntil = 0;
    // Counts restarts, so that events for an earlier run are dropped.
    std::uint64_t Run = 0;
    std::int64_t WakeAt = -1;
    // The state machine: one register.
    LogIndex Applied = 0;
    LogIndex SnapshotAt = 0;
    int Register = 0;
    int LastCasOutcome = 0;
    std::map<LogIndex, int> CasOutcomes;
    std::set<std::uint64_t> OpenProposals;
  };
  struct ScheduledEvent {
    std::int64_t At = 0;
    std::uint64_t Number = 0;
    std::size_t Vm = 0;
    // If not set, the event is for any run of the VM.
    std::optional<std::uint64_t> Run;
    std::function<void()> Action;
    bool operator>(const ScheduledEvent &other) const {
      return std::tie(At, Number) > std::tie(other.At, other.Number);
    }
  };

  void start(std::size_t vm);
  void at(std::int64_t time, std::size_t vm, std::function<void()> work);
  void step(std::size_t vm, const Event &event);
  void perform(std::size_t vm, Actions &actions);
  void transmit(const Message &message);
  void write(std::size_t vm, Actions &actions);
  void finishWrite(std::size_t vm);
  void apply(std::size_t vm, const Entry &entry);
  void takeSnapshot(std::size_t vm);
  void recordOutcome(std::size_t vm, const ProposalOutcome &outcome);
  void scheduleWake(std::size_t vm);
  void checkLeaders();
  void stopProcess(std::size_t vm);
  std::int64_t toTrueTime(std::size_t vm, MonoTime local) const;
  std::size_t vmOf(const ReplicaId &id) const;
  std::size_t pickProposer();
  void fault(const std::string &text);

  ClusterOptions Options;
  std::mt19937_64 Random;
  std::vector<Vm> Vms;
  Membership InitialMembers;
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>,
                      std::greater<>>
      Queue;
  std::uint64_t LastNumber = 0;
  std::int64_t TrueTime = 0;
  std::set<std::size_t> IsolatedVms;
  bool FaultsDisabled = false;

  // State for the checks.
  std::map<LogIndex, Entry> CommittedEntries;
  std::map<LogIndex, int> RegisterAt{{0, 0}};
  std::vector<Membership> CommittedMembers;
  std::map<TermNumber, ReplicaId> Leaders;
  std::vector<Operation> History;
  std::map<std::uint64_t, std::string> Proposed;
  std::set<std::string> NeverApplied;
  std::uint64_t LastProposal = 0;
  std::uint64_t LastMembershipProposal = 1'000'000'000;
  std::size_t Confirmed = 0;
  std::vector<std::string> Faults;
};

/// Applies \p request to \p disk as the storage does.
void applyToDisk(const PersistRequest &request, DurableState &disk);

} // namespace magnoliamill::consensus::tests
