// The life of a data centre with one change at a time: targets and VMs come and
// go, and slots follow with as few moves as can be.
#include "World.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace magnoliamill;
using namespace magnoliamill::ownership::tests;

namespace {

constexpr TrueTime ServedWithin = 2000 * Ms;
const base::ServiceId Service("barnstock");

/// Time from \p loss until all is served again; 0 when nothing was unavailable.
TrueTime measureOutage(World &world, const std::function<void()> &loss) {
  const auto start = world.Now;
  loss();
  if (!world.runUntil([&] { return !world.isAllServed(); }, ServedWithin))
    return 0;
  world.runUntil([&] { return world.isAllServed(); }, 3 * ServedWithin);
  return world.Now - start;
}

/// The longest outage by one kind of loss over the seeds of a property.
bool checkOutages(const std::string &text,
                  const std::function<void(World &)> &loss) {
  return rc::check(text, [&] {
    const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint32_t>());
    World world({.Seed = seed, .Vms = 3, .Targets = 4, .Slots = 16});
    world.run(4000 * Ms + seed % 1000 * Ms);
    RC_ASSERT(world.isAllServed());
    const auto outage = measureOutage(world, [&] { loss(world); });
    RC_TAG(fmt::format("up to {} ms", (outage / Ms / 200 + 1) * 200));
    if (outage > ServedWithin)
      RC_FAIL(fmt::format("seed {}: {} ms", seed, outage / Ms));
    RC_ASSERT(world.Violations.empty());
  });
}

/// A VM that dispatches to two targets at least: with one, its loss can't be
/// told from the target's.
Vm &findBusyVm(World &world) {
  std::map<base::VmId, int> targets;
  for (const auto &[instance, it] : world.Vms[0].Replica->viewNow()->Targets)
    ++targets[it.Dispatcher];
  return *std::ranges::find_if(
      world.Vms, [&](const Vm &vm) { return targets[vm.Id] >= 2; });
}

std::size_t countAt(const World &world, const base::TargetInstanceId &target) {
  auto owned = world.countOwned();
  return owned[target].size();
}

} // namespace

TEST_CASE("All slots are served within 2 s of a loss", "[ownership][outage]") {
  SECTION("of a target") {
    REQUIRE(checkOutages("target", [](World &it) { it.killTarget(1); }));
  }
  SECTION("of a target that restarts at once") {
    REQUIRE(checkOutages("restart", [](World &it) { it.restartTarget(1); }));
  }
  SECTION("of a dispatcher") {
    REQUIRE(checkOutages("dispatcher", [](World &it) { it.killVm(1); }));
  }
  SECTION("of the leader, which dispatches too") {
    REQUIRE(checkOutages("leader", [](World &it) { it.killVm(0); }));
  }
  SECTION("of a dispatcher's way to its targets") {
    REQUIRE(checkOutages("cut off",
                         [](World &it) { it.Vms[1].ReachesTargets = false; }));
  }
}

TEST_CASE("Slots move no more than needed", "[ownership]") {
  World world({.Seed = 7, .Vms = 3, .Targets = 4, .Slots = 16});
  auto isServed = [&] { return world.isAllServed(); };
  REQUIRE(world.runUntil(isServed, 4000 * Ms));
  world.run(2000 * Ms);
  const auto before = world.Moves;

  SECTION("none while nothing happens") {
    for (const auto &[target, slots] : world.countOwned())
      REQUIRE(slots.size() == 4);
    world.run(2000 * Ms);
    REQUIRE(world.Moves == before);
  }
  SECTION("those of a lost target, spread evenly") {
    world.killTarget(1);
    world.run(3000 * Ms);
    REQUIRE(isServed());
    REQUIRE(world.Moves == before + 4);
    const auto owned = world.countOwned();
    REQUIRE(std::ranges::all_of(owned, [](const auto &it) {
      return it.second.size() >= 5 && it.second.size() <= 6;
    }));
  }
  SECTION("one share to a target that joins") {
    const auto joined = world.addTarget();
    world.run(3000 * Ms);
    REQUIRE(isServed());
    REQUIRE(countAt(world, world.Targets[joined].Self.Instance) == 3);
    REQUIRE(world.Moves == before + 3);
  }
  SECTION("none when a dispatcher is lost, stops, or is cut off") {
    SECTION("lost") { world.killVm(1); }
    SECTION("stopping") { world.stopVm(1); }
    SECTION("cut off") { findBusyVm(world).ReachesTargets = false; }
    world.run(3000 * Ms);
    REQUIRE(isServed());
    REQUIRE(world.Moves == before);
  }
  REQUIRE(world.Violations == std::vector<std::string>{});
}

TEST_CASE("A VM that stops is relieved at once", "[ownership]") {
  World world({.Seed = 3, .Vms = 3, .Targets = 4, .Slots = 16});
  world.run(4000 * Ms);
  const auto outage = measureOutage(world, [&] { world.stopVm(1); });
  REQUIRE(outage < 300 * Ms);
  REQUIRE(world.Vms[1].Agent->isRelieved());
}

TEST_CASE("Settings steer ownership", "[ownership]") {
  World world({.Seed = 11, .Vms = 3, .Targets = 4, .Slots = 16});
  world.run(5000 * Ms);
  REQUIRE(world.isAllServed());
  const auto instance = world.Targets[2].Self.Instance;
  auto settings = world.Settings;

  SECTION("a leaving target is empty within 3 s") {
    settings.TargetRules[Service]["barn3"] = {"barn3", true, 0};
    world.setSettings(settings);
    world.run(3000 * Ms);
    REQUIRE(countAt(world, instance) == 0);
    REQUIRE(world.isAllServed());
  }
  SECTION("a target that leaves by a date is emptied bit by bit") {
    const auto leave = world.Now / Ms + 30000;
    settings.TargetRules[Service]["barn3"] = {"barn3", false, leave};
    world.setSettings(settings);
    world.run(3000 * Ms);
    REQUIRE(countAt(world, instance) >= 3);
    world.run(20000 * Ms);
    REQUIRE(countAt(world, instance) == 0);
    REQUIRE(world.isAllServed());
  }
  SECTION("a slot that moves away is released, then reported") {
    settings.Homes[Service][5].MovingTo = base::DataCentreId("dc2");
    world.setSettings(settings);
    world.run(1000 * Ms);
    const base::SlotId slot{Service, 5};
    REQUIRE(world.HomesReleased == std::set<base::SlotId>{slot});
    REQUIRE(countAt(world, base::TargetInstanceId("")) == 1);
  }
  SECTION("a slot that comes home has a token of its home's epoch") {
    settings.Homes[Service][5] = {base::DataCentreId("dc2"), 1, {}};
    world.setSettings(settings);
    world.run(1000 * Ms);
    settings.Homes[Service][5] = {base::DataCentreId("dc1"), 9, {}};
    world.setSettings(settings);
    world.run(1000 * Ms);
    REQUIRE(world.isAllServed());
    const auto view = world.Vms[0].Replica->viewNow();
    REQUIRE(view->Slots.at(Service)[5].Token.Epoch == 9);
  }
  REQUIRE(world.Violations == std::vector<std::string>{});
}
