// Simulates a data centre in one thread: VMs with drifting clocks, targets that
// check grants, a linear log in place of consensus, and a network that loses,
// delays and duplicates messages. Deterministic for a given seed.
#pragma once

#include "ownership/Controller.h"
#include "ownership/DispatchAgent.h"
#include "ownership/GrantCodec.h"
#include "ownership/StateMachine.h"
#include "ownership/Timing.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace magnoliamill::ownership::tests {

using base::Duration;
using base::MonoTime;
/// Simulated real time in microseconds, without drift.
using TrueTime = std::int64_t;

constexpr TrueTime Ms = 1000;

struct DriftingClock {
  TrueTime Offset = 0;
  /// Drift from the true rate in parts per million.
  std::int64_t Ppm = 0;
  MonoTime read(TrueTime at) const {
    return MonoTime(Duration(Offset + at + at * Ppm / 1000000));
  }
};

/// A process that can freeze; its events wait until it continues.
struct Process {
  DriftingClock Clock;
  TrueTime FrozenUntil = 0;
  bool Dead = false;
  /// Number of starts. Events for an earlier run are dropped.
  std::uint64_t Run = 0;
};

struct Vm : Process {
  base::VmId Id;
  std::unique_ptr<StateMachine> Replica;
  std::unique_ptr<Controller> GroupController;
  std::unique_ptr<DispatchAgent> Agent;
  std::size_t Applied = 0;
  bool ReachesTargets = true;
};

struct FakeTarget : Process {
  Announcement Self;
  base::Token HighestDispatch;
  std::map<base::SlotNumber, base::Token> Granted;
  std::map<base::SlotNumber, base::Token> HighestSlot;
  std::int64_t ExpiresAtMs = 0;
  bool holds(base::SlotNumber slot, TrueTime at) const {
    return !Dead &&
           base::toMs(Clock.read(at).time_since_epoch()) < ExpiresAtMs &&
           Granted.contains(slot);
  }
};

struct SimulationConfig {
  std::uint64_t Seed = 1;
  std::size_t Vms = 3;
  std::size_t Targets = 4;
  std::uint32_t Slots = 8;
  /// Probability in percent that a message is lost, and that one is late or
  /// duplicated.
  int LossPercent = 0;
  int LatePercent = 0;
  /// Probability of a freeze after a step, in 1/10000.
  int FreezePer10000 = 0;
  /// Probability of a crash or restart per 100 ms, in percent.
  int CrashPercent = 0;
};

class Simulation {
public:
  explicit Simulation(SimulationConfig config);

  void run(TrueTime duration);
  /// Ends all faults: restarts dead processes and runs until none is frozen.
  void heal();
  /// Runs until \p done or for \p limit; true when done. \p done is called
  /// every millisecond of true time.
  bool runUntil(const std::function<bool()> &done, TrueTime limit);

  std::size_t addTarget();
  void killTarget(std::size_t n);
  void killVm(std::size_t n);
  void restartTarget(std::size_t n) { startTarget(Targets[n]); }
  void stopVm(std::size_t n) { stepAgent(Vms[n], Stopping{}); }
  void elect(std::size_t n);
  void setSettings(settings::View view);

  /// True when some VM may write to the owner of every slot.
  bool isAllServed() const;
  std::map<base::TargetInstanceId, std::vector<base::SlotNumber>>
  listOwned() const;

  TrueTime Now = 1000 * Ms;
  SimulationConfig Config;
  std::vector<Vm> Vms;
  std::deque<FakeTarget> Targets;
  std::vector<std::string> Log;
  settings::View Settings;
  std::size_t LeaderVm = 0;
  std::uint64_t Term = 0;
  /// Violations of exclusive ownership, with the true time in milliseconds.
  std::vector<std::string> Violations;
  /// Slots that leaders reported to the settings group as released here.
  std::set<base::SlotId> HomesReleased;
  /// Slots that changed owner from one target to another.
  std::size_t Moves = 0;
  std::uint64_t Writes = 0;

private:
  struct Event {
    TrueTime At = 0;
    std::uint64_t Order = 0;
    std::function<void()> Act;
    bool operator<(const Event &other) const {
      return std::tie(other.At, other.Order) < std::tie(At, Order);
    }
  };

  std::uint64_t draw(std::uint64_t below) { return Random() % below; }
  bool chance(int percent) { return static_cast<int>(draw(100)) < percent; }
  void schedule(TrueTime delay, std::function<void()> act);
  /// Runs \p act on the process after \p delay, once it is not frozen. Dropped
  /// if the process has died or restarted.
  void scheduleOn(Process &process, TrueTime delay, std::function<void()> act);
  /// Sends over the network, with its configured faults.
  void send(Process &from, Process &to, std::function<void()> act,
            bool MayDuplicate = true);
  TrueTime drawDelay();
  void maybeFreeze(Process &process);

  void startVm(Vm &vm);
  void startTarget(FakeTarget &target);
  void tickVm(Vm &vm);
  void applyLog(Vm &vm);
  void stepAgent(Vm &vm, const AgentEvent &event);
  void stepController(Vm &vm, const ControllerEvent &event);
  void sendLease(Vm &vm, const SendLeaseRequest &lease);
  void onLease(Vm &leader, Vm &from, const SendLeaseRequest &lease,
               std::uint64_t run);
  void sendGrant(Vm &vm, const SendGrant &grant);
  std::string onGrant(FakeTarget &target, const std::string &body);
  void announce(FakeTarget &target);
  void append(const std::string &command);
  void injectCrash();
  void watchLeader();
  void tryWrites();

  void checkGrants(const FakeTarget &target);
  void checkWriters(const Vm &vm);
  void checkView(const View &before, const View &after);
  void recordViolation(const std::string &text);

  std::mt19937_64 Random;
  std::priority_queue<Event> Events;
  std::uint64_t NextOrder = 0;
  std::uint64_t NextInstance = 0;
  StateMachine Reference{1};
  TrueTime ElectionAt = 0;
  bool Faults = true;
  /// Token of the last request that ran, by slot.
  std::map<base::SlotNumber, base::Token> LastRequestTokens;
};

} // namespace magnoliamill::ownership::tests
