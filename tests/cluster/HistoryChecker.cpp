// Checks of a history, one function for each guarantee.
#include "cluster/HistoryChecker.h"

#include "base/Token.h"

#include <algorithm>
#include <fmt/format.h>

namespace magnoliamill::tests {
namespace {

using RunsByPath = std::map<std::string, std::vector<RunRecord>>;

bool isPost(const RunRecord &run) { return run.Path.starts_with("/release"); }

// The end of a run, or the time at which its target was killed or frozen if it
// was running then. A run without either counts as ending at its start.
std::int64_t effectiveEndUs(const RunRecord &run, const StopTimes &stops) {
  auto stop = stops.find(run.Name);
  if (stop != stops.end() && run.StartUs <= stop->second &&
      (run.EndUs == 0 || run.EndUs > stop->second))
    return stop->second;
  return run.EndUs == 0 ? run.StartUs : run.EndUs;
}

void checkDuplicateRuns(const RunsByPath &runs, HistoryReport &result) {
  for (const auto &[path, ofPath] : runs)
    if (isPost(ofPath.front()) && ofPath.size() > 1)
      result.Violations.push_back(
          fmt::format("{} ran {} times: {} at {} and {} at {}", path,
                      ofPath.size(), ofPath[0].Name, ofPath[0].StartUs,
                      ofPath[1].Name, ofPath[1].StartUs));
}

void checkOutcome(const CallRecord &call, const RunsByPath &runs,
                  HistoryReport &result) {
  auto ran = runs.find(call.Path);
  if (call.Outcome == CallOutcome::NotRun && call.IsPost && ran != runs.end())
    result.Violations.push_back(fmt::format("{} was refused with {} but ran at "
                                            "{}",
                                            call.Path, call.Code,
                                            ran->second.front().Name));
  if (call.Outcome != CallOutcome::Answered)
    return;
  if (call.AnsweredKey != call.Key)
    result.Violations.push_back(fmt::format("{} got an answer for key '{}'",
                                            call.Path, call.AnsweredKey));
  bool IsOwn =
      ran != runs.end() &&
      std::ranges::any_of(ran->second, [&call](const RunRecord &run) {
        return run.Request == call.AnsweredRequest && run.Key == call.Key;
      });
  if (!IsOwn)
    result.Violations.push_back(fmt::format(
        "{} was answered by request '{}', which is not a run of its own",
        call.Path, call.AnsweredRequest));
}

void checkExclusiveRuns(const History &history, HistoryReport &result) {
  std::map<std::string, std::vector<RunRecord>> ByKey;
  for (const auto &run : history.Runs)
    ByKey[run.Key].push_back(run);
  for (auto &[key, runs] : ByKey) {
    std::ranges::sort(runs, {}, &RunRecord::StartUs);
    // For each target instance so far, the latest end of its runs.
    std::map<std::string, std::int64_t> ends;
    for (std::size_t i = 0; i < runs.size(); ++i) {
      const RunRecord &run = runs[i];
      for (const auto &[instance, end] : ends)
        if (instance != run.Instance && end > run.StartUs)
          result.Violations.push_back(fmt::format(
              "{} of key {} began at {} {} us before a run at {} "
              "ended",
              run.Path, key, run.Name, end - run.StartUs, instance));
      auto &end = ends[run.Instance];
      end = std::max(end, effectiveEndUs(run, history.Stops));
      if (i == 0)
        continue;
      auto before = base::parseToken(runs[i - 1].Token);
      auto token = base::parseToken(run.Token);
      if (!before || !token || token.value() < before.value())
        result.Violations.push_back(
            fmt::format("token of key {} went from {} to {}", key,
                        runs[i - 1].Token, run.Token));
    }
  }
}

void countOutcome(const CallRecord &call, HistoryReport &result) {
  switch (call.Outcome) {
  case CallOutcome::Answered:
    ++result.Answered;
    return;
  case CallOutcome::NotRun:
    ++result.NotRun;
    break;
  case CallOutcome::Unknown:
    ++result.Unknown;
    break;
  case CallOutcome::NoResponse:
    ++result.NoResponse;
    break;
  }
  ++result.Codes[call.Code];
}

void measureUnavailability(const History &history, std::int64_t FromUs,
                           std::int64_t ToUs, HistoryReport &result) {
  std::map<std::string, std::vector<std::int64_t>> times;
  for (const auto &call : history.Calls) {
    auto &Answers = times[call.Key];
    if (call.Outcome == CallOutcome::Answered && call.EndUs >= FromUs &&
        call.EndUs <= ToUs)
      Answers.push_back(call.EndUs);
  }
  for (auto &[key, Answers] : times) {
    Answers.push_back(FromUs);
    Answers.push_back(ToUs);
    std::ranges::sort(Answers);
    for (std::size_t i = 1; i < Answers.size(); ++i)
      if (Answers[i] - Answers[i - 1] > result.UnavailableUs) {
        result.UnavailableUs = Answers[i] - Answers[i - 1];
        result.UnavailableKey = key;
      }
  }
}

} // namespace

std::string HistoryReport::describe() const {
  std::string out = fmt::format(
      "answered {} not-run {} unknown {} nothing {}; unavailable {} ms (key "
      "{})",
      Answered, NotRun, Unknown, NoResponse, UnavailableUs / 1000,
      UnavailableKey);
  for (const auto &[code, count] : Codes)
    out += fmt::format("; code {} x{}", code.empty() ? "-" : code, count);
  for (const auto &violation : Violations)
    out += "\nVIOLATION: " + violation;
  return out;
}

HistoryReport checkHistory(const History &history, std::int64_t FromUs,
                           std::int64_t ToUs) {
  HistoryReport result;
  RunsByPath runs;
  for (const auto &run : history.Runs)
    runs[run.Path].push_back(run);
  checkDuplicateRuns(runs, result);
  for (const auto &call : history.Calls) {
    countOutcome(call, result);
    checkOutcome(call, runs, result);
  }
  checkExclusiveRuns(history, result);
  measureUnavailability(history, FromUs, ToUs, result);
  return result;
}

} // namespace magnoliamill::tests
