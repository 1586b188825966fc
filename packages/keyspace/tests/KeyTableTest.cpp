// Tests the owners and fencing tokens of stripes.
#include "keyspace/KeyTable.h"

#include <catch2/catch.hpp>

using namespace magnoliamill::keyspace;

TEST_CASE("The last grant of an owner is kept while it owns stripes") {
  KeyTable table;
  const TargetInstance a{"a", 1};
  const TargetInstance b{"b", 1};
  table.apply({"stock", 4, {a}, {{0, 0, 0, ""}}}, 7);
  const ServiceKeys &keys = *table.find("stock");
  CHECK(keys.lastGrantOf(a) == nullptr);
  table.apply(GrantRecord{"stock", a, {"h:80", 5}});
  table.apply(GrantRecord{"stock", a, {"h:80", 3}});
  CHECK(*keys.lastGrantOf(a) == SentHeartbeat{"h:80", 5});

  SECTION("a process at another address has numbers of its own") {
    table.apply(GrantRecord{"stock", a, {"g:80", 2}});
    CHECK(*keys.lastGrantOf(a) == SentHeartbeat{"g:80", 2});
  }
  SECTION("nothing is kept of targets without stripes") {
    table.apply(GrantRecord{"stock", b, {"h:81", 5}});
    CHECK(keys.lastGrantOf(b) == nullptr);
    table.apply({"stock", 4, {b}, {{0, 0, 7, ""}}}, 9);
    CHECK(keys.lastGrantOf(a) == nullptr);
    table.apply({"stock", 4, {a}, {{0, 0, 9, ""}}}, 10);
    CHECK(keys.lastGrantOf(a) == nullptr);
  }
}

TEST_CASE("A stripe is owned according to its last assignment") {
  KeyTable table;
  const TargetInstance a{"a", 1};
  const TargetInstance b{"b", 1};
  table.apply({"stock", 4, {a, b}, {{0, 0, 0, ""}, {1, 1, 0, ""}}}, 7);
  const ServiceKeys &keys = *table.find("stock");
  CHECK(*keys.ownerOf(0) == a);
  CHECK(*keys.ownerOf(1) == b);
  CHECK(keys.ownerOf(2) == nullptr);
  CHECK(keys.tokenOf(0) == 7);

  SECTION("a move increases the token") {
    auto moved = table.apply({"stock", 4, {b}, {{0, 0, 7, "h"}}}, 9);
    CHECK(moved == std::vector<std::uint32_t>{0});
    CHECK(*keys.ownerOf(0) == b);
    CHECK(keys.tokenOf(0) == 9);
    CHECK(keys.handoverOf(0) == "h");
    CHECK(keys.stripesOf(a).empty());
    CHECK(keys.stripesOf(b).size() == 2);
  }
  SECTION("a move planned with an older token is ignored") {
    table.apply({"stock", 4, {b}, {{0, 0, 7, ""}}}, 9);
    CHECK(table.apply({"stock", 4, {a}, {{0, 0, 7, ""}}}, 10).empty());
    CHECK(*keys.ownerOf(0) == b);
  }
  SECTION("a stripe may be reassigned to the same owner") {
    table.apply({"stock", 4, {a}, {{0, 0, 7, ""}}}, 9);
    CHECK(*keys.ownerOf(0) == a);
    CHECK(keys.tokenOf(0) == 9);
    CHECK(keys.stripesOf(a).size() == 1);
  }
  SECTION("moves with numbers out of range are ignored") {
    CHECK(table.apply({"stock", 4, {a}, {{9, 0, 0, ""}}}, 9).empty());
    CHECK(table.apply({"stock", 4, {a}, {{2, 3, 0, ""}}}, 9).empty());
    CHECK(table.apply({"other", 3, {a}, {{0, 0, 0, ""}}}, 9).empty());
  }
}
