// Tests when the leader transfers stripes by load.
#include "keyspace/GrantController.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace magnoliamill;
using namespace magnoliamill::keyspace;
using namespace std::chrono_literals;

namespace {

/// Three targets that hold all stripes. Assignments are committed immediately.
struct Fixture {
  Fixture() {
    startLeader();
    run(6s);
  }
  void startLeader() { Controller.emplace(Table, makeConfig(), Now); }

  GrantConfig makeConfig() {
    GrantConfig config;
    config.LoadsOf = [this](const std::string &) {
      return Loads.ByStripe.empty() ? nullptr : &Loads;
    };
    return config;
  }
  /// All targets send heartbeats every 870 ms.
  void run(base::Duration time) {
    for (const auto end = Now + time; Now < end; Now += 870ms) {
      for (auto &[target, held] : Held) {
        const auto rows =
            Controller->onHeartbeat({target, "stock", 2, false, held, {}}, Now);
        held.clear();
        for (const auto &row : rows)
          held.push_back({row.Keys, row.Token});
      }
      for (const auto &assignment : Controller->plan(Now)) {
        const auto moved = Table.apply(assignment, ++Index);
        CountMoves += moved.size();
        Controller->onApplied(assignment.Service, moved);
      }
    }
  }
  /// All stripes but \p busy have few requests.
  void measure(std::uint32_t busy, std::size_t stripes) {
    Loads.ByStripe.assign(stripes, {0.03F, 0});
    Loads.ByStripe[busy].PerSecond = 12;
    Loads.MinCertain = 1;
    Loads.WorkTime = 100ms;
    CountMoves = 0;
  }
  const TargetInstance &ownerOf(std::uint32_t stripe) const {
    return *Table.find("stock")->ownerOf(stripe);
  }

  base::MonoTime Now{1h};
  FencingToken Index = 10;
  KeyTable Table;
  StripeLoads Loads;
  std::size_t CountMoves = 0;
  std::map<TargetInstance, std::vector<HeldRange>> Held{
      {{"a", 1}, {}}, {{"b", 1}, {}}, {{"c", 1}, {}}};
  std::optional<GrantController> Controller;
};

} // namespace

TEST_CASE("Loads by another number of stripes are ignored") {
  Fixture fixture;
  const auto stripes = fixture.Table.find("stock")->countStripes();
  fixture.measure(0, std::size_t{2} * stripes);
  fixture.run(20s);
  CHECK(fixture.CountMoves == 0);
}

TEST_CASE("A stripe that was moved by load stays for some seconds") {
  Fixture fixture;
  const auto stripes = fixture.Table.find("stock")->countStripes();
  // A target can serve one of these stripes, not both.
  fixture.measure(0, stripes);
  fixture.Loads.ByStripe[3].PerSecond = 12;
  REQUIRE(fixture.ownerOf(0) == fixture.ownerOf(3));
  const auto former = fixture.ownerOf(0);
  fixture.run(4s);
  REQUIRE(fixture.CountMoves == 1);
  const std::uint32_t moved = fixture.ownerOf(0) == former ? 3 : 0;
  const auto holder = fixture.ownerOf(moved);

  // Its new target is overloaded at once by another stripe.
  std::uint32_t other = 0;
  while (other == moved || fixture.ownerOf(other) != holder)
    ++other;
  fixture.measure(moved, stripes);
  fixture.Loads.ByStripe[other].PerSecond = 14;
  // Enough for another transfer.
  fixture.run(2600ms);
  CHECK(fixture.ownerOf(moved) == holder);
}

// What was moved by load would be moved back with each loss of a leader.
TEST_CASE("A new leader waits for loads before it places by count") {
  Fixture fixture;
  const auto &owned = *fixture.Table.find("stock");
  KeyAssignment skewed{"stock", owned.countStripes(), {{"b", 1}}, {}};
  for (const std::uint32_t i : owned.stripesOf({"a", 1}))
    if (i % 3 == 0)
      skewed.Moves.push_back({i, 0, owned.tokenOf(i), {}});
  fixture.Table.apply(skewed, ++fixture.Index);
  fixture.startLeader();
  fixture.CountMoves = 0;
  fixture.run(4500ms);
  CHECK(fixture.CountMoves == 0);

  SECTION("but not for long") {
    fixture.run(5s);
    CHECK(fixture.CountMoves > 0);
  }
}
