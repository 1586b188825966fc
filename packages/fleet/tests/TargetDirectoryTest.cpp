// Tests which heartbeats are accepted and which instances they replace.
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

bool anyAlive(const TargetInstance &) { return true; }
bool noneAlive(const TargetInstance &) { return false; }

} // namespace

TEST_CASE("Heartbeats are accepted by start time and sequence number") {
  TargetDirectory directory({});
  const auto verdict = [&](const Target &target, const auto &alive) {
    return directory.update(target, alive).Verdict;
  };
  REQUIRE(verdict(makeTarget({"a", 10}, 4), anyAlive) ==
          HeartbeatVerdict::Accepted);

  SECTION("a repeated or earlier heartbeat is refused") {
    CHECK(verdict(makeTarget({"a", 10}, 4), anyAlive) ==
          HeartbeatVerdict::Late);
    CHECK(verdict(makeTarget({"a", 10}, 3), anyAlive) ==
          HeartbeatVerdict::Late);
    CHECK(verdict(makeTarget({"a", 10}, 5), anyAlive) ==
          HeartbeatVerdict::Accepted);
  }
  SECTION("one that names another address or service is refused") {
    auto target = makeTarget({"a", 10}, 5);
    SECTION("address") { target.Address = "10.0.0.2:80"; }
    SECTION("service") { target.Service = "other"; }
    CHECK(verdict(target, noneAlive) == HeartbeatVerdict::Contradicting);
    CHECK(directory.find("a")->Service == "stock");
  }
  SECTION("a later instance starts a new sequence and replaces a silent one") {
    const auto result = directory.update(makeTarget({"a", 11}, 1), noneAlive);
    CHECK(result.Verdict == HeartbeatVerdict::Accepted);
    CHECK(result.Replaced == std::vector<TargetInstance>{{"a", 10}});
    CHECK(verdict(makeTarget({"a", 10}, 9), anyAlive) ==
          HeartbeatVerdict::Late);
  }
  SECTION("another target at the address replaces a silent one") {
    const auto result = directory.update(makeTarget({"b", 12}, 1), noneAlive);
    CHECK(result.Replaced == std::vector<TargetInstance>{{"a", 10}});
    SECTION("a delayed heartbeat of the replaced target is refused") {
      CHECK(verdict(makeTarget({"a", 10}, 9), anyAlive) ==
            HeartbeatVerdict::Late);
      CHECK(directory.find("a") == nullptr);
    }
    SECTION("a target that returns replaces a silent one in turn") {
      CHECK(verdict(makeTarget({"a", 10}, 9), noneAlive) ==
            HeartbeatVerdict::Accepted);
      CHECK(directory.find("b") == nullptr);
    }
  }
  SECTION("an instance that is alive is not replaced") {
    CHECK(verdict(makeTarget({"a", 11}, 1), anyAlive) ==
          HeartbeatVerdict::Occupied);
    CHECK(verdict(makeTarget({"b", 12}, 1), anyAlive) ==
          HeartbeatVerdict::Occupied);
    CHECK(directory.find("a")->Instance.StartedAtMs == 10);
    CHECK(directory.find("b") == nullptr);
  }
  SECTION("a target at another address replaces no other") {
    CHECK(directory.update(makeTarget({"b", 12}, 1, "10.0.0.2:80"), anyAlive)
              .Replaced.empty());
    CHECK(directory.find("a") != nullptr);
  }
}
