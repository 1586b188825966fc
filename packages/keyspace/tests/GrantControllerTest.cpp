// Tests how the leader grants, revokes and moves stripes.
#include "keyspace/GrantController.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace magnoliamill;
using namespace magnoliamill::keyspace;
using namespace std::chrono_literals;

namespace {

const TargetInstance A{"a", 1};
const TargetInstance B{"b", 1};

/// A controller with its table. Assignments are committed immediately.
struct Fixture {
  Fixture() : Controller(Table, {}, Now) {}

  std::vector<GrantRow> heartbeat(const TargetInstance &instance,
                                  std::vector<HeldRange> holds = {},
                                  std::vector<ReleasedRange> released = {},
                                  bool leaving = false) {
    return Controller.onHeartbeat(
        {instance, "stock", 3, leaving, std::move(holds), std::move(released)},
        Now);
  }
  void commit() {
    for (const auto &assignment : Controller.plan(Now))
      Controller.onApplied(assignment.Service,
                           Table.apply(assignment, ++Index));
  }
  /// Lets two targets hold all stripes.
  void assignAllStripes() {
    heartbeat(A);
    heartbeat(B);
    Now += Controller.config().SettleTime;
    heartbeat(A);
    heartbeat(B);
    commit();
    HeldA = hold(heartbeat(A));
    HeldB = hold(heartbeat(B));
    Controller.takeChanges();
  }
  static std::vector<HeldRange> hold(const std::vector<GrantRow> &rows) {
    std::vector<HeldRange> held;
    held.reserve(rows.size());
    for (const auto &row : rows)
      held.push_back({row.Keys, row.Token});
    return held;
  }
  static std::uint32_t countKeys(const std::vector<HeldRange> &held) {
    std::uint32_t keys = 0;
    for (const auto &range : held)
      keys += range.Keys.Last - range.Keys.First + 1;
    return keys;
  }

  base::MonoTime Now{1h};
  FencingToken Index = 10;
  KeyTable Table;
  GrantController Controller;
  std::vector<HeldRange> HeldA;
  std::vector<HeldRange> HeldB;
};

} // namespace

TEST_CASE("Stripes are assigned after all targets had time to report") {
  Fixture fixture;
  CHECK(fixture.heartbeat(A).empty());
  fixture.commit();
  CHECK(fixture.Table.find("stock") == nullptr);
  fixture.Now += fixture.Controller.config().SettleTime;
  CHECK(fixture.heartbeat(A).empty());
  fixture.commit();
  REQUIRE(fixture.Table.find("stock") != nullptr);

  SECTION("requests go to a target only after the stripe was granted to it") {
    CHECK(fixture.Controller.holderOf("stock", 0) == nullptr);
    fixture.heartbeat(A);
    CHECK(*fixture.Controller.holderOf("stock", 0) == A);
    CHECK_FALSE(fixture.Controller.takeChanges().empty());
  }
}

TEST_CASE("An answer to a heartbeat stays within the size limit") {
  Fixture fixture;
  fixture.assignAllStripes();
  CHECK(fixture.HeldA.size() * 26 <= fixture.Controller.config().MaxRowBytes);
}

TEST_CASE("Stripes of a leaving target are reassigned after their release") {
  Fixture fixture;
  fixture.assignAllStripes();
  CHECK(fixture.heartbeat(A, fixture.HeldA, {}, true).empty());
  fixture.commit();
  // The target still processes requests for its stripes.
  CHECK_FALSE(fixture.Table.find("stock")->stripesOf(A).empty());
  CHECK(fixture.Controller.holderOf("stock", 0) !=
        fixture.Table.find("stock")->ownerOf(0));

  std::vector<ReleasedRange> released;
  for (const auto &held : fixture.HeldA)
    released.push_back({held.Keys, "warm"});
  fixture.heartbeat(A, {}, released, true);
  fixture.commit();
  CHECK(fixture.Table.find("stock")->stripesOf(A).empty());
  const auto rows = fixture.heartbeat(B, fixture.HeldB);
  CHECK(std::ranges::count(rows, "warm", &GrantRow::Handover) > 0);
  for (const auto &row : rows)
    if (row.Handover == "warm")
      CHECK(row.Token > fixture.HeldA.front().Token);
}

