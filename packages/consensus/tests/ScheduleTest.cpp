// Checks the guarantees of the replicated log under thousands of random fault
// schedules. A schedule is determined by its seed, which a failure prints.
#include "Cluster.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace magnoliamill::consensus;
using namespace magnoliamill::consensus::tests;
using namespace std::chrono_literals;

namespace {

/// The relative weights of the faults in a schedule.
struct FaultMix {
  int Work = 17;
  int Crash = 1;
  int Wipe = 1;
  int Pause = 1;
  int Partition = 1;
  int Membership = 1;
  int Transfer = 1;
  std::size_t MinVms = 3;
  std::size_t Actions = 150;
  std::size_t Repeats = 5;
  /// Weight of DoSpecial, for sequences that random faults rarely produce.
  int Special = 0;
  std::function<void(Cluster &)> DoSpecial = [](Cluster &) {};
  std::function<void(ClusterOptions &)> AdjustOptions = [](ClusterOptions &) {};
};

/// A replica other than the leader; the leader itself when there is none.
std::size_t pickOther(Cluster &cluster, std::size_t leader,
                      std::size_t offset) {
  return (leader + offset) % cluster.size();
}

/// Isolates the leader just when a follower that has answered it restarts and
/// another one is ready to be elected.
void isolateLeaderAfterRestart(Cluster &cluster) {
  const auto leader = cluster.findLeader();
  if (!leader)
    return;
  const std::size_t offset = 1 + cluster.pick(2);
  cluster.partition({pickOther(cluster, *leader, offset)});
  cluster.run(cluster.pickDuration(700ms));
  cluster.partition({*leader});
  cluster.crash(pickOther(cluster, *leader, 3 - offset));
  cluster.restart(pickOther(cluster, *leader, 3 - offset));
  cluster.run(600ms);
  cluster.partition({});
  cluster.run(600ms);
}

/// Isolates the leader for slightly longer than its lease.
void isolateLeader(Cluster &cluster) {
  const auto leader = cluster.findLeader();
  if (!leader)
    return;
  cluster.partition({*leader});
  cluster.run(450ms);
  cluster.partition({});
  cluster.run(cluster.pickDuration(600ms));
}

/// Causes a series of short leaderships, each with a few entries that reach
/// only some of the replicas.
void churnLeaders(Cluster &cluster) {
  const auto leader = cluster.findLeader();
  if (!leader)
    return;
  cluster.propose([] {
    Operation op;
    op.Kind = OperationKind::Write;
    return op;
  }());
  cluster.run(cluster.pickDuration(12ms));
  cluster.crash(*leader);
  cluster.runUntil(
      [&] {
        const auto next = cluster.findLeader();
        return next && next != leader;
      },
      3s);
  cluster.run(cluster.pickDuration(12ms));
  cluster.restart(*leader);
  if (const auto next = cluster.findLeader(); next && cluster.chance() < 0.7) {
    cluster.crash(*next);
    cluster.run(cluster.pickDuration(500ms));
    cluster.restart(*next);
  }
}

/// Isolates the leader together with learners only, and lets it promote them at
/// once.
void promoteDuringPartition(Cluster &cluster) {
  const auto leader = cluster.findLeader();
  if (!leader)
    return;
  std::set<std::size_t> side{*leader};
  const auto members = cluster.core(*leader).membership();
  for (std::size_t n = 0; n < cluster.size(); ++n) {
    if (std::find(members.Voters.begin(), members.Voters.end(),
                  cluster.idOf(n)) != members.Voters.end())
      continue;
    side.insert(n);
    cluster.changeMembership(n, true);
    cluster.run(100ms);
  }
  cluster.partition(side);
  for (const std::size_t n : side)
    if (n != *leader)
      cluster.changeMembership(n, true);
  cluster.run(1500ms);
  cluster.partition({});
  cluster.run(500ms);
}

void doWork(Cluster &cluster, int &LastValue) {
  Operation op;
  switch (cluster.pick(4)) {
  case 0:
    return cluster.read();
  case 1:
    return cluster.readUnderLease();
  case 2:
    op.Kind = OperationKind::CompareAndSet;
    op.Expected = LastValue - static_cast<int>(cluster.pick(3));
    break;
  default:
    op.Kind = OperationKind::Write;
  }
  op.Value = ++LastValue;
  cluster.propose(op);
}

/// Restarts a random replica if it is down, otherwise crashes or wipes it if
/// the group tolerates that.
void doCrash(Cluster &cluster, bool LoseDisk) {
  const std::size_t vm = cluster.pick(cluster.size());
  if (!cluster.isUp(vm))
    return cluster.restart(vm);
  if (LoseDisk && cluster.canLose(vm)) {
    cluster.wipe(vm);
    if (cluster.chance() < 0.5)
      cluster.restart(vm);
    return;
  }
  const bool KeepsLog = cluster.hasDisk(vm);
  if (!LoseDisk && (KeepsLog || cluster.canLose(vm))) {
    cluster.crash(vm);
    if (cluster.chance() < 0.7)
      cluster.restart(vm);
  }
}

/// Repairs the membership and wipes the next replica as soon as the group
/// tolerates its loss.
void wipeAfterRepair(Cluster &cluster) {
  const std::size_t vm = cluster.pick(cluster.size());
  for (int n = 0; n < 10 && !cluster.canLose(vm); ++n) {
    cluster.repairMembership();
    cluster.runUntil([&] { return cluster.canLose(vm); }, 100ms);
  }
  if (cluster.canLose(vm))
    cluster.wipe(vm);
  cluster.restart(vm);
}

void doPartition(Cluster &cluster) {
  const double kind = cluster.chance();
  if (kind < 0.6)
    return cluster.partition({});
  const auto leader = cluster.findLeader();
  if (kind < 0.85 && leader) {
    cluster.partition({*leader});
    cluster.run(cluster.pickDuration(kind < 0.7 ? 3s : 300ms));
    return;
  }
  std::set<std::size_t> side;
  for (std::size_t n = 0; n < cluster.size(); ++n)
    if (cluster.chance() < 0.5)
      side.insert(n);
  cluster.partition(std::move(side));
}

void doPause(Cluster &cluster) {
  const auto leader = cluster.findLeader();
  const std::size_t vm =
      leader && cluster.chance() < 0.6 ? *leader : cluster.pick(cluster.size());
  cluster.pause(vm, cluster.pickDuration(cluster.chance() < 0.5 ? 600ms : 3s));
}

void doFault(Cluster &cluster, const FaultMix &mix) {
  const std::vector<std::pair<int, std::function<void()>>> faults{
      {mix.Crash, [&] { doCrash(cluster, false); }},
      {mix.Wipe, [&] { doCrash(cluster, true); }},
      {mix.Wipe, [&] { wipeAfterRepair(cluster); }},
      {mix.Pause, [&] { doPause(cluster); }},
      {mix.Partition, [&] { doPartition(cluster); }},
      {mix.Membership,
       [&] {
         cluster.changeMembership(cluster.pick(cluster.size()),
                                  cluster.chance() < 0.6);
       }},
      {mix.Transfer, [&] { cluster.transferLeadership(); }},
      {mix.Special, [&] { mix.DoSpecial(cluster); }}};
  int total = 0;
  for (const auto &it : faults)
    total += it.first;
  auto left = static_cast<int>(cluster.pick(static_cast<std::size_t>(total)));
  for (const auto &[weight, fault] : faults) {
    left -= weight;
    if (left < 0)
      return fault();
  }
}

ClusterOptions pickOptions(std::uint64_t seed, const FaultMix &mix) {
  std::mt19937_64 random(seed);
  ClusterOptions options;
  options.Seed = seed;
  options.Voters = random() % 4 == 0 ? 5 : 3;
  options.Vms = std::max(options.Voters, mix.MinVms) + random() % 2;
  options.Disks = random() % (options.Vms + 1);
  options.DropRate = random() % 3 == 0 ? 0.1 : 0.01;
  options.DuplicateRate = 0.05;
  options.MaxDelay = random() % 4 == 0 ? 120ms : 10ms;
  options.MaxSync = random() % 4 == 0 ? 60ms : 5ms;
  mix.AdjustOptions(options);
  return options;
}

std::vector<std::string> runSchedule(std::uint64_t seed, const FaultMix &mix) {
  Cluster cluster(pickOptions(seed, mix));
  int LastValue = 0;
  cluster.run(1500ms);
  for (std::size_t n = 0; n < mix.Actions && cluster.faults().empty(); ++n) {
    const auto choice = cluster.pick(20);
    if (choice < static_cast<std::size_t>(mix.Work))
      doWork(cluster, LastValue);
    else
      doFault(cluster, mix);
    if (cluster.chance() < 0.2)
      cluster.repairMembership();
    cluster.run(cluster.pickDuration(cluster.chance() < 0.1 ? 1s : 40ms));
  }
  const bool settled = cluster.settle();
  auto faults = cluster.findViolations();
  if (!settled && faults.empty())
    faults.push_back("seed " + std::to_string(seed) +
                     ": no progress after all faults ended");
  return faults;
}

/// Runs RapidCheck's default of 100 cases, each with mix.Repeats schedules.
bool checkSchedules(const std::string &text, const FaultMix &mix) {
  return rc::check(text, [&] {
    const auto first = *rc::gen::noShrink(
        rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
    for (std::uint64_t n = 0; n < mix.Repeats; ++n)
      RC_ASSERT(runSchedule(first + n, mix) == std::vector<std::string>());
  });
}

Operation makeOperation(OperationKind kind, int value, std::int64_t start,
                        std::int64_t end, std::optional<int> answer = {}) {
  Operation out;
  out.Kind = kind;
  out.Value = value;
  out.Start = start;
  out.End = end;
  out.Answer = answer;
  return out;
}

/// The fault mix with the given name.
FaultMix makeMix(const std::string &name) {
  FaultMix mix;
  mix.Wipe = mix.Membership = 0;
  if (name == "crashes") {
    mix.Crash = 4;
  } else if (name == "losses") {
    mix.Wipe = 4;
  } else if (name == "membership") {
    mix.Work = 15;
    mix.Wipe = 1;
    mix.Membership = 5;
    mix.MinVms = 5;
  } else if (name == "leases") {
    mix.Work = 14;
    mix.Pause = mix.Partition = mix.Crash = mix.Transfer = 4;
  } else if (name == "restarts") {
    mix.Actions = 40;
    mix.Work = 8;
    mix.Special = 12;
    mix.DoSpecial = isolateLeaderAfterRestart;
    mix.AdjustOptions = [](ClusterOptions &it) {
      it.Vms = it.Voters = it.Disks = 3;
      it.MaxDelay = it.MaxSync = 5ms;
    };
  } else if (name == "drift") {
    mix.Actions = 40;
    mix.Work = 8;
    mix.Special = 12;
    mix.DoSpecial = isolateLeader;
    mix.AdjustOptions = [](ClusterOptions &it) {
      it.Vms = it.Voters = it.Disks = 3;
      it.MaxDelay = it.MaxSync = 200us;
      it.ElectionSpread = 3ms;
    };
  } else if (name == "churn") {
    mix.Actions = 40;
    mix.Work = 8;
    mix.Special = 12;
    mix.DoSpecial = churnLeaders;
    mix.AdjustOptions = [](ClusterOptions &it) {
      it.Vms = it.Voters = it.Disks = 5;
      it.MaxAppendBytes = 1;
      it.MaxDelay = 10ms;
      it.MaxSync = 5ms;
      it.DropRate = 0.3;
      it.ElectionSpread = 60ms;
    };
  } else if (name == "promotions") {
    mix.Actions = 40;
    mix.Work = 8;
    mix.Special = 12;
    mix.DoSpecial = promoteDuringPartition;
    mix.AdjustOptions = [](ClusterOptions &it) {
      it.Voters = 3;
      it.Vms = it.Disks = 5;
    };
  }
  return mix;
}

} // namespace

TEST_CASE("The linearizability checker", "[consensus]") {
  const auto IsLinearizable = [](std::vector<Operation> history) {
    return LinearizabilityChecker(std::move(history)).isLinearizable();
  };
  const auto write = makeOperation(OperationKind::Write, 1, 0, 10);
  const auto read = [](int value, std::int64_t start, std::int64_t end) {
    return makeOperation(OperationKind::Read, 0, start, end, value);
  };

  SECTION("accepts either answer while a write is under way") {
    REQUIRE(IsLinearizable({write, read(0, 2, 3)}));
    REQUIRE(IsLinearizable({write, read(1, 2, 3)}));
  }
  SECTION("rejects a read of an older value") {
    REQUIRE_FALSE(IsLinearizable({write, read(0, 11, 12)}));
    REQUIRE_FALSE(IsLinearizable({write, read(1, 2, 3), read(0, 4, 5)}));
  }
  SECTION("allows an unanswered write to take effect late or never, but once") {
    const auto open =
        makeOperation(OperationKind::Write, 2, 20, Operation::Never);
    REQUIRE(IsLinearizable({write, open, read(1, 30, 31), read(2, 40, 41)}));
    REQUIRE_FALSE(
        IsLinearizable({write, open, read(2, 40, 41), read(1, 50, 51)}));
  }
  SECTION("allows only one of two equal compare-and-sets to succeed") {
    auto first = makeOperation(OperationKind::CompareAndSet, 2, 20, 30, 1);
    auto second = makeOperation(OperationKind::CompareAndSet, 3, 20, 30, 1);
    first.Expected = second.Expected = 1;
    REQUIRE_FALSE(IsLinearizable({write, first, second}));
    second.Answer = 0;
    REQUIRE(IsLinearizable({write, first, second}));
  }
}

TEST_CASE("Guarantees hold through crashes of replicas", "[consensus]") {
  REQUIRE(checkSchedules("crashes, cuts, pauses", makeMix("crashes")));
  REQUIRE(checkSchedules("short leaderships", makeMix("churn")));
}

TEST_CASE("Guarantees hold through loss of memory and disks", "[consensus]") {
  REQUIRE(checkSchedules("losses right behind repairs", makeMix("losses")));
}

TEST_CASE("Guarantees hold through membership changes", "[consensus]") {
  REQUIRE(checkSchedules("changes among faults", makeMix("membership")));
  REQUIRE(checkSchedules("promotions behind a cut", makeMix("promotions")));
}

TEST_CASE("Leases hold through pauses, partitions, restarts and transfers",
          "[consensus]") {
  REQUIRE(checkSchedules("pauses longer than leases", makeMix("leases")));
  REQUIRE(checkSchedules("followers that restart", makeMix("restarts")));
  REQUIRE(checkSchedules("clocks at their bounds", makeMix("drift")));
}
