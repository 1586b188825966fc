// Tests which heartbeats are accepted and which instances they end.
#include "fleet/TargetDirectory.h"

#include <catch2/catch.hpp>

using namespace magnoliamill::fleet;
using magnoliamill::keyspace::TargetInstance;

namespace {

Target makeTarget(TargetInstance instance, std::uint64_t sequence,
                  std::string address = "10.0.0.1:80") {
  return {std::move(instance), sequence, std::move(address), "stock", "dc-a", 3,
          TargetState::Ready};
}

} // namespace

TEST_CASE("Heartbeats are accepted by start time and sequence number") {
  TargetDirectory directory({});
  REQUIRE(directory.update(makeTarget({"a", 10}, 4)).IsAccepted);

  SECTION("a repeated or earlier heartbeat is refused") {
    CHECK_FALSE(directory.update(makeTarget({"a", 10}, 4)).IsAccepted);
    CHECK_FALSE(directory.update(makeTarget({"a", 10}, 3)).IsAccepted);
    CHECK(directory.update(makeTarget({"a", 10}, 5)).IsAccepted);
  }
  SECTION("a later instance starts a new sequence and ends the earlier one") {
    const auto result = directory.update(makeTarget({"a", 11}, 1));
    CHECK(result.IsAccepted);
    CHECK(result.Ended == std::vector<TargetInstance>{{"a", 10}});
    CHECK_FALSE(directory.update(makeTarget({"a", 10}, 9)).IsAccepted);
  }
  SECTION("another target at the address ends the earlier one") {
    const auto result = directory.update(makeTarget({"b", 12}, 1));
    CHECK(result.Ended == std::vector<TargetInstance>{{"a", 10}});
    SECTION("a delayed heartbeat of the ended target is refused") {
      CHECK_FALSE(directory.update(makeTarget({"a", 10}, 9)).IsAccepted);
      CHECK(directory.find("a") == nullptr);
    }
  }
  SECTION("a target at another address ends no other") {
    CHECK(directory.update(makeTarget({"b", 12}, 1, "10.0.0.2:80"))
              .Ended.empty());
    CHECK(directory.find("a") != nullptr);
  }
}
