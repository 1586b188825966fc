// Tests the request path end to end with real processes: callers, entry VMs,
// dispatchers and targets.
#include "cluster/LocalCluster.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>

using namespace magnoliamill::tests;
using namespace std::chrono_literals;

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

TEST_CASE("A request that came during a planned stop is cut off at its end",
          "[system]") {
  constexpr std::uint16_t TargetPort = 21079;
  LocalCluster cluster("late-in-stop", 21060,
                       {{"a1", "dc-a", true}, {"a2", "dc-a", false}});
  cluster.bootstrap();
  cluster.createTeam();
  REQUIRE(cluster
              .set("a1", "/services/barnstock",
                   R"({"keyed":true,"slots":8,"data_centres":["dc-a"]})", 0,
                   "service")
              .Status == 200);
  cluster.startTarget({"barn-1",
                       "barnstock",
                       "dc-a",
                       {"--port=" + std::to_string(TargetPort)}});
  const auto send = [&](const std::string &path, const std::string &limit) {
    return cluster.request(
        "a2", "POST", "barnstock", path,
        {{"Mill-Key", "barn-1"}, {"Mill-Deadline-Ms", limit}}, 40s);
  };
  waitUntil("requests are answered",
            [&] { return send("/reserve", "2000").Status == 200; });
  // Longer than a stop may take.
  REQUIRE(callHttp(TargetPort, "POST", "/.mill/control", {},
                   R"({"service_ms":25000})", 2s)
              .Status == 200);
  cluster.vm("a2").signal(SIGTERM);
  waitUntil("a2 is stopping", [&] { return !cluster.isReady("a2"); });

  const auto refused = send("/late", "40000");
  CHECK(refused.Status == 503);
  CHECK(refused.outcome() == "not-run");
  CHECK(std::ranges::none_of(cluster.runs(), [](const RunRecord &run) {
    return run.Path == "/late";
  }));
  CHECK(cluster.vm("a2").wait() == 0);
}
