// Random schedules of faults: at any time a slot has at most one owner and a
// target at most one dispatcher, and after the faults all slots are served
// again.
#include "Simulation.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace magnoliamill::ownership::tests;

namespace {

constexpr TrueTime FaultDuration = 6000 * Ms;
/// Time for an election, leases and grants, in sequence, after the faults end.
constexpr TrueTime RecoveryLimit = 4000 * Ms;
constexpr int SchedulesPerCase = 10;

void runSchedule(const SimulationConfig &config) {
  Simulation sim(config);
  sim.run(FaultDuration);
  sim.heal();
  const bool IsServed =
      sim.runUntil([&] { return sim.isAllServed(); }, RecoveryLimit);
  if (!sim.Violations.empty())
    RC_FAIL(fmt::format("seed {}: {}", config.Seed, sim.Violations.front()));
  if (!IsServed)
    RC_FAIL(fmt::format("seed {}: not served again", config.Seed));
}

/// Runs schedules with the given faults for 100 * SchedulesPerCase seeds.
bool checkSchedules(const std::string &text, const SimulationConfig &faults) {
  return rc::check(text, [faults] {
    auto config = faults;
    const auto first = *rc::gen::noShrink(rc::gen::arbitrary<std::uint32_t>());
    for (int n = 0; n < SchedulesPerCase; ++n) {
      config.Seed = std::uint64_t{first} * SchedulesPerCase +
                    static_cast<std::uint64_t>(n);
      runSchedule(config);
    }
  });
}

} // namespace

TEST_CASE("Ownership stays exclusive", "[ownership][schedules]") {
  SimulationConfig config{.Vms = 3, .Targets = 3, .Slots = 5};
  SECTION("while messages are lost, delayed and duplicated") {
    config.LossPercent = 25;
    config.LatePercent = 20;
    REQUIRE(checkSchedules("lossy network", config));
  }
  SECTION("while VMs and targets freeze for longer than every lease") {
    config.FreezePer10000 = 20;
    config.LatePercent = 3;
    REQUIRE(checkSchedules("freezes", config));
  }
  SECTION("while all these faults occur and processes restart") {
    config.LossPercent = 5;
    config.LatePercent = 5;
    config.FreezePer10000 = 10;
    config.CrashPercent = 10;
    REQUIRE(checkSchedules("all faults", config));
  }
}
