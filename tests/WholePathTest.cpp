// Tests the request path end to end with real processes: callers, entry VMs,
// dispatchers and targets.
#include "cluster/LocalCluster.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace magnoliamill::tests;

TEST_CASE("One data centre serves a keyed service", "[system]") {
  LocalCluster cluster(
      "whole-path", 21000,
      {{"a1", "dc-a", true}, {"a2", "dc-a", false}, {"a3", "dc-a", false}});
  cluster.bootstrap();
  cluster.createTeam();
  auto accepted = cluster.set(
      "a2", "/services/barnstock",
      R"({"keyed":true,"slots":8,"data_centres":["dc-a"]})", 0, "service");
  REQUIRE(accepted.Status == 200);
  cluster.startTarget({"barn-1", "barnstock", "dc-a", {}});
  cluster.startTarget({"barn-2", "barnstock", "dc-a", {}});
  for (const char *vm : {"a1", "a2", "a3"})
    waitUntil("requests are answered", [&] {
      return cluster
                 .request(vm, "GET", "barnstock", "/level",
                          {{"Mill-Key", "barn-1"}})
                 .Status == 200;
    });

  SECTION("a release through any entry VM runs once, at the key's owner") {
    for (const char *vm : {"a1", "a2", "a3"}) {
      auto answer = cluster.request(vm, "POST", "barnstock", "/release",
                                    {{"Mill-Key", "barn-1"}});
      REQUIRE(answer.Status == 200);
      REQUIRE(answer.outcome() == "answered");
    }
    auto runs = cluster.runs();
    std::erase_if(runs,
                  [](const RunRecord &run) { return run.Path != "/release"; });
    REQUIRE(runs.size() == 3);
    REQUIRE(std::ranges::all_of(runs, [&](const RunRecord &run) {
      return run.Instance == runs.front().Instance;
    }));
  }
  SECTION("invalid requests get a result code and do not run") {
    auto before = cluster.runs().size();
    auto unknown = cluster.request("a1", "GET", "nothing", "/x", {});
    REQUIRE(unknown.Status == 404);
    REQUIRE(unknown.Headers["mill-code"] == "2004");
    auto keyless = cluster.request("a1", "GET", "barnstock", "/level", {});
    REQUIRE(keyless.Status == 400);
    REQUIRE(keyless.Headers["mill-code"] == "2005");
    REQUIRE(cluster.runs().size() == before);
  }
}
