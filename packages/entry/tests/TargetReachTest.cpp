// Tests when a data centre counts as cut off from this VM.
#include "entry/TargetReach.h"

#include <catch2/catch.hpp>

using namespace magnoliamill;
using namespace magnoliamill::entry;
using namespace std::chrono_literals;

namespace {

const keyspace::TargetInstance First{"t-1", 1};
const keyspace::TargetInstance Second{"t-2", 1};
const keyspace::TargetInstance Third{"t-3", 1};
const base::MonoTime Start{1h};

} // namespace

TEST_CASE("An entry tells a failed path from a target that has ended") {
  TargetReach reach;
  const auto at = [](int ms) { return Start + std::chrono::milliseconds(ms); };
  CHECK(reach.isReachable(First, "dc-a", at(0)));

  SECTION("one target that fails says nothing of the others") {
    CHECK_FALSE(reach.onFailed(First, "dc-a", at(0), at(250)));
    CHECK_FALSE(reach.isReachable(First, "dc-a", at(300)));
    CHECK(reach.isReachable(Second, "dc-a", at(300)));
    CHECK_FALSE(reach.isCutOff("dc-a", at(300)));

    SECTION("and is tried again after a second") {
      CHECK(reach.isReachable(First, "dc-a", at(1251)));
    }
    SECTION("and is reachable once it has answered") {
      CHECK_FALSE(reach.onReached(First, "dc-a", at(300), at(310)));
      CHECK(reach.isReachable(First, "dc-a", at(310)));
    }
    SECTION("and is not refuted by an earlier attempt") {
      CHECK_FALSE(reach.onReached(First, "dc-a", at(-10), at(310)));
      CHECK_FALSE(reach.isReachable(First, "dc-a", at(310)));
    }
  }

  SECTION("two targets that fail, and none reached since, cut it off") {
    CHECK_FALSE(reach.onFailed(First, "dc-a", at(0), at(250)));
    CHECK(reach.onFailed(Second, "dc-a", at(20), at(270)));
    CHECK(reach.isCutOff("dc-a", at(300)));
    CHECK_FALSE(reach.isReachable(Third, "dc-a", at(300)));
    CHECK(reach.isReachable(Third, "dc-b", at(300)));

    SECTION("an answer to a request sent before does not change that") {
      CHECK_FALSE(reach.onReached(Third, "dc-a", at(-5), at(300)));
      CHECK(reach.isCutOff("dc-a", at(300)));
    }
    SECTION("probes go to the target that failed longest ago") {
      REQUIRE(reach.listProbes(at(500)).size() == 1);
      CHECK(reach.listProbes(at(500)).front().Target == First);
      reach.onFailed(First, "dc-a", at(500), at(750));
      CHECK(reach.listProbes(at(800)).front().Target == Second);

      SECTION("and keep it cut off while they fail") {
        CHECK(reach.isCutOff("dc-a", at(1700)));
        CHECK_FALSE(reach.isCutOff("dc-a", at(1751)));
      }
    }
    SECTION("a later attempt that succeeds ends it") {
      CHECK(reach.onReached(Third, "dc-a", at(300), at(310)));
      CHECK_FALSE(reach.isCutOff("dc-a", at(310)));
      CHECK(reach.isReachable(Third, "dc-a", at(310)));
      // These have failed themselves, a moment ago.
      CHECK_FALSE(reach.isReachable(First, "dc-a", at(310)));
      CHECK(reach.isReachable(First, "dc-a", at(1251)));
    }
    SECTION("targets that are gone are not counted") {
      reach.forget(First, "dc-a");
      CHECK_FALSE(reach.isCutOff("dc-a", at(300)));
    }
  }
}
