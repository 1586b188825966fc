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

bool all(const TargetInstance &) { return true; }
bool none(const TargetInstance &) { return false; }
const TargetDirectory::Evidence AnyAlive{all, none};
const TargetDirectory::Evidence NoneAlive{none, none};

} // namespace

TEST_CASE("Heartbeats are accepted by start time and sequence number") {
  TargetDirectory directory({});
  const auto verdict = [&](const Target &target, const auto &alive) {
    return directory.update(target, alive).Verdict;
  };
  REQUIRE(verdict(makeTarget({"a", 10}, 4), AnyAlive) ==
          HeartbeatVerdict::Accepted);

  SECTION("a repeated or earlier heartbeat is refused") {
    CHECK(verdict(makeTarget({"a", 10}, 4), AnyAlive) ==
          HeartbeatVerdict::Late);
    CHECK(verdict(makeTarget({"a", 10}, 3), AnyAlive) ==
          HeartbeatVerdict::Late);
    CHECK(verdict(makeTarget({"a", 10}, 5), AnyAlive) ==
          HeartbeatVerdict::Accepted);
  }
  SECTION("one that names another address or service is refused") {
    auto target = makeTarget({"a", 10}, 5);
    SECTION("address") { target.Address = "10.0.0.2:80"; }
    SECTION("service") { target.Service = "other"; }
    CHECK(verdict(target, NoneAlive) == HeartbeatVerdict::Contradicting);
    CHECK(directory.find("a")->Service == "stock");
  }
  SECTION("a later instance starts a new sequence, also after a short pause") {
    const auto result = directory.update(makeTarget({"a", 11}, 1), AnyAlive);
    CHECK(result.Verdict == HeartbeatVerdict::Accepted);
    CHECK(result.Former == TargetInstance{"a", 10});
    CHECK_FALSE(result.Occupant);
    CHECK(verdict(makeTarget({"a", 10}, 9), AnyAlive) ==
          HeartbeatVerdict::Late);
  }
  SECTION("a later instance moves to an address that is not in use") {
    directory.update(makeTarget({"c", 1}, 1, "10.0.0.3:80"), AnyAlive);
    CHECK(verdict(makeTarget({"a", 11}, 1, "10.0.0.3:80"), AnyAlive) ==
          HeartbeatVerdict::Occupied);
    CHECK(verdict(makeTarget({"a", 11}, 1, "10.0.0.2:80"), AnyAlive) ==
          HeartbeatVerdict::Accepted);
    CHECK(directory.find("c") != nullptr);
  }
  SECTION("another target at the address displaces a silent one") {
    const auto result = directory.update(makeTarget({"b", 12}, 1), NoneAlive);
    CHECK(result.Occupant == TargetInstance{"a", 10});
    CHECK_FALSE(result.Former);
    SECTION("a delayed heartbeat of the displaced target is refused") {
      CHECK(verdict(makeTarget({"a", 10}, 9), AnyAlive) ==
            HeartbeatVerdict::Late);
      CHECK(directory.find("a") == nullptr);
    }
    SECTION("one that was silent for long is refused too") {
      CHECK(verdict(makeTarget({"a", 10}, 9), NoneAlive) ==
            HeartbeatVerdict::Late);
      CHECK(directory.find("b") != nullptr);
    }
  }
  SECTION("a target that is alive is not displaced") {
    CHECK(verdict(makeTarget({"b", 12}, 1), AnyAlive) ==
          HeartbeatVerdict::Occupied);
    CHECK(directory.find("a")->Instance.StartedAtMs == 10);
    CHECK(directory.find("b") == nullptr);
  }
  SECTION("a target at another address displaces no other") {
    CHECK_FALSE(
        directory.update(makeTarget({"b", 12}, 1, "10.0.0.2:80"), NoneAlive)
            .Occupant);
    CHECK(directory.find("a") != nullptr);
  }
}

// A delayed heartbeat of an earlier process took the place of a later one that
// was cut off.
TEST_CASE("An earlier process replaces a later one in some order of arrival") {
  const bool IsSameId = GENERATE(true, false);
  const auto earlier = makeTarget({"a", 1000}, 7);
  const auto later = makeTarget({IsSameId ? "a" : "b", 2000}, 1);
  const auto next = makeTarget(later.Instance, 2);
  const auto AnyTest = GENERATE(AnyAlive, NoneAlive);

  SECTION("the later one first") {
    TargetDirectory directory({});
    directory.update(later, AnyTest);
    CHECK(directory.update(earlier, AnyTest).Verdict == HeartbeatVerdict::Late);
    CHECK(directory.update(next, AnyTest).Verdict ==
          HeartbeatVerdict::Accepted);
  }
  SECTION("the earlier one first") {
    TargetDirectory directory({});
    directory.update(earlier, AnyTest);
    directory.update(later, NoneAlive);
    CHECK(directory.update(earlier, AnyTest).Verdict == HeartbeatVerdict::Late);
    CHECK(directory.update(next, AnyTest).Verdict ==
          HeartbeatVerdict::Accepted);
  }
  SECTION("both in the view that a new leader starts with") {
    TargetDirectory directory(
        {{earlier.Instance, earlier}, {later.Instance, later}});
    REQUIRE(directory.find(later.Instance.Id));
    CHECK(directory.find(later.Instance.Id)->Instance == later.Instance);
    CHECK(directory.update(makeTarget({"a", 1000}, 8), AnyTest).Verdict ==
          HeartbeatVerdict::Late);
    CHECK(directory.update(next, AnyTest).Verdict ==
          HeartbeatVerdict::Accepted);
  }
  SECTION("both in that view, the later one with the lower id") {
    const auto HighId = makeTarget({"z", 1000}, 7);
    TargetDirectory directory(
        {{later.Instance, later}, {HighId.Instance, HighId}});
    CHECK(directory.find("z") == nullptr);
    CHECK(directory.update(next, AnyTest).Verdict ==
          HeartbeatVerdict::Accepted);
  }
}

TEST_CASE("A holder that the directory lacks is shut out by the first caller "
          "with its address") {
  const TargetDirectory::Evidence evidence{
      all, [](const TargetInstance &it) { return it.Id == "a"; }};
  TargetDirectory directory({});
  REQUIRE(directory.update(makeTarget({"b", 2000}, 1), evidence).Verdict ==
          HeartbeatVerdict::Accepted);
  const auto result = directory.update(makeTarget({"a", 1000}, 7), evidence);
  CHECK(result.Verdict == HeartbeatVerdict::Accepted);
  CHECK(result.Occupant == TargetInstance{"b", 2000});
  CHECK(directory.update(makeTarget({"b", 2000}, 2), evidence).Verdict ==
        HeartbeatVerdict::Occupied);

  SECTION("but not a later instance of its own id") {
    directory.update(makeTarget({"a", 3000}, 1), evidence);
    CHECK(directory.update(makeTarget({"a", 1000}, 8), evidence).Verdict ==
          HeartbeatVerdict::Late);
  }
}
