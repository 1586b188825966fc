// Tests when targets count as cut off from this VM.
#include "entry/TargetReach.h"

#include <catch2/catch.hpp>

using namespace magnoliamill;
using namespace magnoliamill::entry;
using namespace std::chrono_literals;

namespace {

const keyspace::TargetInstance First{"t-1", 1};
const keyspace::TargetInstance Second{"t-2", 1};
const keyspace::TargetInstance Third{"t-3", 1};
const TargetGroup Stock{"dc-a", "stock"};
const TargetGroup Vault{"dc-a", "vault"};
const TargetGroup Distant{"dc-b", "stock"};
const base::MonoTime Start{1h};

base::MonoTime at(int ms) { return Start + std::chrono::milliseconds(ms); }

} // namespace

TEST_CASE("An entry tells a failed path from a target that has ended") {
  TargetReach reach;
  CHECK(reach.isReachable(First, Stock, at(0)));

  SECTION("one target that fails says nothing of the others") {
    CHECK(reach.onFailed(First, Stock, at(0), at(250)).empty());
    CHECK_FALSE(reach.isReachable(First, Stock, at(300)));
    CHECK(reach.isReachable(Second, Stock, at(300)));
    CHECK_FALSE(reach.isCutOff(Stock, at(300)));

    SECTION("and is tried again after a second") {
      CHECK(reach.isReachable(First, Stock, at(1251)));
    }
    SECTION("and is reachable once it has answered") {
      CHECK(reach.onReached(First, Stock, at(300), at(310)).empty());
      CHECK(reach.isReachable(First, Stock, at(310)));
    }
    SECTION("and is not refuted by an earlier attempt") {
      CHECK(reach.onReached(First, Stock, at(-10), at(310)).empty());
      CHECK_FALSE(reach.isReachable(First, Stock, at(310)));
    }
  }

  SECTION("two targets that fail, and none reached since, cut off their data "
          "centre") {
    CHECK(reach.onFailed(First, Stock, at(0), at(250)).empty());
    CHECK(reach.onFailed(Second, Stock, at(20), at(270)) ==
          std::vector{Stock, TargetGroup{"dc-a", ""}});
    CHECK_FALSE(reach.isReachable(Third, Stock, at(300)));
    CHECK_FALSE(reach.isReachable(Third, Vault, at(300)));
    CHECK(reach.isReachable(Third, Distant, at(300)));

    SECTION("an answer to a request sent before does not change that") {
      CHECK(reach.onReached(Third, Stock, at(-5), at(300)).empty());
      CHECK(reach.isCutOff(Stock, at(300)));
    }
    SECTION("a further failure keeps it cut off for a second") {
      CHECK(reach.onFailed(First, Stock, at(500), at(750)).empty());
      CHECK(reach.isCutOff(Stock, at(1750)));
      CHECK_FALSE(reach.isCutOff(Stock, at(1751)));
    }
    SECTION("a later attempt that succeeds ends it") {
      CHECK(reach.onReached(Third, Stock, at(300), at(310)).size() == 2);
      CHECK(reach.listCutOff(at(310)).empty());
      CHECK(reach.isReachable(Third, Stock, at(310)));
      // These have failed themselves, a moment ago.
      CHECK_FALSE(reach.isReachable(First, Stock, at(310)));
      CHECK(reach.isReachable(First, Stock, at(1251)));
    }
    SECTION("an answer from another service leaves the service cut off") {
      CHECK(reach.onReached(Third, Vault, at(300), at(310)) ==
            std::vector{TargetGroup{"dc-a", ""}});
      CHECK(reach.listCutOff(at(310)) == std::vector{Stock});
      CHECK_FALSE(reach.isReachable(First, Stock, at(310)));
      CHECK(reach.isReachable(Third, Vault, at(310)));
    }
    SECTION("targets that are gone are not counted") {
      reach.forget(First, Stock);
      CHECK_FALSE(reach.isCutOff(Stock, at(300)));
    }
  }

  SECTION("three targets anywhere that fail cut off all") {
    CHECK(reach.onFailed(First, Stock, at(0), at(250)).empty());
    CHECK(reach.onFailed(Second, Vault, at(10), at(260)).size() == 1);
    CHECK(reach.onFailed(Third, Distant, at(20), at(270)) ==
          std::vector{TargetGroup{}});
    CHECK(reach.isCutOff({"dc-c", "stock"}, at(300)));
    CHECK(reach.listCutOff(at(300)) == std::vector{TargetGroup{}});

    SECTION("until one is reached") {
      CHECK(reach.onReached(Third, Distant, at(300), at(301)) ==
            std::vector{TargetGroup{}});
      CHECK_FALSE(reach.isCutOff({"dc-c", "stock"}, at(301)));
      CHECK(reach.isCutOff(Stock, at(301)));
    }
  }
}
