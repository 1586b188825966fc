// Tests of homes and data-centre groups: the controller's commands are applied
// to the state machine.
#include "TestSettings.h"

#include "settings/HomeController.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace magnoliamill;
using namespace magnoliamill::settings;
using namespace magnoliamill::settings::tests;
using base::ResultCode;

namespace {

const base::ServiceId Service("barnstock");

base::MonoTime at(int seconds) {
  return base::MonoTime(std::chrono::seconds(seconds));
}

/// Runs one step of the controller and applies its commands. Returns their
/// number.
std::size_t decide(TestStateMachine &machine, HomeController &controller,
                   base::MonoTime now) {
  auto commands = controller.step(*machine.Settings.viewNow(), now);
  for (const auto &command : commands)
    machine.run(command);
  return commands.size();
}

/// Confirms all pending moves on behalf of the old homes.
void confirmMoves(TestStateMachine &machine) {
  auto view = machine.Settings.viewNow();
  const auto &homes = view->Homes.at(Service);
  for (std::uint32_t i = 0; i < homes.size(); ++i)
    if (homes[i].MovingTo)
      machine.run(
          FinishHomeMove{0, {Service, i}, homes[i].Epoch, homes[i].Home});
}

std::map<std::string, int> countHomes(const TestStateMachine &machine) {
  std::map<std::string, int> count;
  auto view = machine.Settings.viewNow();
  for (const auto &home : view->Homes.at(Service))
    ++count[home.Home.Value];
  return count;
}

ReplicaReport report(const std::string &name, std::uint64_t number,
                     std::uint64_t held, std::uint64_t known) {
  return {base::DataCentreId("basel"),
          {base::VmId(name), number},
          true,
          held,
          known,
          {}};
}

} // namespace

TEST_CASE("The slots of a keyed service", "[settings]") {
  TestStateMachine machine;
  machine.bootstrap();
  HomeController controller;
  auto set =
      machine.set(Barnstock, keyedService(6, R"("basel","chur")"), 0, "a");
  REQUIRE(decide(machine, controller, at(1)) == 1);
  REQUIRE(countHomes(machine) ==
          std::map<std::string, int>{{"basel", 3}, {"chur", 3}});

  SECTION("keep their homes while nothing changes") {
    REQUIRE(decide(machine, controller, at(2)) == 0);
  }
  SECTION("move to a new data centre, a few at a time") {
    machine.set(Barnstock, keyedService(6, R"("basel","chur","genf")"),
                set.Version, "b");
    REQUIRE(decide(machine, controller, at(2)) == 2);
    confirmMoves(machine);
    REQUIRE(countHomes(machine) ==
            std::map<std::string, int>{{"basel", 2}, {"chur", 2}, {"genf", 2}});
  }
  SECTION("leave a data centre only after it has confirmed") {
    machine.set(Barnstock, keyedService(6, R"("basel")"), set.Version, "b");
    REQUIRE(decide(machine, controller, at(2)) == 3);
    REQUIRE(countHomes(machine).at("chur") == 3);
    auto before = machine.Settings.viewNow()->Homes.at(Service)[1].Epoch;
    confirmMoves(machine);
    REQUIRE(countHomes(machine) == std::map<std::string, int>{{"basel", 6}});
    REQUIRE(machine.Settings.viewNow()->Homes.at(Service)[1].Epoch > before);
  }
  SECTION("keep their home when the move is cancelled before confirmation") {
    machine.set(Barnstock, keyedService(6, R"("basel")"), set.Version, "b");
    decide(machine, controller, at(2));
    auto moving = machine.Settings.viewNow()->Homes.at(Service)[1];
    REQUIRE(moving.MovingTo);
    machine.run(CancelHomeMove{0, {Service, 1}, moving.Epoch});
    SECTION("and a late confirmation does not complete a later move") {
      auto kept = machine.Settings.viewNow()->Homes.at(Service)[1];
      REQUIRE(kept.Epoch > moving.Epoch);
      machine.run(BeginHomeMove{
          0, {Service, 1}, kept.Epoch, base::DataCentreId("basel")});
      REQUIRE(machine.Settings.viewNow()->Homes.at(Service)[1].MovingTo);
      auto late = machine.run(FinishHomeMove{
          0, {Service, 1}, moving.Epoch, base::DataCentreId("chur")});
      REQUIRE(late.Code == ResultCode::VersionConflict);
      REQUIRE(machine.Settings.viewNow()->Homes.at(Service)[1].Home.Value ==
              "chur");
    }
  }
  SECTION("are reclaimed only from a data centre declared gone") {
    auto home = machine.Settings.viewNow()->Homes.at(Service)[1];
    ReclaimHome reclaim{
        0, {Service, 1}, home.Epoch, base::DataCentreId("basel")};
    REQUIRE(machine.run(reclaim).Code == ResultCode::HomeNotReleased);
    machine.set("/admin/data_centres/chur", R"({"state":"gone"})", 0, "g");
    decide(machine, controller, at(2));
    REQUIRE(countHomes(machine) == std::map<std::string, int>{{"basel", 6}});
  }
  SECTION("are not moved to a data centre without targets") {
    HomeControllerConfig config;
    config.CanServe = [](const auto &, const auto &centre) {
      return centre.Value != "genf";
    };
    HomeController filtered(config);
    machine.set(Barnstock, keyedService(6, R"("basel","chur","genf")"),
                set.Version, "b");
    REQUIRE(decide(machine, filtered, at(2)) == 0);
  }
}

