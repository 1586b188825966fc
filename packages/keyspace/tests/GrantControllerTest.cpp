// How the leader gives, takes back and moves stripes.
#include "keyspace/GrantController.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace magnoliamill;
using namespace magnoliamill::keyspace;
using namespace std::chrono_literals;

namespace {

const TargetInstance A{"a", 1};
const TargetInstance B{"b", 1};

/// A controller with its table; assignments are committed at once.
struct Bench {
  Bench() : Controller(Table, {}, Now) {}

  std::vector<GrantRow> beat(const TargetInstance &life,
                             std::vector<HeldRange> holds = {},
                             std::vector<ReleasedRange> released = {},
                             bool leaving = false) {
    return Controller.onHeartbeat(
        {life, "stock", 3, leaving, std::move(holds), std::move(released)},
        Now);
  }
  void commit() {
    for (const auto &assignment : Controller.plan(Now))
      Controller.onApplied(assignment.Service,
                           Table.apply(assignment, ++Index));
  }
  /// Two targets that hold all stripes.
  void settle() {
    beat(A);
    beat(B);
    Now += Controller.config().SettleTime;
    beat(A);
    beat(B);
    commit();
    HeldA = hold(beat(A));
    HeldB = hold(beat(B));
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

TEST_CASE("Stripes are assigned when all targets had time to report") {
  Bench bench;
  CHECK(bench.beat(A).empty());
  bench.commit();
  CHECK(bench.Table.find("stock") == nullptr);
  bench.Now += bench.Controller.config().SettleTime;
  CHECK(bench.beat(A).empty());
  bench.commit();
  REQUIRE(bench.Table.find("stock") != nullptr);

  SECTION("requests go to a target only after it was granted the stripe") {
    CHECK(bench.Controller.holderOf("stock", 0) == nullptr);
    bench.beat(A);
    CHECK(*bench.Controller.holderOf("stock", 0) == A);
    CHECK_FALSE(bench.Controller.takeChanges().empty());
  }
}

TEST_CASE("An answer to a heartbeat stays within its bytes") {
  Bench bench;
  bench.settle();
  CHECK(bench.HeldA.size() * 26 <= bench.Controller.config().MaxRowBytes);
}

TEST_CASE("A leaving target's stripes go to others when it has released them") {
  Bench bench;
  bench.settle();
  CHECK(bench.beat(A, bench.HeldA, {}, true).empty());
  bench.commit();
  // It still works on them.
  CHECK_FALSE(bench.Table.find("stock")->stripesOf(A).empty());
  CHECK(bench.Controller.holderOf("stock", 0) !=
        bench.Table.find("stock")->ownerOf(0));

  std::vector<ReleasedRange> released;
  for (const auto &held : bench.HeldA)
    released.push_back({held.Keys, "warm"});
  bench.beat(A, {}, released, true);
  bench.commit();
  CHECK(bench.Table.find("stock")->stripesOf(A).empty());
  const auto rows = bench.beat(B, bench.HeldB);
  CHECK(std::ranges::count(rows, "warm", &GrantRow::Handover) > 0);
  for (const auto &row : rows)
    if (row.Handover == "warm")
      CHECK(row.Token > bench.HeldA.front().Token);
}

TEST_CASE("A silent target's stripes are free when its hold has ended") {
  Bench bench;
  bench.settle();
  const auto hold = bench.Controller.config().HoldTime;
  const auto advance = [&](base::MonoTime time) {
    while (bench.Now < time) {
      bench.Now += 500ms;
      bench.beat(B, bench.HeldB);
      bench.commit();
    }
  };
  const auto answered = bench.Now;
  advance(answered + hold);
  CHECK_FALSE(bench.Table.find("stock")->stripesOf(A).empty());
  advance(answered + hold + hold / 50 + 1s);
  CHECK(bench.Table.find("stock")->stripesOf(A).empty());
}

TEST_CASE("A process that is proved to be gone needs no wait") {
  Bench bench;
  bench.settle();
  bench.Controller.onTerminated(A);
  bench.commit();
  CHECK(bench.Table.find("stock")->stripesOf(A).empty());
}

TEST_CASE("A new leader takes all owners for holders at first") {
  Bench bench;
  bench.settle();
  GrantController next(bench.Table, {}, bench.Now);
  next.onHeartbeat({B, "stock", 3, false, bench.HeldB, {}}, bench.Now);
  CHECK(next.plan(bench.Now + 3900ms).empty());
  bench.Now += 4500ms;
  next.onHeartbeat({B, "stock", 3, false, bench.HeldB, {}}, bench.Now);
  CHECK(next.plan(bench.Now).size() == 1);
}

TEST_CASE("A target that joins gets stripes from the others") {
  Bench bench;
  bench.settle();
  const TargetInstance C{"c", 1};
  std::vector<HeldRange> joined;
  std::uint32_t least = KeyCount;
  // Each round is a heartbeat of each.
  for (int round = 0; round < 12; ++round) {
    joined = Bench::hold(bench.beat(C, joined));
    bench.HeldA = Bench::hold(bench.beat(A, bench.HeldA));
    bench.HeldB = Bench::hold(bench.beat(B, bench.HeldB));
    bench.commit();
    bench.Now += 1s;
    least = std::min(least, Bench::countKeys(joined) +
                                Bench::countKeys(bench.HeldA) +
                                Bench::countKeys(bench.HeldB));
  }
  CHECK(Bench::countKeys(joined) >= KeyCount / 4);
  CHECK(Bench::countKeys(joined) + Bench::countKeys(bench.HeldA) +
            Bench::countKeys(bench.HeldB) ==
        KeyCount);
  // Few keys are on their way at a time.
  CHECK(least >= KeyCount * 85 / 100);
}
