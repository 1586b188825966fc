// Plays many entries that choose targets without permits, by the same load
// reports of a given age, and compares the choice without reports with the one
// by them: how evenly the targets' queues fill, and how many requests are
// refused or late.
#include "entry/TargetPool.h"

#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <cstdio>
#include <deque>

using namespace magnoliamill;
using namespace magnoliamill::entry;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t TargetCount = 100;
constexpr std::size_t Slots = 2;
constexpr std::size_t QueueLength = 8;
constexpr double MeanWorkMs = 200;
constexpr std::array Speeds{0.6, 1.0, 1.4};
/// Share of the targets that are slowed down, and by how much.
constexpr double SlowShare = 0.2;
constexpr double SlowFactor = 3;
constexpr double MeanSlowPhaseMs = 400;
constexpr double LateMs = 800;
constexpr base::Duration Step = 5ms;
constexpr double StepMs = 5;
constexpr std::size_t StepsPerReport = 20;
constexpr std::size_t Steps = 8000;
/// Before that, the entries measure the targets' times.
constexpr std::size_t FirstCounted = 3000;

struct Setup {
  std::size_t EntryCount = 68;
  /// Arrivals per capacity.
  double Load = 0.8;
  /// Not set: targets report no load.
  std::optional<base::Duration> ReportAge;
};

struct Outcome {
  double Sent = 0;
  double Refused = 0;
  double Late = 0;
  double Sum = 0;
  double SquareSum = 0;
  double Samples = 0;

  double failedShare() const { return (Refused + Late) / Sent; }
  /// Standard deviation of the requests at a target.
  double spread() const {
    const double mean = Sum / Samples;
    return std::sqrt(SquareSum / Samples - mean * mean);
  }
};

class Model {
public:
  explicit Model(const Setup &setup) : Config(setup) {
    fleet::ViewUpdate update;
    update.Version = {1, 1};
    update.IsWhole = true;
    for (std::size_t i = 0; i < TargetCount; ++i) {
      fleet::Target target;
      target.Instance = instanceOf(i);
      target.Address = "10.0.0.1:80";
      target.Service = "orders";
      target.DataCentre = "dc-a";
      target.Slots = Slots;
      update.Targets.push_back(std::move(target));
      Targets[i].Speed = Speeds[i % Speeds.size()];
      Capacity += Slots * Targets[i].Speed / MeanWorkMs *
                  (1 - SlowShare + SlowShare / SlowFactor);
    }
    fleet::View view;
    view.apply(update);
    for (std::size_t i = 0; i < Config.EntryCount; ++i) {
      Entries.emplace_back("dc-a", i, 2s);
      Entries.back().updateAll(view);
    }
  }

  Outcome play() {
    std::poisson_distribution<int> arrivals(Config.Load * Capacity * StepMs);
    for (Now = 0; Now < Steps; ++Now) {
      if (Config.ReportAge && Now % StepsPerReport == 0)
        deliverReports();
      for (int n = arrivals(Random); n > 0; --n)
        arrive();
      for (std::size_t i = 0; i < TargetCount; ++i)
        run(i);
    }
    return Result;
  }

private:
  struct Request {
    std::size_t Entry = 0;
    std::size_t SentAt = 0;
    double WorkMs = 0;
  };
  struct Target {
    double Speed = 1;
    bool IsSlow = false;
    std::deque<Request> Requests;
  };
  struct Report {
    std::size_t At = 0;
    std::vector<dispatch::TargetLoad> Loads;
    /// Requests in flight, by entry and target.
    std::vector<std::uint32_t> Own;
  };

  static keyspace::TargetInstance instanceOf(std::size_t n) {
    return {"t" + std::to_string(n), 1};
  }
  static base::MonoTime timeOf(std::size_t step) {
    return base::MonoTime(1h) + Step * step;
  }
  double draw(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(Random);
  }

  /// All entries know the reports of the time ReportAge ago.
  void deliverReports() {
    Report report;
    report.At = Now;
    for (const auto &target : Targets) {
      const auto running = std::min(target.Requests.size(), Slots);
      report.Loads.push_back(
          {static_cast<std::uint32_t>(running),
           static_cast<std::uint32_t>(target.Requests.size() - running), Slots,
           static_cast<std::uint32_t>(target.IsSlow ? 100 * SlowFactor : 100)});
    }
    for (auto &entry : Entries)
      for (std::size_t i = 0; i < TargetCount; ++i)
        report.Own.push_back(entry.find(instanceOf(i))->InFlight);
    Reports.push_back(std::move(report));
    if (timeOf(Now) - timeOf(Reports.front().At) < *Config.ReportAge)
      return;
    const Report old = std::move(Reports.front());
    Reports.pop_front();
    for (std::size_t e = 0; e < Entries.size(); ++e)
      for (std::size_t i = 0; i < TargetCount; ++i)
        Entries[e]
            .find(instanceOf(i))
            ->Load.onReport(old.Loads[i], old.Own[e * TargetCount + i],
                            timeOf(old.At));
  }

  void arrive() {
    const bool IsCounted = Now >= FirstCounted;
    const auto entry = std::uniform_int_distribution<std::size_t>(
        0, Entries.size() - 1)(Random);
    auto *chosen = Entries[entry].choose("orders", {}, timeOf(Now));
    auto &target =
        Targets[std::stoul(chosen->Description.Instance.Id.substr(1))];
    Result.Sent += IsCounted;
    if (target.Requests.size() >= Slots + QueueLength) {
      Result.Refused += IsCounted;
      chosen->Busy.onBusy(timeOf(Now));
      return;
    }
    ++chosen->InFlight;
    target.Requests.push_back({entry, Now, MeanWorkMs * draw(0.5, 1.5)});
  }

