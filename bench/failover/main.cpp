// bench-failover, a program that measures for how long a key has no answered
// request after a VM or a target is lost. Prints one JSON line for each trial
// and a summary line for each kind of failure.
#include "cluster/FaultFixture.h"

#include <algorithm>
#include <boost/json.hpp>
#include <csignal>
#include <fmt/format.h>
#include <functional>
#include <gflags/gflags.h>

DEFINE_int32(trials, 20, "trials of each kind of loss");
DEFINE_int32(port, 22800, "first port of the VMs");
DEFINE_string(kind, "", "only this kind of loss; all when empty");

namespace {

using namespace magnoliamill::tests;

struct FailureScenario {
  std::string Kind;
  std::function<void(FaultFixture &)> Inject;
};

std::vector<FailureScenario> listScenarios() {
  return {
      {"kill-dispatcher",
       [](FaultFixture &bench) {
         bench.kill(bench.findNonLeaderDispatcher());
       }},
      {"kill-leader", [](FaultFixture &bench) { bench.kill(bench.leader()); }},
      {"freeze-leader",
       [](FaultFixture &bench) { bench.freeze(bench.leader()); }},
      {"kill-target", [](FaultFixture &bench) { bench.kill("barn-2"); }},
      {"freeze-target", [](FaultFixture &bench) { bench.freeze("barn-2"); }},
      {"stop-vm",
       [](FaultFixture &bench) {
         auto stopped = bench.findNonLeaderDispatcher();
         bench.Load->excludeEntry(stopped);
         bench.Cluster.vm(stopped).signal(SIGTERM);
         bench.Cluster.vm(stopped).wait();
       }},
  };
}

void printLine(const boost::json::object &line) {
  fmt::print("{}\n", boost::json::serialize(line));
  std::fflush(stdout);
}

HistoryReport runTrial(const FailureScenario &scenario) {
  FaultFixture bench("bench-failover", static_cast<std::uint16_t>(FLAGS_port));
  scenario.Inject(bench);
  bench.awaitAnswers("after the loss");
  return bench.stopAndCheck();
}

/// Runs all trials of a scenario. Returns true when none failed and none
/// violated a guarantee.
bool measureScenario(const FailureScenario &scenario) {
  std::vector<std::int64_t> times;
  std::size_t breaches = 0;
  int failures = 0;
  for (int trial = 0; trial < FLAGS_trials; ++trial) {
    try {
      auto verdict = runTrial(scenario);
      times.push_back(verdict.UnavailableUs / 1000);
      breaches += verdict.Violations.size();
      printLine({{"kind", scenario.Kind},
                 {"trial", trial},
                 {"unavailable_ms", times.back()},
                 {"answered", verdict.Answered},
                 {"not_run", verdict.NotRun},
                 {"unknown", verdict.Unknown},
                 {"nothing", verdict.NoResponse},
                 {"breaches", verdict.Violations.size()}});
    } catch (const std::exception &error) {
      ++failures;
      printLine({{"kind", scenario.Kind},
                 {"trial", trial},
                 {"failed", error.what()}});
    }
  }
  std::ranges::sort(times);
  boost::json::object summary{{"kind", scenario.Kind},
                              {"trials", FLAGS_trials},
                              {"failed_trials", failures},
                              {"breaches", breaches}};
  if (!times.empty()) {
    summary["median_ms"] = times[times.size() / 2];
    summary["worst_ms"] = times.back();
  }
  printLine(summary);
  return failures == 0 && breaches == 0;
}

} // namespace

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  bool IsClean = true;
  for (const auto &scenario : listScenarios())
    if (FLAGS_kind.empty() || FLAGS_kind == scenario.Kind)
      IsClean = measureScenario(scenario) && IsClean;
  return IsClean ? 0 : 1;
}