TEST_CASE("Stripes of a target without heartbeats are free after its hold") {
  Fixture fixture;
  fixture.assignAllStripes();
  const auto hold = fixture.Controller.config().HoldTime;
  const auto advance = [&](base::MonoTime time) {
    while (fixture.Now < time) {
      fixture.Now += 500ms;
      fixture.heartbeat(B, fixture.HeldB);
      fixture.commit();
    }
  };
  const auto answered = fixture.Now;
  advance(answered + hold);
  CHECK_FALSE(fixture.Table.find("stock")->stripesOf(A).empty());
  advance(answered + hold + hold / 50 + 1s);
  CHECK(fixture.Table.find("stock")->stripesOf(A).empty());
}

TEST_CASE("Stripes of a replaced process have another holder before its hold "
          "ends") {
  Fixture fixture;
  fixture.assignAllStripes();
  const auto hold = fixture.Controller.config().HoldTime;
  const auto answered = fixture.Now;
  fixture.Controller.onReplaced(A, fixture.Now);
  CHECK(fixture.Controller.holderOf("stock", 0) !=
        fixture.Table.find("stock")->ownerOf(0));
  while (fixture.Now < answered + hold) {
    fixture.commit();
    CHECK_FALSE(fixture.Table.find("stock")->stripesOf(A).empty());
    fixture.Now += 500ms;
    fixture.heartbeat(B, fixture.HeldB);
  }
  fixture.Now += hold / 50 + 1s;
  fixture.heartbeat(B, fixture.HeldB);
  fixture.commit();
  CHECK(fixture.Table.find("stock")->stripesOf(A).empty());

  SECTION("and it gets none after it has returned") {
    for (int round = 0; round < 12; ++round) {
      fixture.HeldA = Fixture::hold(fixture.heartbeat(A, fixture.HeldA));
      fixture.HeldB = Fixture::hold(fixture.heartbeat(B, fixture.HeldB));
      fixture.commit();
      fixture.Now += 870ms;
    }
    CHECK_FALSE(fixture.HeldA.empty());
  }
}

TEST_CASE("A new leader first assumes that all owners hold their stripes") {
  Fixture fixture;
  fixture.assignAllStripes();
  GrantController next(fixture.Table, {}, fixture.Now);
  next.onHeartbeat({B, "stock", 3, false, fixture.HeldB, {}}, fixture.Now);
  CHECK(next.plan(fixture.Now + 3900ms).empty());
  fixture.Now += 4500ms;
  next.onHeartbeat({B, "stock", 3, false, fixture.HeldB, {}}, fixture.Now);
  CHECK(next.plan(fixture.Now).size() == 1);
}

TEST_CASE("A new target gets stripes from the others") {
  Fixture fixture;
  fixture.assignAllStripes();
  const TargetInstance C{"c", 1};
  std::vector<HeldRange> joined;
  std::uint32_t least = KeyCount;
  // In each round all targets send a heartbeat.
  for (int round = 0; round < 12; ++round) {
    joined = Fixture::hold(fixture.heartbeat(C, joined));
    fixture.HeldA = Fixture::hold(fixture.heartbeat(A, fixture.HeldA));
    fixture.HeldB = Fixture::hold(fixture.heartbeat(B, fixture.HeldB));
    fixture.commit();
    fixture.Now += 1s;
    least = std::min(least, Fixture::countKeys(joined) +
                                Fixture::countKeys(fixture.HeldA) +
                                Fixture::countKeys(fixture.HeldB));
  }
  CHECK(Fixture::countKeys(joined) >= KeyCount / 4);
  CHECK(Fixture::countKeys(joined) + Fixture::countKeys(fixture.HeldA) +
            Fixture::countKeys(fixture.HeldB) ==
        KeyCount);
  // Only a few keys are being transferred at any time.
  CHECK(least >= KeyCount * 85 / 100);
}
