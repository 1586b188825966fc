// Tests the rules by which the fake target accepts grants and requests.
#include "fakes/target/GrantTable.h"

#include <catch2/catch.hpp>

using namespace magnoliamill;
using fakes::GrantTable;

namespace {

std::string makeGrant(const char *dispatch, int clock, const char *slots,
                      const char *extra = "") {
  return std::string(R"({"dispatcher":"vm1","ttl_ms":800,"dispatch_token":")") +
         dispatch + R"(","as_of":)" + std::to_string(clock) + extra +
         R"(,"slots":)" + slots + "}";
}

bool isAccepted(GrantTable &table, const std::string &grant, int now) {
  auto reply = table.apply(grant, now);
  REQUIRE(reply);
  return reply.value().find("\"accepted\":true") != std::string::npos;
}

constexpr const char *SlotThree = R"([{"slot":3,"token":"1.5"}])";

} // namespace

TEST_CASE("A slot may run only under a valid grant") {
  GrantTable table;
  const base::Token token{1, 5};
  CHECK(table.findRefusalReason(3, token, 1000) == "slot not granted");
  REQUIRE(isAccepted(table, makeGrant("1.5", 1000, SlotThree), 1100));
  CHECK_FALSE(table.findRefusalReason(3, token, 1100));
  CHECK(table.findRefusalReason(4, token, 1100) == "slot not granted");
  CHECK(table.findRefusalReason(3, base::Token{1, 4}, 1100) == "token is old");
  CHECK(table.findRefusalReason(3, std::nullopt, 1100) == "no token");

  SECTION("the grant expires relative to its clock value, not its arrival") {
    CHECK_FALSE(table.findRefusalReason(3, token, 1799));
    CHECK(table.findRefusalReason(3, token, 1800) == "grant expired");
    CHECK(table.countGranted(1800) == 0);
  }
  SECTION("a delayed older grant does not restore a removed slot") {
    REQUIRE(isAccepted(table, makeGrant("1.5", 1200, "[]"), 1250));
    CHECK_FALSE(isAccepted(table, makeGrant("1.5", 1000, SlotThree), 1260));
    CHECK(table.findRefusalReason(3, token, 1260) == "slot not granted");
  }
  SECTION("an older dispatcher is refused with the highest token") {
    REQUIRE(isAccepted(table, makeGrant("1.9", 1100, "[]"), 1150));
    const auto reply = table.apply(makeGrant("1.5", 1160, SlotThree), 1170);
    CHECK(reply.value().find("\"highest\":\"1.9\"") != std::string::npos);
    CHECK(table.countStaleGrants() == 1);
  }
  SECTION("a clock value from the future is refused") {
    CHECK_FALSE(isAccepted(table, makeGrant("1.5", 9000, SlotThree), 1200));
  }
  SECTION("a sequence orders grants of one clock value") {
    REQUIRE(isAccepted(table, makeGrant("1.5", 1100, "[]", R"(,"sequence":8)"),
                       1150));
    CHECK_FALSE(isAccepted(
        table, makeGrant("1.5", 1100, SlotThree, R"(,"sequence":7)"), 1160));
  }
}

TEST_CASE("A malformed grant is an error and changes nothing") {
  GrantTable table;
  REQUIRE(isAccepted(table, makeGrant("1.5", 1000, SlotThree), 1000));
  for (const char *body :
       {"", "[]", "{}", R"({"dispatcher":1})", R"({"dispatcher":"a"})"})
    CHECK_FALSE(table.apply(body, 1100));
  CHECK_FALSE(table.findRefusalReason(3, base::Token{1, 5}, 1100));
}
