// The promises on ownership and on the fate of requests, under load, while VMs
// and targets are killed, frozen, stopped and told to leave.
#include "cluster/HistoryJudge.h"
#include "cluster/LoadRecorder.h"
#include "cluster/LocalCluster.h"

#include <algorithm>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <fmt/format.h>
#include <thread>

using namespace magnoliamill::tests;

namespace {

constexpr std::int64_t UsPerSecond = 1'000'000;
// Stated targets: a key is served again, a leaving target gets no new work.
constexpr std::int64_t UnavailableLimitUs = 2 * UsPerSecond;
constexpr std::int64_t LeavingLimitUs = 3 * UsPerSecond;
// Longer than every lease and grant.
constexpr auto FreezeTime = std::chrono::seconds(3);
// Answers that each key has before and after a fault.
constexpr std::size_t SteadyAnswers = 15;

/// One data centre, three targets and load on eight keys.
class FaultBench {
public:
  FaultBench(const std::string &name, std::uint16_t port)
      : Cluster(name, port,
                {{"a1", "dc-a", true},
                 {"a2", "dc-a", false},
                 {"a3", "dc-a", false}}) {
    Cluster.bootstrap();
    Cluster.createTeam();
    auto set = Cluster.set(
        "a1", "/services/barnstock",
        R"({"keyed":true,"slots":16,"data_centres":["dc-a"]})", 0, "service");
    REQUIRE(set.Status == 200);
    for (const char *target : {"barn-1", "barn-2", "barn-3"})
      Cluster.startTarget({target, "barnstock", "dc-a", {}});
    waitUntil("each target owns slots and has a dispatcher", [&] {
      auto all = targets("a1");
      return all.size() == 3 && std::ranges::all_of(all, [](const auto &it) {
               return !it.at("dispatcher").as_string().empty() &&
                      it.at("owned_slots").template to_number<int>() > 0;
             });
    });
    LoadPlan load{"barnstock", {"a1", "a2", "a3"}, {}};
    for (int i = 0; i < 8; ++i)
      load.Keys.push_back(fmt::format("barn-{}", i));
    Load = std::make_unique<LoadRecorder>(Cluster, load);
    awaitAnswers("before the fault");
  }

  boost::json::array targets(const std::string &vm) {
    boost::system::error_code ec;
    auto body = boost::json::parse(
        Cluster.api(vm, "/targets?service=barnstock").Body, ec);
    if (ec || !body.is_object() || !body.as_object().contains("targets"))
      return {};
    return body.at("targets").as_array();
  }
  /// The VM that dispatches to \p target, as \p vm sees it.
  std::string dispatcherOf(const std::string &target, const std::string &vm) {
    for (const auto &it : targets(vm))
      if (it.at("name").as_string() == target)
        return std::string(it.at("dispatcher").as_string());
    return {};
  }
  std::string leader() { return Cluster.leaderOf("data_centre_group", "a2"); }

  /// The steady load goes on for a while from now.
  void awaitAnswers(const std::string &when) {
    std::int64_t since = readMonotonicUs();
    if (FromUs == 0)
      FromUs = since;
    waitUntil("answers " + when,
              [&] { return Load->hasAnswers(since, SteadyAnswers); });
  }
  void kill(const std::string &process) {
    Load->avoid(process);
    Cluster.vm(process).signal(SIGKILL);
    Cluster.vm(process).wait();
  }
  void freeze(const std::string &process) {
    Load->avoid(process);
    Cluster.vm(process).signal(SIGSTOP);
    std::this_thread::sleep_for(FreezeTime);
    Cluster.vm(process).signal(SIGCONT);
  }
  /// Ends the load and judges it; call once.
  Verdict judge() {
    std::int64_t end = readMonotonicUs();
    History history{Load->stop(), Cluster.runs(), Stops};
    auto verdict = judgeHistory(history, FromUs, end);
    WARN(verdict.describe());
    return verdict;
  }

  LocalCluster Cluster;
  std::unique_ptr<LoadRecorder> Load;
  StopTimes Stops;
  std::int64_t FromUs = 0;
};

void requireKept(const Verdict &verdict) {
  CHECK(verdict.Breaches.empty());
  CHECK(verdict.UnavailableUs <= UnavailableLimitUs);
}

} // namespace

TEST_CASE("A killed dispatcher's targets are served by another VM") {
  FaultBench bench("kill-dispatcher", 22000);
  auto lost = bench.dispatcherOf("barn-1", "a1");
  // The leader's loss is a case of its own.
  for (const char *target : {"barn-2", "barn-3"})
    if (lost == bench.leader())
      lost = bench.dispatcherOf(target, "a1");
  bench.kill(lost);
  bench.awaitAnswers("after the kill");
  requireKept(bench.judge());
}

