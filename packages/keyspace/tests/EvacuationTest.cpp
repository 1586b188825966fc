// Guards against stripes that stay in an evacuated data centre, that are all
// without a holder at the same time, or that never return.
#include "keyspace/GrantController.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

using namespace magnoliamill;
using namespace magnoliamill::keyspace;
using namespace std::chrono_literals;

namespace {

constexpr auto Interval = 870ms;
/// A target that had stripes taken away sends its next heartbeat by then.
constexpr auto ReleaseTime = 100ms;
constexpr auto Step = 10ms;
constexpr auto TickTime = 50ms;

struct SimTarget {
  TargetInstance Instance;
  std::string DataCentre;
  std::vector<HeldRange> Held;
  base::MonoTime NextHeartbeat;
};

std::uint32_t countKeys(const std::vector<HeldRange> &held) {
  std::uint32_t keys = 0;
  for (const auto &range : held)
    keys += range.Keys.Last - range.Keys.First + 1;
  return keys;
}

/// Targets in three data centres; assignments are committed at once.
class Simulation {
public:
  explicit Simulation(int targets) {
    for (int i = 0; i < targets; ++i)
      Targets.push_back({{"t" + std::to_string(i), 1},
                         "dc-" + std::to_string(i % 3),
                         {},
                         Now + Interval * i / targets});
    startLeader();
    run(10s);
    REQUIRE(share("dc-0") + share("dc-1") + share("dc-2") == Approx(1));
  }
  void startLeader() {
    Leader = std::make_unique<GrantController>(Table, GrantConfig{}, Now);
    Leader->setEvacuated(Evacuated, Now);
  }
  void evacuate(std::set<std::string> centres) {
    Evacuated = std::move(centres);
    Leader->setEvacuated(Evacuated, Now);
  }
  void run(base::Duration time) {
    for (const auto end = Now + time; Now < end; Now += Step) {
      for (auto &target : Targets)
        if (Now >= target.NextHeartbeat)
          sendHeartbeat(target);
      if (Now.time_since_epoch() % TickTime == base::Duration::zero()) {
        Leader->revokeOverdue(Now);
        for (const auto &assignment : Leader->plan(Now))
          Leader->onApplied(assignment.Service,
                            Table.apply(assignment, ++Index));
      }
      double held = 0;
      for (const auto &target : Targets)
        held += countKeys(target.Held);
      LeastServed = std::min(LeastServed, held / KeyCount);
    }
  }
  /// The share of all keys that targets of the data centre hold.
  double share(const std::string &centre) const {
    double keys = 0;
    for (const auto &target : Targets)
      if (target.DataCentre == centre)
        keys += countKeys(target.Held);
    return keys / KeyCount;
  }
  std::size_t countOwned(const std::string &centre) const {
    std::size_t count = 0;
    for (const auto &target : Targets)
      if (target.DataCentre == centre)
        count += Table.find("stock")->stripesOf(target.Instance).size();
    return count;
  }
  void resetLeastServed() { LeastServed = 1; }
  /// The least share of the keys that had a holder.
  double leastServed() const { return LeastServed; }

private:
  void sendHeartbeat(SimTarget &target) {
    KeyReport report;
    report.Instance = target.Instance;
    report.Service = "stock";
    report.DataCentre = target.DataCentre;
    report.Holds = target.Held;
    const auto before = countKeys(target.Held);
    target.Held.clear();
    for (const auto &row : Leader->onHeartbeat(report, Now))
      target.Held.push_back({row.Keys, row.Token});
    target.NextHeartbeat =
        Now + (countKeys(target.Held) < before ? ReleaseTime : Interval);
  }

  base::MonoTime Now{1h};
  FencingToken Index = 0;
  KeyTable Table;
  std::set<std::string> Evacuated;
  std::unique_ptr<GrantController> Leader;
  std::vector<SimTarget> Targets;
  double LeastServed = 1;
};

} // namespace

TEST_CASE("Stripes leave evacuated data centres in steps within 2 s") {
  const int targets = GENERATE(9, 60, 168);
  Simulation simulation(targets);
  simulation.resetLeastServed();
  SECTION("one data centre") {
    simulation.evacuate({"dc-1"});
    simulation.run(1s);
    CHECK(simulation.share("dc-1") > 0.1);
    simulation.run(1s);
    CHECK(simulation.countOwned("dc-1") == 0);
    simulation.run(1s);
    CHECK(simulation.share("dc-0") + simulation.share("dc-2") == Approx(1));
    // A third of the keys moves.
    CHECK(simulation.leastServed() > 0.8);
  }
  SECTION("two data centres") {
    simulation.evacuate({"dc-1", "dc-2"});
    simulation.run(2s);
    CHECK(simulation.countOwned("dc-1") + simulation.countOwned("dc-2") == 0);
    simulation.run(1s);
    CHECK(simulation.leastServed() > 0.6);
    // Answers to 3 or 20 targets don't have enough rows for all stripes.
    if (targets == 168)
      CHECK(simulation.share("dc-0") == Approx(1));
  }
  SECTION("with a new leader in between") {
    simulation.evacuate({"dc-1"});
    simulation.run(1s);
    simulation.startLeader();
    simulation.run(2s);
    CHECK(simulation.countOwned("dc-1") == 0);
  }
}

TEST_CASE("Stripes return by balancing after an evacuation") {
  Simulation simulation(60);
  simulation.evacuate({"dc-1"});
  simulation.run(10s);
  CHECK(simulation.share("dc-1") == 0);
  simulation.evacuate({});
  simulation.resetLeastServed();
  simulation.run(30s);
  CHECK(simulation.share("dc-1") > 0.25);
  CHECK(simulation.leastServed() > 0.85);
}

TEST_CASE("The last data centres serve until the time of the evacuation ends") {
  Simulation simulation(9);
  simulation.resetLeastServed();
  simulation.evacuate({"dc-0", "dc-1", "dc-2"});
  simulation.run(1900ms);
  CHECK(simulation.leastServed() == Approx(1));
  simulation.run(1s);
  CHECK(simulation.leastServed() == 0);

  simulation.evacuate({"dc-0"});
  simulation.run(6s);
  CHECK(simulation.share("dc-1") + simulation.share("dc-2") == Approx(1));
}

TEST_CASE("Stripes that a silent target keeps are revoked after 2 s") {
  KeyTable table;
  base::MonoTime now{1h};
  GrantController controller(table, {}, now);
  const auto send = [&](const char *id, const char *centre) {
    KeyReport report{{id, 1}, "stock", 1, false, {}, {}, true, centre};
    controller.onHeartbeat(report, now);
  };
  const auto commit = [&] {
    for (const auto &assignment : controller.plan(now))
      controller.onApplied("stock", table.apply(assignment, 1));
  };
  for (int n = 0; n < 4; ++n, now += 1s) {
    send("a", "dc-0");
    commit();
  }
  REQUIRE(controller.holderOf("stock", 0));
  controller.setEvacuated({"dc-0"}, now);
  CHECK(controller.revokeOverdue(now + 1900ms).empty());
  CHECK(controller.holderOf("stock", 0));
  const auto revoked = controller.revokeOverdue(now + 2s);
  REQUIRE(revoked.size() == 1);
  CHECK(revoked[0].Stripes == table.find("stock")->countStripes());
  CHECK(controller.holderOf("stock", 0) == nullptr);
  CHECK(controller.revokeOverdue(now + 3s).empty());
}
