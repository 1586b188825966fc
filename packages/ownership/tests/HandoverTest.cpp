// Single changes to a running data centre: targets and VMs join and leave, and
// slots are reassigned with as few moves as possible.
#include "Simulation.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace magnoliamill;
using namespace magnoliamill::ownership::tests;

namespace {

constexpr TrueTime OutageLimit = 2000 * Ms;
const base::ServiceId Service("barnstock");

/// Time from \p loss until all slots are served again; 0 if none was
/// unavailable.
TrueTime measureOutage(Simulation &sim, const std::function<void()> &loss) {
  const auto start = sim.Now;
  loss();
  if (!sim.runUntil([&] { return !sim.isAllServed(); }, OutageLimit))
    return 0;
  sim.runUntil([&] { return sim.isAllServed(); }, 3 * OutageLimit);
  return sim.Now - start;
}

/// Checks over random seeds that no outage after \p loss exceeds OutageLimit.
bool checkOutages(const std::string &text,
                  const std::function<void(Simulation &)> &loss) {
  return rc::check(text, [&] {
    const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint32_t>());
    Simulation sim({.Seed = seed, .Vms = 3, .Targets = 4, .Slots = 16});
    sim.run(4000 * Ms + seed % 1000 * Ms);
    RC_ASSERT(sim.isAllServed());
    const auto outage = measureOutage(sim, [&] { loss(sim); });
    RC_TAG(fmt::format("up to {} ms", (outage / Ms / 200 + 1) * 200));
    if (outage > OutageLimit)
      RC_FAIL(fmt::format("seed {}: {} ms", seed, outage / Ms));
    RC_ASSERT(sim.Violations.empty());
  });
}

/// A VM that dispatches to at least two targets: with only one, the loss of the
/// VM's network can't be distinguished from the loss of the target.
Vm &findBusyVm(Simulation &sim) {
  std::map<base::VmId, int> targets;
  for (const auto &[instance, it] : sim.Vms[0].Replica->viewNow()->Targets)
    ++targets[it.Dispatcher];
  return *std::ranges::find_if(
      sim.Vms, [&](const Vm &vm) { return targets[vm.Id] >= 2; });
}

std::size_t countAt(const Simulation &sim,
                    const base::TargetInstanceId &target) {
  auto owned = sim.listOwned();
  return owned[target].size();
}

} // namespace

TEST_CASE("All slots are served within 2 s of a loss", "[ownership][outage]") {
  SECTION("of a target") {
    REQUIRE(checkOutages("target", [](Simulation &it) { it.killTarget(1); }));
  }
  SECTION("of a target that restarts at once") {
    REQUIRE(
        checkOutages("restart", [](Simulation &it) { it.restartTarget(1); }));
  }
  SECTION("of a dispatcher") {
    REQUIRE(checkOutages("dispatcher", [](Simulation &it) { it.killVm(1); }));
  }
  SECTION("of the leader, which dispatches too") {
    REQUIRE(checkOutages("leader", [](Simulation &it) { it.killVm(0); }));
  }
  SECTION("of a dispatcher's network to its targets") {
    REQUIRE(checkOutages(
        "cut off", [](Simulation &it) { it.Vms[1].ReachesTargets = false; }));
  }
}

TEST_CASE("Slots are not moved without need", "[ownership]") {
  Simulation sim({.Seed = 7, .Vms = 3, .Targets = 4, .Slots = 16});
  auto IsServed = [&] { return sim.isAllServed(); };
  REQUIRE(sim.runUntil(IsServed, 4000 * Ms));
  sim.run(2000 * Ms);
  const auto before = sim.Moves;

  SECTION("no slot moves without a change") {
    for (const auto &[target, slots] : sim.listOwned())
      REQUIRE(slots.size() == 4);
    sim.run(2000 * Ms);
    REQUIRE(sim.Moves == before);
  }
  SECTION("slots of a lost target are spread evenly") {
    sim.killTarget(1);
    sim.run(3000 * Ms);
    REQUIRE(IsServed());
    REQUIRE(sim.Moves == before + 4);
    const auto owned = sim.listOwned();
    REQUIRE(std::ranges::all_of(owned, [](const auto &it) {
      return it.second.size() >= 5 && it.second.size() <= 6;
    }));
  }
  SECTION("a joining target gets an even share") {
    const auto joined = sim.addTarget();
    sim.run(3000 * Ms);
    REQUIRE(IsServed());
    REQUIRE(countAt(sim, sim.Targets[joined].Self.Instance) == 3);
    REQUIRE(sim.Moves == before + 3);
  }
  SECTION("no slot moves when a dispatcher is lost, stopping or isolated") {
    SECTION("lost") { sim.killVm(1); }
    SECTION("stopping") { sim.stopVm(1); }
    SECTION("isolated") { findBusyVm(sim).ReachesTargets = false; }
    sim.run(3000 * Ms);
    REQUIRE(IsServed());
    REQUIRE(sim.Moves == before);
  }
  CAPTURE(sim.Violations);
  REQUIRE(sim.Violations.empty());
}

TEST_CASE("A stopping VM releases its targets at once", "[ownership]") {
  Simulation sim({.Seed = 3, .Vms = 3, .Targets = 4, .Slots = 16});
  sim.run(4000 * Ms);
  const auto outage = measureOutage(sim, [&] { sim.stopVm(1); });
  REQUIRE(outage < 300 * Ms);
  REQUIRE(sim.Vms[1].Agent->hasReleasedAllTargets());
}