TEST_CASE("A killed leader of the data centre's group is followed by another") {
  FaultBench bench("kill-leader", 22020);
  bench.kill(bench.leader());
  bench.awaitAnswers("after the kill");
  requireKept(bench.judge());
}

TEST_CASE("A dispatcher that thaws after its leases starts nothing") {
  FaultBench bench("freeze-dispatcher", 22040);
  auto frozen = bench.dispatcherOf("barn-1", "a1");
  for (const char *target : {"barn-2", "barn-3"})
    if (frozen == bench.leader())
      frozen = bench.dispatcherOf(target, "a1");
  bench.freeze(frozen);
  bench.awaitAnswers("after the thaw");
  requireKept(bench.judge());
}

TEST_CASE("A leader that thaws confirms nothing that another has changed") {
  FaultBench bench("freeze-leader", 22060);
  bench.freeze(bench.leader());
  bench.awaitAnswers("after the thaw");
  requireKept(bench.judge());
}

TEST_CASE("A killed target's keys move to the others") {
  FaultBench bench("kill-target", 22080);
  bench.Stops["barn-2"] = readMonotonicUs();
  bench.kill("barn-2");
  bench.awaitAnswers("after the kill");
  requireKept(bench.judge());
}

TEST_CASE("A target that thaws runs nothing for keys that have moved") {
  FaultBench bench("freeze-target", 22100);
  bench.Stops["barn-2"] = readMonotonicUs();
  bench.freeze("barn-2");
  bench.awaitAnswers("after the thaw");
  requireKept(bench.judge());
}

TEST_CASE("Planned stops cut off no request") {
  FaultBench bench("planned-stop", 22120);
  SECTION("of a target") {
    bench.Cluster.target("barn-2").signal(SIGTERM);
    REQUIRE(bench.Cluster.target("barn-2").wait() == 0);
  }
  SECTION("of a VM") {
    auto stopped = bench.dispatcherOf("barn-2", "a1");
    bench.Load->avoid(stopped);
    bench.Cluster.vm(stopped).signal(SIGTERM);
    REQUIRE(bench.Cluster.vm(stopped).wait() == 0);
  }
  bench.awaitAnswers("after the stop");
  auto verdict = bench.judge();
  requireKept(verdict);
  CHECK(verdict.NotRun + verdict.Unknown + verdict.Nothing == 0);
}

TEST_CASE("A target that is set to leave gets no new work") {
  FaultBench bench("leaving", 22140);
  auto set = bench.Cluster.set("a1", "/targets/barnstock/barn-2",
                               R"({"state":"leaving"})", 0, "leave");
  REQUIRE(set.Status == 200);
  std::int64_t since = readMonotonicUs();
  waitUntil("the limit is over", [&] {
    return readMonotonicUs() > since + LeavingLimitUs + UsPerSecond;
  });
  bench.awaitAnswers("after the setting");
  auto runs = bench.Cluster.runs();
  auto verdict = bench.judge();
  requireKept(verdict);
  CHECK(verdict.NotRun + verdict.Unknown + verdict.Nothing == 0);
  CHECK(std::ranges::count_if(runs, [&](const RunRecord &run) {
          return run.Name == "barn-2" && run.StartUs > since + LeavingLimitUs;
        }) == 0);
}

TEST_CASE("A second VM is lost right after the first has come back") {
  FaultBench bench("second-loss", 22160);
  bench.kill("a2");
  bench.awaitAnswers("after the first kill");
  bench.Cluster.startVm("a2");
  waitUntil("a2 is ready again", [&] { return bench.Cluster.isReady("a2"); });
  bench.kill("a3");
  bench.awaitAnswers("after the second kill");
  requireKept(bench.judge());
}

TEST_CASE("A repeat with the same idempotency key runs nothing again") {
  FaultBench bench("repeat", 22180);
  const HttpHeaders headers{{"Idempotency-Key", "release-77"}};
  CallRecord call;
  call.Id = "once";
  call.Key = "barn-3";
  call.IsPost = true;
  auto first =
      callRecorded(bench.Cluster, "a1", "barnstock", call, headers);
  REQUIRE(first.Told == Fate::Answered);
  auto repeat =
      callRecorded(bench.Cluster, "a3", "barnstock", call, headers);
  CHECK(repeat.Told != Fate::NotRun);
  auto owner = bench.Cluster.api("a1", "/owners?service=barnstock&key=barn-3");
  auto lost = std::string(
      boost::json::parse(owner.Body).at("dispatcher").as_string());
  bench.kill(lost);
  bench.awaitAnswers("after the kill");
  for (const char *vm : {"a1", "a2", "a3"}) {
    if (vm == lost)
      continue;
    auto late = callRecorded(bench.Cluster, vm, "barnstock", call, headers);
    CHECK(late.Told != Fate::NotRun);
    if (late.Told == Fate::Answered)
      CHECK(late.AnsweredRequest == first.AnsweredRequest);
  }
  requireKept(bench.judge());
}
