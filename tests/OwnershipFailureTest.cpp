// Tests the guarantees on ownership and on the outcomes of requests under load,
// while VMs and targets are killed, frozen, stopped or set to leave.
#include "cluster/FaultFixture.h"

#include <algorithm>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <csignal>

using namespace magnoliamill::tests;

namespace {

constexpr std::int64_t MicrosPerSecond = 1'000'000;
// Stated limits: the time until a key is served again, and the time after which
// a leaving target gets no new work.
constexpr std::int64_t UnavailableLimitUs = 2 * MicrosPerSecond;
constexpr std::int64_t LeavingLimitUs = 3 * MicrosPerSecond;

void requireGuarantees(const HistoryReport &result) {
  // Prints the figures of each case, also when it passes.
  WARN(result.describe());
  CHECK(result.Violations.empty());
  CHECK(result.UnavailableUs <= UnavailableLimitUs);
}

} // namespace

TEST_CASE("A killed dispatcher's targets are served by another VM") {
  FaultFixture bench("kill-dispatcher", 22000);
  // The loss of the leader has its own test case.
  bench.kill(bench.findNonLeaderDispatcher());
  bench.awaitAnswers("after the kill");
  requireGuarantees(bench.stopAndCheck());
}

TEST_CASE("A killed leader of the data centre's group is replaced") {
  FaultFixture bench("kill-leader", 22020);
  bench.kill(bench.leader());
  bench.awaitAnswers("after the kill");
  requireGuarantees(bench.stopAndCheck());
}

TEST_CASE("A dispatcher resumed after its leases expired starts no request") {
  SECTION("at targets that check grants and tokens") {
    FaultFixture bench("freeze-dispatcher", 22040);
    bench.freeze(bench.findNonLeaderDispatcher());
    bench.awaitAnswers("after the resume");
    requireGuarantees(bench.stopAndCheck());
  }
  SECTION("at targets that check neither") {
    FaultFixture bench("freeze-unchecked", 22200, {"--checks_tokens=false"});
    bench.freeze(bench.findNonLeaderDispatcher());
    bench.awaitAnswers("after the resume");
    requireGuarantees(bench.stopAndCheck());
  }
}

TEST_CASE("A resumed leader confirms nothing that its successor has changed") {
  FaultFixture bench("freeze-leader", 22060);
  bench.freeze(bench.leader());
  bench.awaitAnswers("after the resume");
  requireGuarantees(bench.stopAndCheck());
}

TEST_CASE("A killed target's keys move to the others") {
  FaultFixture bench("kill-target", 22080);
  bench.kill("barn-2");
  bench.awaitAnswers("after the kill");
  requireGuarantees(bench.stopAndCheck());
}

TEST_CASE("A resumed target runs nothing for keys that have moved") {
  FaultFixture bench("freeze-target", 22100);
  bench.freeze("barn-2");
  bench.awaitAnswers("after the resume");
  requireGuarantees(bench.stopAndCheck());
}

TEST_CASE("Planned stops interrupt no request") {
  FaultFixture bench("planned-stop", 22120);
  SECTION("of a target") {
    bench.Cluster.target("barn-2").signal(SIGTERM);
    REQUIRE(bench.Cluster.target("barn-2").wait() == 0);
  }
  SECTION("of a VM") {
    auto stopped = bench.findNonLeaderDispatcher();
    bench.Load->excludeEntry(stopped);
    bench.Cluster.vm(stopped).signal(SIGTERM);
    REQUIRE(bench.Cluster.vm(stopped).wait() == 0);
  }
  SECTION("of the leader's VM") {
    auto stopped = bench.leader();
    bench.Load->excludeEntry(stopped);
    bench.Cluster.vm(stopped).signal(SIGTERM);
    REQUIRE(bench.Cluster.vm(stopped).wait() == 0);
  }
  bench.awaitAnswers("after the stop");
  auto result = bench.stopAndCheck();
  requireGuarantees(result);
  CHECK(result.NotRun + result.Unknown + result.NoResponse == 0);
}

TEST_CASE("A target that is set to leave gets no new work") {
  FaultFixture bench("leaving", 22140);
  auto set = bench.Cluster.set("a1", "/targets/barnstock/barn-2",
                               R"({"state":"leaving"})", 0, "leave");
  REQUIRE(set.Status == 200);
  std::int64_t since = readMonotonicUs();
  waitUntil("the limit for a leaving target has passed", [&] {
    return readMonotonicUs() > since + LeavingLimitUs + MicrosPerSecond;
  });
  bench.awaitAnswers("after the setting");
  auto runs = bench.Cluster.runs();
  auto result = bench.stopAndCheck();
  requireGuarantees(result);
  CHECK(result.NotRun + result.Unknown + result.NoResponse == 0);
  CHECK(std::ranges::count_if(runs, [&](const RunRecord &run) {
          return run.Name == "barn-2" && run.StartUs > since + LeavingLimitUs;
        }) == 0);
}

TEST_CASE("A second VM is lost right after the first has restarted") {
  FaultFixture bench("second-loss", 22160);
  bench.kill("a2");
  bench.awaitAnswers("after the first kill");
  bench.Cluster.startVm("a2");
  waitUntil("a2 is ready again", [&] { return bench.Cluster.isReady("a2"); });
  bench.kill("a3");
  bench.awaitAnswers("after the second kill");
  requireGuarantees(bench.stopAndCheck());
}

TEST_CASE("A repeat with the same idempotency key runs nothing again") {
  FaultFixture bench("repeat", 22180);
  const HttpHeaders headers{{"Idempotency-Key", "release-77"}};
  CallRecord call;
  call.Id = "once";
  call.Key = "barn-3";
  call.IsPost = true;
  auto first = recordCall(bench.Cluster, "a1", "barnstock", call, headers);
  REQUIRE(first.Outcome == CallOutcome::Answered);
  auto repeat = recordCall(bench.Cluster, "a3", "barnstock", call, headers);
  REQUIRE(repeat.Outcome == CallOutcome::Answered);
  CHECK(repeat.AnsweredRequest == first.AnsweredRequest);
  auto owner = bench.Cluster.api("a1", "/owners?service=barnstock&key=barn-3");
  auto lost =
      std::string(boost::json::parse(owner.Body).at("dispatcher").as_string());
  bench.kill(lost);
  bench.awaitAnswers("after the kill");
  for (const char *vm : {"a1", "a2", "a3"}) {
    if (vm == lost)
      continue;
    auto late = recordCall(bench.Cluster, vm, "barnstock", call, headers);
    CHECK(late.Outcome != CallOutcome::NotRun);
    if (late.Outcome == CallOutcome::Answered)
      CHECK(late.AnsweredRequest == first.AnsweredRequest);
  }
  requireGuarantees(bench.stopAndCheck());
}
