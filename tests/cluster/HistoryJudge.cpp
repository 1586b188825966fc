// The promises, one function each.
#include "cluster/HistoryJudge.h"

#include "base/Token.h"

#include <algorithm>
#include <fmt/format.h>

namespace magnoliamill::tests {
namespace {

using RunsByPath = std::map<std::string, std::vector<RunRecord>>;

bool isPost(const RunRecord &run) { return run.Path.starts_with("/release"); }

std::int64_t endOf(const RunRecord &run, const StopTimes &stops) {
  auto stop = stops.find(run.Name);
  if (stop != stops.end() && run.StartUs <= stop->second &&
      (run.EndUs == 0 || run.EndUs > stop->second))
    return stop->second;
  return run.EndUs == 0 ? run.StartUs : run.EndUs;
}

void judgeRepeats(const RunsByPath &runs, Verdict &verdict) {
  for (const auto &[path, ofPath] : runs)
    if (isPost(ofPath.front()) && ofPath.size() > 1)
      verdict.Breaches.push_back(
          fmt::format("{} ran {} times: {} at {} and {} at {}", path,
                      ofPath.size(), ofPath[0].Name, ofPath[0].StartUs,
                      ofPath[1].Name, ofPath[1].StartUs));
}

void judgeFate(const CallRecord &call, const RunsByPath &runs,
               Verdict &verdict) {
  auto ran = runs.find(call.Path);
  if (call.Told == Fate::NotRun && call.IsPost && ran != runs.end())
    verdict.Breaches.push_back(fmt::format("{} was refused with {} but ran at "
                                           "{}",
                                           call.Path, call.Code,
                                           ran->second.front().Name));
  if (call.Told != Fate::Answered)
    return;
  if (call.AnsweredKey != call.Key)
    verdict.Breaches.push_back(fmt::format("{} got an answer of key '{}'",
                                           call.Path, call.AnsweredKey));
  bool IsOwn =
      ran != runs.end() &&
      std::ranges::any_of(ran->second, [&call](const RunRecord &run) {
        return run.Request == call.AnsweredRequest && run.Key == call.Key;
      });
  if (!IsOwn)
    verdict.Breaches.push_back(
        fmt::format("{} was answered by request '{}', which is not its own run",
                    call.Path, call.AnsweredRequest));
}

void judgeOwnership(const History &history, Verdict &verdict) {
  std::map<std::string, std::vector<RunRecord>> ByKey;
  for (const auto &run : history.Runs)
    ByKey[run.Key].push_back(run);
  for (auto &[key, runs] : ByKey) {
    std::ranges::sort(runs, {}, &RunRecord::StartUs);
    // Of all instances so far: the run that ends last.
    std::map<std::string, std::int64_t> ends;
    for (std::size_t i = 0; i < runs.size(); ++i) {
      const RunRecord &run = runs[i];
      for (const auto &[instance, end] : ends)
        if (instance != run.Instance && end > run.StartUs)
          verdict.Breaches.push_back(fmt::format(
              "{} of key {} began at {} {} us before a run at {} "
              "ended",
              run.Path, key, run.Name, end - run.StartUs, instance));
      auto &end = ends[run.Instance];
      end = std::max(end, endOf(run, history.Stops));
      if (i == 0)
        continue;
      auto before = base::parseToken(runs[i - 1].Token);
      auto token = base::parseToken(run.Token);
      if (!before || !token || token.value() < before.value())
        verdict.Breaches.push_back(
            fmt::format("token of key {} went from {} to {}", key,
                        runs[i - 1].Token, run.Token));
    }
  }
}

void countFate(const CallRecord &call, Verdict &verdict) {
  switch (call.Told) {
  case Fate::Answered:
    ++verdict.Answered;
    return;
  case Fate::NotRun:
    ++verdict.NotRun;
    break;
  case Fate::Unknown:
    ++verdict.Unknown;
    break;
  case Fate::Nothing:
    ++verdict.Nothing;
    break;
  }
  ++verdict.Codes[call.Code];
}

void measureUnavailable(const History &history, std::int64_t FromUs,
                        std::int64_t ToUs, Verdict &verdict) {
  std::map<std::string, std::vector<std::int64_t>> times;
  for (const auto &call : history.Calls) {
    auto &Answers = times[call.Key];
    if (call.Told == Fate::Answered && call.EndUs >= FromUs &&
        call.EndUs <= ToUs)
      Answers.push_back(call.EndUs);
  }
  for (auto &[key, Answers] : times) {
    Answers.push_back(FromUs);
    Answers.push_back(ToUs);
    std::ranges::sort(Answers);
    for (std::size_t i = 1; i < Answers.size(); ++i)
      if (Answers[i] - Answers[i - 1] > verdict.UnavailableUs) {
        verdict.UnavailableUs = Answers[i] - Answers[i - 1];
        verdict.UnavailableKey = key;
      }
  }
}

} // namespace

std::string Verdict::describe() const {
  std::string out = fmt::format(
      "answered {} not-run {} unknown {} nothing {}; unavailable {} ms (key "
      "{})",
      Answered, NotRun, Unknown, Nothing, UnavailableUs / 1000, UnavailableKey);
  for (const auto &[code, count] : Codes)
    out += fmt::format("; code {} x{}", code.empty() ? "-" : code, count);
  for (const auto &breach : Breaches)
    out += "\nBREACH: " + breach;
  return out;
}

Verdict judgeHistory(const History &history, std::int64_t FromUs,
                     std::int64_t ToUs) {
  Verdict verdict;
  RunsByPath runs;
  for (const auto &run : history.Runs)
    runs[run.Path].push_back(run);
  judgeRepeats(runs, verdict);
  for (const auto &call : history.Calls) {
    countFate(call, verdict);
    judgeFate(call, runs, verdict);
  }
  judgeOwnership(history, verdict);
  measureUnavailable(history, FromUs, ToUs, verdict);
  return verdict;
}

} // namespace magnoliamill::tests
