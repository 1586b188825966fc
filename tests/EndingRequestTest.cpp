// Guards against a request that ends each target which runs it being dispatched
// to one target after the other.
#include "cluster/LocalCluster.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <thread>

using namespace magnoliamill::tests;
using namespace std::chrono_literals;

TEST_CASE("A request that ends the targets which run it is not dispatched on "
          "and on",
          "[system]") {
  constexpr std::size_t TargetCount = 9;
  // Three, and three retries.
  constexpr std::ptrdiff_t MostEnded = 6;
  constexpr auto Repeated = 20s;
  const std::vector<std::string> vms{"a1", "a2", "a3"};
  const HttpHeaders key{{"Mill-Key", "barn-1"}};
  LocalCluster cluster(
      "ending-request", 21040,
      {{"a1", "dc-a", true}, {"a2", "dc-a", false}, {"a3", "dc-a", false}});
  cluster.bootstrap();
  cluster.createTeam();
  REQUIRE(cluster
              .set("a1", "/services/barnstock",
                   R"({"keyed":true,"slots":16,"data_centres":["dc-a"]})", 0,
                   "service")
              .Status == 200);
  std::vector<std::string> targets;
  for (std::size_t n = 0; n < TargetCount; ++n)
    targets.push_back("barn-" + std::to_string(n));
  for (const auto &target : targets)
    cluster.startTarget(
        {target, "barnstock", "dc-a", {"--ending_path=/ending"}});
  const auto serves = [&](const std::string &vm) {
    return cluster.request(vm, "GET", "barnstock", "/level", key).Status == 200;
  };
  for (const auto &vm : vms)
    waitUntil("requests are answered", [&] { return serves(vm); });
  const auto ended = [&] {
    return std::ranges::count_if(targets, [&](const auto &target) {
      return !cluster.target(target).isRunning();
    });
  };

  const auto start = std::chrono::steady_clock::now();
  for (std::size_t n = 0; std::chrono::steady_clock::now() - start < Repeated &&
                          ended() <= MostEnded;
       ++n) {
    cluster.request(vms[n % vms.size()], "GET", "barnstock", "/ending", key);
    std::this_thread::sleep_for(20ms);
  }
  CHECK(ended() <= MostEnded);
  for (const auto &vm : vms) {
    waitUntil("other requests are answered", [&] { return serves(vm); });
    auto refused = cluster.request(vm, "GET", "barnstock", "/ending", key);
    CHECK(refused.Status == 503);
    CHECK(refused.outcome() == "not-run");
  }
}
