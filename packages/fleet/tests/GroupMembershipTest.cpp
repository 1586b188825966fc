// Plays whole core groups (policy, replicas, disks): a disk and all power are
// lost at every step of every membership change, and the group must recover.
#include "fleet/internal/GroupMembership.h"

#include "../../consensus/tests/Cluster.h"
#include "base/Log.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace magnoliamill;
using namespace magnoliamill::fleet::internal;
using namespace std::chrono_literals;
using consensus::tests::Cluster;
using consensus::tests::ClusterOptions;

namespace {

/// Interval of a core's timer.
constexpr auto Tick = 50ms;
constexpr auto DownTime = 1900ms;
/// The platform's recovery_s, and its catch_up_s.
constexpr auto RecoveryLimit = 15s;
constexpr auto CatchUpLimit = 6s;

/// Cores whose leader decides the membership as CoreNode does.
class CoreGroup {
public:
  /// One core for each data centre in \p centres; the first 2 * tolerance + 1
  /// are the seeds.
  CoreGroup(std::uint64_t seed, std::vector<std::string> centres,
            std::size_t tolerance = 1)
      : Centres(std::move(centres)), Tolerance(tolerance),
        Simulation(makeOptions(seed, Centres.size(), 2 * tolerance + 1)),
        Views(Centres.size()) {}

  void run(base::Duration duration) {
    const auto before = Elapsed;
    while (Elapsed < before + duration) {
      const auto step = std::min<base::Duration>(
          {NextTick - Elapsed, before + duration - Elapsed, 1ms});
      Simulation.run(step);
      Elapsed += step;
      if (Elapsed >= NextTick) {
        NextTick += Tick;
        tick();
      }
      recordStep();
    }
  }
  bool runUntilWhole(base::Duration limit) {
    const auto end = Elapsed + limit;
    while (!isWhole() && Elapsed < end)
      run(Tick);
    return isWhole();
  }

  void cut(std::size_t vm) {
    Cut = vm;
    Simulation.partition({vm});
  }
  void heal() {
    Cut.reset();
    Simulation.partition({});
  }
  void crash(std::size_t vm) {
    Simulation.crash(vm);
    Views[vm] = {};
  }
  void restart(std::size_t vm) {
    if (!Removed.contains(vm))
      Simulation.restart(vm);
  }
  /// The core never returns.
  void remove(std::size_t vm) {
    crash(vm);
    Removed.insert(vm);
  }
  /// A core that joins later is down until then.
  void join(std::size_t vm) {
    Removed.erase(vm);
    restart(vm);
  }
  void loseDisk(std::size_t vm) {
    Simulation.wipe(vm);
    Views[vm] = {};
  }
  /// As many disks are lost as the group is to tolerate, from \p vm on.
  void loseDisksAndAllPower(std::size_t vm) {
    for (std::size_t n = 0; n < Centres.size(); ++n)
      crash(n);
    for (std::size_t n = 0; n < Tolerance; ++n)
      loseDisk((vm + n) % Centres.size());
    heal();
    run(DownTime);
    for (std::size_t n = 0; n < Centres.size(); ++n)
      restart(n);
  }