  void run(std::size_t number) {
    Target &target = Targets[number];
    if (draw(0, 1) < StepMs / MeanSlowPhaseMs)
      target.IsSlow = draw(0, 1) < SlowShare;
    const double progress =
        StepMs * target.Speed / (target.IsSlow ? SlowFactor : 1);
    for (std::size_t i = 0; i < std::min(target.Requests.size(), Slots); ++i)
      target.Requests[i].WorkMs -= progress;
    std::erase_if(target.Requests, [&](const Request &it) {
      if (it.WorkMs > 0)
        return false;
      finish(number, it);
      return true;
    });
    if (Now < FirstCounted)
      return;
    const auto count = static_cast<double>(target.Requests.size());
    Result.Sum += count;
    Result.SquareSum += count * count;
    Result.Samples += 1;
  }

  void finish(std::size_t target, const Request &request) {
    const auto time = Step * (Now + 1 - request.SentAt);
    auto *pooled = Entries[request.Entry].find(instanceOf(target));
    --pooled->InFlight;
    pooled->Health.onSuccess(time, timeOf(Now));
    pooled->Busy.onAnswer();
    if (request.SentAt >= FirstCounted)
      Result.Late += time > std::chrono::duration<double, std::milli>(LateMs);
  }

  Setup Config;
  double Capacity = 0;
  std::array<Target, TargetCount> Targets;
  std::deque<TargetPool> Entries;
  std::deque<Report> Reports;
  std::mt19937_64 Random{20261206};
  std::size_t Now = 0;
  Outcome Result;
};

void print(const std::string &reports, std::size_t entries,
           const Outcome &outcome) {
  std::printf("%zu entries, %s: spread %.2f, refused %.4f, late %.4f\n",
              entries, reports.c_str(), outcome.spread(),
              outcome.Refused / outcome.Sent, outcome.Late / outcome.Sent);
}

} // namespace

TEST_CASE("Entries with the same load reports choose the same targets, whose "
          "queues overflow") {
  // The bounds of issue 24 for permits: callers see below 8 % of late answers,
  // and targets reject below 5 %. They hold at the load that capacity is
  // planned for.
  constexpr double MostLate = 0.08;
  constexpr double MostRefused = 0.05;
  const std::size_t entries = GENERATE(68, 300);
  const auto before = Model({entries, 0.8, std::nullopt}).play();
  print("without reports", entries, before);
  for (const auto age : {100ms, 500ms, 1000ms}) {
    const auto after = Model({entries, 0.8, age}).play();
    print(std::to_string(age.count()) + " ms", entries, after);
    INFO(entries << " entries, reports are " << age.count() << " ms old");
    CHECK(after.Refused / after.Sent < MostRefused);
    // Reports must never make the choice worse than none.
    CHECK(after.spread() < before.spread());
    CHECK(after.failedShare() < before.failedShare());
    // Old reports can't show which targets are slowed down at present.
    if (age == 100ms)
      CHECK(after.Late / after.Sent < MostLate);
  }
}

TEST_CASE("A choice by load reports leaves the data centre or the faster "
          "targets") {
  // Guards the order of preference where targets report their load.
  fleet::ViewUpdate update;
  update.Version = {1, 1};
  update.IsWhole = true;
  for (const auto *id : {"near-1", "near-2", "far-1", "far-2"}) {
    fleet::Target target;
    target.Instance = {id, 1};
    target.Address = "10.0.0.1:80";
    target.Service = "orders";
    target.DataCentre = id[0] == 'n' ? "dc-a" : "dc-b";
    target.Slots = 2;
    update.Targets.push_back(std::move(target));
  }
  fleet::View view;
  view.apply(update);
  TargetPool pool("dc-a", 1, 2s);
  pool.updateAll(view);
  const base::MonoTime start{1h};
  const auto count = [&](std::string_view id, base::MonoTime now) {
    int chosen = 0;
    for (int n = 0; n < 200; ++n)
      chosen += pool.choose("orders", {}, now)->Description.Instance.Id == id;
    return chosen;
  };
  for (const auto *id : {"near-1", "near-2", "far-1", "far-2"}) {
    pool.find({id, 1})->Health.onSuccess(100ms, start);
    pool.onLoad({id, 1}, {0, 0, 2, 100}, start);
  }
  CHECK(count("far-1", start) + count("far-2", start) == 0);
  // Neither of two equal targets gets all requests.
  CHECK(count("near-1", start) > 50);
  CHECK(count("near-2", start) > 50);

  SECTION("other data centres are used when the own targets have queues") {
    pool.onLoad({"near-1", 1}, {2, 8, 2, 100}, start);
    pool.onLoad({"near-2", 1}, {2, 8, 2, 100}, start);
    CHECK(count("near-1", start) + count("near-2", start) == 0);
    // The reports have faded out; the measured times count again.
    const auto later = start + dispatch::LoadEstimate::MaxAge;
    CHECK(count("far-1", later) + count("far-2", later) == 0);
  }
  SECTION("the target with the shorter queue is chosen more often") {
    pool.onLoad({"near-1", 1}, {2, 4, 2, 100}, start);
    CHECK(count("near-1", start) < 80);
  }
  SECTION("a target that is slowed down is chosen less often, for a while") {
    pool.onLoad({"near-1", 1}, {0, 0, 2, 300}, start);
    CHECK(count("near-1", start) < 80);
    CHECK(count("near-1", start + 1900ms) > 40);
  }
  SECTION("targets that failed come last") {
    for (int n = 0; n < 3; ++n)
      pool.find({"near-1", 1})->Health.onFailure(start);
    CHECK(count("near-1", start) == 0);
  }
}
