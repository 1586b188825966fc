// The normal life of a data centre: targets come, go, and slots follow them.
#include "World.h"

#include <catch2/catch.hpp>

using namespace magnoliamill::ownership::tests;

namespace {
constexpr TrueTime ServedWithin = 2000 * Ms;
}

TEST_CASE("A data centre serves all slots", "[ownership]") {
  World world({.Seed = 7, .Vms = 3, .Targets = 4, .Slots = 16});
  auto isServed = [&] { return world.isAllServed(); };
  REQUIRE(world.runUntil(isServed, 4000 * Ms));
  world.run(2000 * Ms);
  const auto before = world.Moves;
  INFO("time " << world.Now / Ms);

  SECTION("evenly") {
    for (const auto &[target, slots] : world.countOwned())
      REQUIRE(slots.size() == 4);
    world.run(2000 * Ms);
    REQUIRE(world.Moves == before);
  }
  SECTION("within 2 s of the loss of a target") {
    world.killTarget(1);
    world.run(10 * Ms);
    world.run(1);
    REQUIRE(world.runUntil(
        [&] { return world.countOwned().size() == 3 && isServed(); },
        ServedWithin));
    REQUIRE(world.Moves == before + 4);
  }
  SECTION("within 2 s of the loss of a dispatcher, without moving a slot") {
    world.killVm(1);
    world.run(700 * Ms);
    REQUIRE(world.runUntil(isServed, ServedWithin - 700 * Ms));
    REQUIRE(world.Moves == before);
  }
  SECTION("within 2 s of the loss of the leader, which dispatches too") {
    world.killVm(0);
    world.run(700 * Ms);
    REQUIRE(world.runUntil(isServed, ServedWithin - 700 * Ms));
    REQUIRE(world.Moves == before);
  }
  SECTION("and a target that joins gets only its share") {
    world.addTarget();
    world.run(3000 * Ms);
    REQUIRE(isServed());
    REQUIRE(world.Moves == before + 3);
  }
  REQUIRE(world.Violations == std::vector<std::string>{});
}