  std::optional<std::size_t> findLeader() const {
    return Simulation.findLeader();
  }
  /// The times at which a core adopted, committed or dropped a membership.
  const std::vector<base::Duration> &steps() const { return Steps; }
  base::Duration elapsed() const { return Elapsed; }
  std::size_t size() const { return Centres.size(); }
  bool isRemoved(std::size_t vm) const { return Removed.contains(vm); }
  /// There is a leader, and the committed voters are an odd number, enough for
  /// the losses to tolerate, all of which are up with their disks.
  bool isWhole() const {
    const auto leader = findLeader();
    if (!leader ||
        !Simulation.core(*leader).hasLeaderLease(Simulation.clockOf(*leader)) ||
        !Simulation.core(*leader).isMembershipCommitted())
      return false;
    const auto &voters = Simulation.core(*leader).membership().Voters;
    std::size_t up = 0;
    for (std::size_t n = 0; n < Centres.size(); ++n)
      up += Simulation.isUp(n) && Cut != n && holds(voters, n) ? 1 : 0;
    return voters.size() > 2 * Tolerance && voters.size() % 2 == 1 &&
           up == voters.size();
  }
  std::string describe() const {
    std::string out;
    for (std::size_t n = 0; n < Centres.size(); ++n) {
      out += fmt::format("\nvm{} {}:", n, Simulation.isUp(n) ? "up" : "down");
      if (!Simulation.isUp(n))
        continue;
      for (const auto &it : Simulation.core(n).membership().Voters)
        out += fmt::format(" {}/{}", it.Vm.Value, it.Incarnation);
    }
    return out;
  }

private:
  struct CoreView {
    std::map<std::string, CorePeer> Peers;
    std::optional<base::MonoTime> LeadingSince;
    std::optional<GroupMembership> Policy;
  };

  static ClusterOptions makeOptions(std::uint64_t seed, std::size_t vms,
                                    std::size_t voters) {
    ClusterOptions options;
    options.Seed = seed;
    options.Vms = options.Disks = vms;
    options.Voters = voters;
    options.DropRate = options.DuplicateRate = 0;
    return options;
  }

  bool holds(const std::vector<consensus::ReplicaId> &list,
             std::size_t vm) const {
    return std::ranges::find(list, Simulation.idOf(vm)) != list.end();
  }
  bool isReachable(std::size_t from, std::size_t to) const {
    return from != to && Simulation.isUp(from) && Simulation.isUp(to) &&
           Cut != from && Cut != to;
  }

  void tick() {
    for (std::size_t n = 0; n < Centres.size(); ++n)
      for (std::size_t from = 0; from < Centres.size(); ++from)
        if (isReachable(from, n))
          Views[n].Peers[Simulation.idOf(from).Vm.Value] = {
              Centres[from], Simulation.idOf(from).Incarnation,
              Simulation.clockOf(n)};
    for (std::size_t n = 0; n < Centres.size(); ++n)
      updateLeader(n);
  }

  void updateLeader(std::size_t vm) {
    CoreView &view = Views[vm];
    const auto now = Simulation.clockOf(vm);
    if (!Simulation.isUp(vm) || !Simulation.core(vm).hasLeaderLease(now)) {
      view.LeadingSince.reset();
      return;
    }
    if (!view.LeadingSince)
      view.LeadingSince = now;
    if (!view.Policy)
      view.Policy.emplace(
          GroupMembershipConfig{Simulation.idOf(vm), Centres[vm], Tolerance},
          now);
    if (auto next = view.Policy->decide(Simulation.core(vm), view.Peers,
                                        *view.LeadingSince, now))
      Simulation.proposeMembership(vm, std::move(*next));
  }

  void recordStep() {
    std::vector<std::pair<consensus::Membership, bool>> now;
    for (std::size_t n = 0; n < Centres.size(); ++n) {
      if (!Simulation.isUp(n)) {
        now.emplace_back();
        continue;
      }
      const auto &core = Simulation.core(n);
      now.emplace_back(core.membership(),
                       core.commitIndex() == core.lastIndex());
    }
    if (now == Members)
      return;
    Members = std::move(now);
    Steps.push_back(Elapsed);
  }