TEST_CASE("Homes converge after any changes of the data centres",
          "[settings]") {
  REQUIRE(rc::check("evenly, with rising epochs", [] {
    TestStateMachine machine;
    machine.bootstrap();
    HomeController controller;
    std::uint64_t version = 0;
    std::vector<std::uint64_t> epochs(8, 0);
    int now = 0;
    auto changes = *rc::gen::inRange(1, 5);
    for (int change = 0; change < changes; ++change) {
      auto mask = *rc::gen::inRange(1, 8);
      std::string centres;
      for (int i = 0; i < 3; ++i)
        if (mask & (1 << i))
          centres +=
              fmt::format("{}\"{}\"", centres.empty() ? "" : ",",
                          std::vector{"basel", "chur",
                                      "genf"}[static_cast<std::size_t>(i)]);
      version = machine
                    .set(Barnstock, keyedService(8, centres), version,
                         std::to_string(change))
                    .Version;
      // A change may arrive before the previous one has completed.
      auto rounds = change + 1 == changes ? 20 : *rc::gen::inRange(1, 4);
      for (int round = 0; round < rounds; ++round) {
        decide(machine, controller, at(++now));
        confirmMoves(machine);
      }
      auto view = machine.Settings.viewNow();
      for (std::size_t i = 0; i < 8; ++i) {
        RC_ASSERT(view->Homes.at(Service)[i].Epoch >= epochs[i]);
        epochs[i] = view->Homes.at(Service)[i].Epoch;
      }
    }
    auto view = machine.Settings.viewNow();
    auto count = countHomes(machine);
    RC_ASSERT(count.size() == view->Services.at(Service).DataCentres.size());
    auto fewer = [](const auto &one, const auto &two) {
      return one.second < two.second;
    };
    auto [low, high] = std::minmax_element(count.begin(), count.end(), fewer);
    RC_ASSERT(high->second - low->second <= 1);
  }));
}

TEST_CASE("The group of a data centre", "[settings]") {
  TestStateMachine machine;
  machine.run(BootstrapVms{1,
                           {vm("b1", "basel", 1000), vm("b2", "basel", 1010),
                            vm("b3", "basel", 1020)}});
  HomeController controller;
  for (const char *name : {"b1", "b2"})
    controller.report(report(name, 1, 0, 0), at(1));

  SECTION("starts after a delay when VMs are missing") {
    REQUIRE(decide(machine, controller, at(1)) == 0);
    REQUIRE(decide(machine, controller, at(3)) == 1);
  }
  SECTION("starts at once when all VMs have reported") {
    controller.report(report("b3", 1, 0, 0), at(1));
    REQUIRE(decide(machine, controller, at(1)) == 1);
    auto group =
        machine.Settings.viewNow()->Groups.at(base::DataCentreId("basel"));
    REQUIRE(group.FirstMembers.Voters.size() == 3);
    REQUIRE(group.Epoch == machine.Index);

    auto SendReport = [&](const char *name, bool holds, int now) {
      auto sent =
          report(name, holds ? 1 : 2, holds ? group.Epoch : 0, group.Epoch);
      if (holds)
        sent.Voters = group.FirstMembers.Voters;
      controller.report(sent, at(now));
    };
    SECTION("is started only once by concurrent commands") {
      StartDataCentreGroup again{0, base::DataCentreId("basel"),
                                 group.FirstMembers.Voters, 0};
      REQUIRE(machine.run(again).Code == ResultCode::VersionConflict);
    }
    SECTION("is not replaced while a quorum may exist") {
      for (int now = 10; now < 14; ++now) {
        SendReport("b1", true, now);
        SendReport("b2", true, now);
        SendReport("b3", false, now);
        REQUIRE(decide(machine, controller, at(now)) == 0);
      }
    }
    SECTION("is not replaced while a VM that may hold it has not reported") {
      for (int now = 10; now < 14; ++now) {
        SendReport("b1", true, now);
        SendReport("b2", false, now);
        REQUIRE(decide(machine, controller, at(now)) == 0);
      }
      SECTION("until an operator declares it lost") {
        machine.set("/admin/data_centres/basel",
                    fmt::format(R"({{"state":"active","abandoned_epoch":{}}})",
                                group.Epoch),
                    0, "g");
        SendReport("b1", true, 14);
        SendReport("b2", false, 14);
        decide(machine, controller, at(14));
        REQUIRE(decide(machine, controller, at(16)) == 1);
      }
    }
    SECTION("is replaced once the reports of all VMs show a lost quorum") {
      for (int now = 10; now < 12; ++now) {
        SendReport("b1", true, now);
        SendReport("b2", false, now);
        SendReport("b3", false, now);
        REQUIRE(decide(machine, controller, at(now)) == (now == 10 ? 0 : 1));
      }
      REQUIRE(machine.Settings.viewNow()
                  ->Groups.at(base::DataCentreId("basel"))
                  .Epoch > group.Epoch);
    }
  }
}
