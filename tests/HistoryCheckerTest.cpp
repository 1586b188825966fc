// Tests that checkHistory reports each kind of violation.
#include "cluster/HistoryChecker.h"

#include <catch2/catch.hpp>

using namespace magnoliamill::tests;

namespace {

RunRecord makeRun(const std::string &path, const std::string &name,
                  std::int64_t start, std::int64_t end,
                  const std::string &token = "1.5") {
  RunRecord run;
  run.Request = "id-" + path;
  run.Key = "k";
  run.Token = token;
  run.Instance = name + "-1";
  run.Name = name;
  run.Path = path;
  run.StartUs = start;
  run.EndUs = end;
  return run;
}

CallRecord makeCall(const std::string &path, CallOutcome outcome,
                    std::int64_t end) {
  CallRecord call;
  call.Key = "k";
  call.IsPost = path.starts_with("/release");
  call.Path = path;
  call.Outcome = outcome;
  if (outcome == CallOutcome::Answered) {
    call.AnsweredKey = "k";
    call.AnsweredRequest = "id-" + path;
  }
  call.EndUs = end;
  return call;
}

std::size_t countViolations(const History &history) {
  return checkHistory(history, 0, 1000).Violations.size();
}

} // namespace

TEST_CASE(
    "The history checker accepts a valid history and reports each violation") {
  History history;
  history.Runs = {makeRun("/release/1", "t1", 10, 20),
                  makeRun("/release/2", "t1", 15, 30)};
  history.Calls = {makeCall("/release/1", CallOutcome::Answered, 25),
                   makeCall("/release/2", CallOutcome::Answered, 35)};
  REQUIRE(countViolations(history) == 0);

  SECTION(
      "the unavailable time is measured between the ends of answered calls") {
    REQUIRE(checkHistory(history, 0, 1000).UnavailableUs == 965);
  }
  SECTION("a release that ran twice") {
    history.Runs.push_back(makeRun("/release/1", "t1", 40, 50));
    REQUIRE(countViolations(history) == 1);
  }
  SECTION("a lookup may run twice") {
    history.Runs.push_back(makeRun("/level/3", "t1", 40, 50));
    history.Runs.push_back(makeRun("/level/3", "t1", 50, 60));
    REQUIRE(countViolations(history) == 0);
  }
  SECTION("a release that was refused as not run, but ran") {
    history.Calls[0] = makeCall("/release/1", CallOutcome::NotRun, 25);
    REQUIRE(countViolations(history) == 1);
  }
  SECTION("an answer without a run") {
    history.Calls.push_back(makeCall("/release/9", CallOutcome::Answered, 40));
    REQUIRE(countViolations(history) == 1);
  }
  SECTION("an answer to another request, and one for another key") {
    history.Calls[0].AnsweredRequest = "id-/release/2";
    history.Calls[1].AnsweredKey = "other";
    REQUIRE(countViolations(history) == 2);
  }
  SECTION("runs of one key at two targets that overlap") {
    history.Runs.push_back(makeRun("/release/3", "t2", 29, 40, "1.6"));
    REQUIRE(countViolations(history) == 1);
  }
  SECTION("a run of a frozen target ends when the target is frozen") {
    history.Runs[1].EndUs = 500;
    history.Runs.push_back(makeRun("/release/3", "t2", 100, 110, "1.6"));
    REQUIRE(countViolations(history) == 1);
    history.Stops["t1"] = 18;
    REQUIRE(countViolations(history) == 0);
    history.Runs.push_back(makeRun("/release/4", "t1", 400, 410, "1.6"));
    REQUIRE(countViolations(history) == 0);
    history.Runs.push_back(makeRun("/release/5", "t2", 405, 415, "1.7"));
    REQUIRE(countViolations(history) == 1);
  }
  SECTION("a token that decreases") {
    history.Runs.push_back(makeRun("/release/3", "t1", 40, 50, "1.4"));
    REQUIRE(countViolations(history) == 1);
  }
}