  std::vector<std::string> Centres;
  std::size_t Tolerance;
  mutable Cluster Simulation;
  std::vector<CoreView> Views;
  std::optional<std::size_t> Cut;
  std::set<std::size_t> Removed;
  std::vector<std::pair<consensus::Membership, bool>> Members;
  std::vector<base::Duration> Steps;
  base::Duration Elapsed{0};
  base::Duration NextTick = Tick;
};

/// What happens to a group before its disk is lost.
using Schedule = std::function<void(CoreGroup &)>;

/// Plays \p schedule once, and again for each step of a membership change in
/// it: there, or a moment later, the disk of \p vm and all power are lost.
/// Returns the number of losses from which the group did not recover.
std::size_t countFatalLosses(
    const std::function<CoreGroup()> &MakeGroup,
    const std::vector<std::pair<base::Duration, Schedule>> &schedule,
    const std::function<bool(const CoreGroup &, std::size_t)> &MayLose) {
  const auto play = [&](CoreGroup &group, base::Duration end) {
    for (const auto &[at, act] : schedule) {
      if (at >= end)
        break;
      group.run(at - group.elapsed());
      act(group);
    }
    group.run(end - group.elapsed());
  };
  CoreGroup whole = MakeGroup();
  play(whole, schedule.back().first + CatchUpLimit);
  // Before the first event, the group is still being founded.
  std::set<base::Duration> moments;
  for (const auto step : whole.steps())
    for (const auto offset : {0ms, 3ms, 60ms})
      if (step + offset >= schedule.front().first)
        moments.insert(step + offset);
  std::size_t fatal = 0;
  for (const auto at : moments) {
    for (std::size_t vm = 0; vm < whole.size(); ++vm) {
      CoreGroup group = MakeGroup();
      play(group, at);
      if (!MayLose(group, vm))
        continue;
      const auto before = group.describe();
      group.loseDisksAndAllPower(vm);
      if (group.runUntilWhole(RecoveryLimit))
        continue;
      ++fatal;
      UNSCOPED_INFO(
          fmt::format("vm{} lost at {} us{}", vm, at.count(), before));
    }
  }
  return fatal;
}

const std::vector<std::string> FourCentres{"a", "b", "c", "d"};

bool anyLoss(const CoreGroup &, std::size_t) { return true; }

} // namespace

TEST_CASE("A group without a leader after a disk is lost in a membership "
          "change") {
  base::setLogLevel(base::LogLevel::Error);
  const auto seed = GENERATE(range<std::uint64_t>(1, 6));
  const auto grow = [&] { return CoreGroup(seed, FourCentres); };

  SECTION("while a voter that is cut off is replaced by a standby") {
    for (std::size_t vm = 0; vm < 3; ++vm)
      CHECK(countFatalLosses(grow,
                             {{4s, [&](auto &group) { group.cut(vm); }},
                              {9s, [](auto &group) { group.heal(); }}},
                             anyLoss) == 0);
  }
  SECTION("while it is replaced in a group that is to tolerate two losses") {
    CHECK(countFatalLosses(
              [&] {
                return CoreGroup(seed, {"a", "b", "c", "d", "e", "f"}, 2);
              },
              {{4s, [&](auto &group) { group.cut(seed % 5); }},
               {9s, [](auto &group) { group.heal(); }}},
              anyLoss) == 0);
  }
  SECTION("while the leader restarts during such a replacement") {
    const auto RestartLeader = [](CoreGroup &group) {
      if (const auto leader = group.findLeader()) {
        group.crash(*leader);
        group.restart(*leader);
      }
    };
    CHECK(countFatalLosses(grow,
                           {{4s, [&](auto &group) { group.cut(seed % 3); }},
                            {6800ms + 20ms * seed, RestartLeader},
                            {9s, [](auto &group) { group.heal(); }}},
                           anyLoss) == 0);
  }
  SECTION("while voters of one data centre are spread") {
    CHECK(countFatalLosses(
              [&] {
                return CoreGroup(seed, {"a", "a", "b", "c"});
              },
              {{1s, [](auto &) {}}}, anyLoss) == 0);
  }
  SECTION("while a core is replaced as planned") {
    CHECK(countFatalLosses(
              [&] {
                CoreGroup group(seed, {"a", "b", "c", "a"});
                group.remove(3);
                return group;
              },
              {{4s, [](auto &group) { group.join(3); }},
               {8s, [](auto &group) { group.remove(0); }}},
              // Until the group is whole again, a second disk would be lost.
              [](const CoreGroup &group, std::size_t vm) {
                return !group.isRemoved(vm) &&
                       (!group.isRemoved(0) || group.isWhole());
              }) == 0);
  }
}