TEST_CASE("Ownership follows the settings", "[ownership]") {
  Simulation sim({.Seed = 11, .Vms = 3, .Targets = 4, .Slots = 16});
  sim.run(5000 * Ms);
  REQUIRE(sim.isAllServed());
  const auto instance = sim.Targets[2].Self.Instance;
  auto settings = sim.Settings;

  SECTION("a leaving target is empty within 3 s") {
    settings.TargetRules[Service]["barn3"] = {"barn3", true, 0};
    sim.setSettings(settings);
    sim.run(3000 * Ms);
    REQUIRE(countAt(sim, instance) == 0);
    REQUIRE(sim.isAllServed());
    // Nor does it get requests without keys.
    for (const auto &vm : sim.Vms)
      REQUIRE_FALSE(
          vm.Agent->mayWrite(instance, std::nullopt, vm.Clock.read(sim.Now)));
  }
  SECTION("a target that leaves by a date is emptied gradually") {
    const auto leave = sim.Now / Ms + 30000;
    settings.TargetRules[Service]["barn3"] = {"barn3", false, leave};
    sim.setSettings(settings);
    sim.run(3000 * Ms);
    REQUIRE(countAt(sim, instance) >= 3);
    sim.run(20000 * Ms);
    REQUIRE(countAt(sim, instance) == 0);
    REQUIRE(sim.isAllServed());
  }
  SECTION("a slot that moves away is released, then reported") {
    settings.Homes[Service][5].MovingTo = base::DataCentreId("dc2");
    sim.setSettings(settings);
    sim.run(1000 * Ms);
    const base::SlotId slot{Service, 5};
    REQUIRE(sim.HomesReleased == std::set<base::SlotId>{slot});
    REQUIRE(countAt(sim, base::TargetInstanceId("")) == 1);
  }
  SECTION("a slot that moves back gets a token with the epoch of its home") {
    settings.Homes[Service][5] = {base::DataCentreId("dc2"), 1, {}};
    sim.setSettings(settings);
    sim.run(1000 * Ms);
    settings.Homes[Service][5] = {base::DataCentreId("dc1"), 9, {}};
    sim.setSettings(settings);
    sim.run(1000 * Ms);
    REQUIRE(sim.isAllServed());
    const auto view = sim.Vms[0].Replica->viewNow();
    REQUIRE(view->Slots.at(Service)[5].Token.Epoch == 9);
  }
  CAPTURE(sim.Violations);
  REQUIRE(sim.Violations.empty());
}

TEST_CASE("A lease is refused until the VM's view is current", "[ownership]") {
  // Covers race windows of a few milliseconds, which random schedules rarely
  // hit.
  namespace own = magnoliamill::ownership;
  own::StateMachine machine(1);
  own::ControllerConfig config;
  config.DataCentre = base::DataCentreId("dc1");
  own::Controller leader(config);
  MonoTime now(Duration(std::chrono::seconds(100)));
  consensus::LogIndex index = 0;
  auto step = [&](const own::ControllerEvent &event) {
    return leader.step(event, now);
  };
  auto commit = [&](const own::ControllerActions &actions) {
    for (const auto &command : actions.Propose)
      machine.apply(++index, own::encodeCommand(command));
  };
  auto renew = [&](const char *vm, std::uint64_t run) {
    own::DispatchReport report;
    report.ViewIndex = machine.viewNow()->Index;
    return own::LeaseRequested{base::VmId(vm), run, false, report};
  };
  const Simulation settings({.Seed = 1});
  step(own::SettingsChanged{
      std::make_shared<const settings::View>(settings.Settings)});
  commit(step(own::BecameLeader{1}));
  step(own::ViewChanged{machine.viewNow()});
  REQUIRE(step(renew("vm1", 1)).LeaseGranted);
  auto target = settings.Targets.front().Self;
  now += std::chrono::seconds(1);
  REQUIRE(step(renew("vm1", 1)).LeaseGranted);
  commit(step(own::Announced{target}));
  commit(step(own::ViewChanged{machine.viewNow()}));
  step(own::ViewChanged{machine.viewNow()});
  const auto given = machine.viewNow()->Targets.at(target.Instance);
  REQUIRE(given.Dispatcher == base::VmId("vm1"));

  // vm1 sends nothing for longer than its lease; vm2 takes its place.
  now += std::chrono::seconds(1);
  const auto stale = renew("vm1", 1);
  auto revocation = step(renew("vm2", 1));
  REQUIRE(revocation.Propose.size() == 1);

  SECTION("it is refused while the target is being taken away") {
    REQUIRE_FALSE(step(stale).LeaseGranted);
  }
  SECTION(
      "it is refused until the holder's view shows that the target was taken") {
    commit(revocation);
    step(own::ViewChanged{machine.viewNow()});
    REQUIRE_FALSE(step(stale).LeaseGranted);
    REQUIRE(step(renew("vm1", 1)).LeaseGranted);
  }
  SECTION("a restarted VM does not keep the targets of its earlier run") {
    own::DispatchAgent agent({base::VmId("vm1"), 2}, now);
    auto actions = agent.step(own::ViewChanged{machine.viewNow()}, now);
    const own::LeaseReplied reply{actions.Lease->SentAtUs, own::LeaseDuration,
                                  true};
    REQUIRE(agent.step(reply, now).Grants.empty());
    REQUIRE(agent.hasLease(now));
    REQUIRE_FALSE(step(renew("vm1", 1)).LeaseGranted);
  }
}
