// Tests the owners and fencing tokens of stripes.
#include "keyspace/KeyTable.h"

#include <catch2/catch.hpp>

using namespace magnoliamill::keyspace;

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
