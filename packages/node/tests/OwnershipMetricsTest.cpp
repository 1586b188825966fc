// Tests the metrics of a service that are computed from ownership views.
#include "node/OwnershipMetrics.h"

#include <catch2/catch.hpp>

using namespace magnoliamill;
using node::OwnershipMetrics;
using std::chrono::seconds;

namespace {

const base::ServiceId Barnstock("barnstock");

void addTarget(ownership::View &view, const std::string &name) {
  ownership::TargetView target;
  target.Instance = base::TargetInstanceId(name);
  target.Service = Barnstock;
  target.Dispatcher = base::VmId("a1");
  view.Targets[target.Instance] = target;
}

void setOwner(ownership::View &view, std::size_t slot,
              const std::string &owner) {
  view.Slots[Barnstock][slot].Owner = base::TargetInstanceId(owner);
}

} // namespace

TEST_CASE("Service metrics follow the ownership views", "[node]") {
  ownership::View view;
  view.Slots[Barnstock].resize(4);
  addTarget(view, "t1");
  addTarget(view, "t2");
  for (std::size_t i = 0; i < 4; ++i)
    setOwner(view, i, i < 2 ? "t1" : "t2");
  const std::map<base::ServiceId, std::vector<std::uint32_t>> homes{
      {Barnstock, {0, 1, 2, 3}}};
  const base::MonoTime start = base::MonoTime{} + seconds(100);
  OwnershipMetrics measures;
  measures.update(view, homes, start);
  const auto &barnstock = measures.services().at(Barnstock);

  SECTION("an unchanged even distribution has imbalance 1 and no changes") {
    measures.update(view, homes, start + seconds(5));
    REQUIRE(barnstock.Imbalance == Approx(1));
    REQUIRE(barnstock.OwnerChanges == 0);
    REQUIRE(barnstock.UnservedSeconds == Approx(0));
  }

  SECTION("a moved slot is one owner change and raises the imbalance") {
    setOwner(view, 2, "t1");
    measures.update(view, homes, start + seconds(1));
    REQUIRE(barnstock.OwnerChanges == 1);
    REQUIRE(barnstock.Imbalance == Approx(1.5));
  }

  SECTION("a move with no owner in between is one owner change") {
    setOwner(view, 2, "");
    measures.update(view, homes, start + seconds(1));
    REQUIRE(barnstock.OwnerChanges == 0);
    setOwner(view, 2, "t1");
    measures.update(view, homes, start + seconds(2));
    REQUIRE(barnstock.OwnerChanges == 1);
  }

  SECTION("a slot that returns to its owner is no owner change") {
    setOwner(view, 2, "");
    measures.update(view, homes, start + seconds(1));
    setOwner(view, 2, "t2");
    measures.update(view, homes, start + seconds(2));
    REQUIRE(barnstock.OwnerChanges == 0);
  }

  SECTION("a lost target's slots are unserved until they have moved") {
    view.Targets[base::TargetInstanceId("t2")].State =
        ownership::TargetState::Lost;
    measures.update(view, homes, start + seconds(1));
    REQUIRE(barnstock.UnservedSlots == 2);
    REQUIRE(barnstock.UnservedSeconds == Approx(0));
    setOwner(view, 2, "t1");
    setOwner(view, 3, "t1");
    measures.update(view, homes, start + seconds(3));
    REQUIRE(barnstock.UnservedSlots == 0);
    REQUIRE(barnstock.UnservedSeconds == Approx(4));
    measures.update(view, homes, start + seconds(9));
    REQUIRE(barnstock.UnservedSeconds == Approx(4));
  }

  SECTION("a slot that is being released is unserved") {
    view.Slots[Barnstock][0].Releasing = true;
    measures.update(view, homes, start + seconds(1));
    REQUIRE(barnstock.UnservedSlots == 1);
  }

  SECTION("home slots that are missing from the view are unserved") {
    measures.update({}, homes, start + seconds(1));
    REQUIRE(barnstock.UnservedSlots == 4);
  }

  SECTION("slots whose home moved away no longer count") {
    view.Slots[Barnstock][3].Owner = {};
    measures.update(view, {{Barnstock, {0, 1, 2}}}, start + seconds(1));
    REQUIRE(barnstock.UnservedSlots == 0);
  }
}
