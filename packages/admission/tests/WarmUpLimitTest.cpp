// Plays a rush of requests at a target that warms up. Guards against more
// requests in a second than such a target survives, from one core or from two.
#include "admission/PermitIssuer.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <vector>

using namespace magnoliamill;
using namespace magnoliamill::admission;
using namespace std::chrono_literals;

namespace {

const keyspace::TargetInstance Cold{"cold", 1};
const base::MonoTime Start{1h};
constexpr WarmUpBound Deployment{1.5, 8};
constexpr double PerSecond = 3.5;
constexpr std::ptrdiff_t MaxPerSecond = 13;
const std::uint32_t Permits = Deployment.countPermits(PerSecond);

/// Cores that issue permits for one target, which answers each request at once:
/// its slots bound nothing.
class Rush {
public:
  explicit Rush(std::size_t cores) {
    for (std::size_t i = 0; i < cores; ++i)
      Cores.emplace_back(i);
    put(Start + 1h);
  }
  void put(base::MonoTime until, std::uint32_t permits = Permits) {
    for (auto &core : Cores)
      core.put({Cold, "orders", "dc-a", 2, permits, until});
  }
  /// Two requests every 5 ms, one of them with a key.
  void run(base::Duration time) {
    for (const auto end = Now + time; Now < end; Now += 5ms)
      for (auto &core : Cores) {
        record(core, core.tick(Now));
        for (const bool IsKeyed : {false, true}) {
          PermitRequest request{"orders", {}, "dc-a"};
          if (IsKeyed)
            request.Holder = Cold;
          request.LatencyObjective = 800ms;
          request.Timeout = 3s;
          record(core, core.request({1, ++Last}, request, Now));
        }
      }
  }
  /// The most grants in any second that begins at \p from or later.
  std::ptrdiff_t countMost(base::MonoTime from = Start) const {
    std::ptrdiff_t most = 0;
    for (auto it = std::ranges::lower_bound(Granted, from); it != Granted.end();
         ++it)
      most = std::max(most, std::ranges::lower_bound(Granted, *it + 1s) - it);
    return most;
  }

  base::MonoTime Now = Start;
  std::vector<PermitIssuer> Cores;
  std::vector<base::MonoTime> Granted;
  std::size_t CountQueuedGrants = 0;

private:
  void record(PermitIssuer &core, const PermitIssuer::Answers &answers) {
    for (const auto &answer : answers) {
      if (answer.Decision == PermitDecision::Queued)
        Queued.insert(answer.Id);
      if (answer.Decision != PermitDecision::Granted)
        continue;
      CountQueuedGrants += Queued.contains(answer.Id);
      Granted.push_back(Now);
      record(core, core.release(answer.Id, PermitUse::Answered, 1ms, Now));
    }
  }

  std::set<PermitId> Queued;
  std::uint64_t Last = 0;
};

} // namespace

TEST_CASE("One core grants at most half of what a target that warms up takes") {
  CHECK(Permits == 6);
  CHECK(Deployment.countPermits(0) == 0);
  CHECK(WarmUpBound{}.countPermits(0.5) == 1);
}

TEST_CASE("A rush of requests reaches a target that warms up") {
  const std::size_t cores = GENERATE(1, 2);
  Rush rush(cores);
  rush.run(10s);
  CHECK(rush.countMost() <= MaxPerSecond);
  CHECK(rush.countMost() == static_cast<std::ptrdiff_t>(Permits * cores));
  // Room is used as soon as there is some, also by those that wait for it.
  CHECK(rush.Granted.size() >= cores * 9 * Permits);
  CHECK(rush.CountQueuedGrants > 0);

  SECTION("a warm one is limited by its slots only") {
    rush.put(rush.Now + 500ms);
    rush.run(500ms);
    const auto before = rush.Granted.size();
    rush.run(1s);
    CHECK(rush.Granted.size() - before >= 100);
  }
  SECTION("the grants count although the view lost the target for a moment") {
    rush.run(500ms);
    for (auto &core : rush.Cores)
      core.remove(Cold);
    rush.put(rush.Now + 1h);
    rush.run(2s);
    CHECK(rush.countMost() <= static_cast<std::ptrdiff_t>(Permits * cores));
  }
  SECTION("a limit that was lifted applies no more") {
    rush.put(rush.Now + 1h, 0);
    const auto before = rush.Granted.size();
    rush.run(1s);
    CHECK(rush.Granted.size() - before >= 100);
  }
}

TEST_CASE("A target that becomes cold gets the rush of its warm time on top") {
  Rush rush(2);
  rush.put(rush.Now);
  rush.run(2s);
  REQUIRE(rush.countMost() > MaxPerSecond);
  rush.put(rush.Now + 20s);
  const auto cold = rush.Now;
  rush.run(5s);
  CHECK(rush.countMost(cold) <= MaxPerSecond);
  // What it got just before counts.
  CHECK(std::ranges::count_if(rush.Granted, [&](auto time) {
          return time >= cold && time < cold + 900ms;
        }) == 0);
}

TEST_CASE("What would wait too long for a target that warms up is queued") {
  PermitIssuer issuer(1);
  issuer.put({Cold, "orders", "dc-a", 20, Permits, Start + 10s});
  std::uint64_t last = 0;
  const auto ask = [&](base::MonoTime now) {
    PermitRequest request{"orders", Cold, "dc-a"};
    request.LatencyObjective = 800ms;
    request.Timeout = 3s;
    return issuer.request({1, ++last}, request, now).front();
  };
  for (std::uint32_t i = 0; i < Permits; ++i)
    CHECK(ask(Start).Decision == PermitDecision::Granted);
  // There is room in 900 ms; 640 ms are admitted, and a quarter is spread.
  const auto refused = ask(Start + 100ms);
  CHECK(refused.Decision == PermitDecision::Refused);
  CHECK(refused.IsWarmUp);
  CHECK(refused.RetryAfter >= 675ms);
  CHECK(refused.RetryAfter <= 1125ms);
  for (std::uint32_t i = 0; i < Permits; ++i)
    CHECK(ask(Start + 600ms).Decision == PermitDecision::Queued);
  // Behind those that wait there is room after another second.
  CHECK(ask(Start + 600ms).RetryAfter >= 1050ms);
  CHECK(issuer.tick(Start + 990ms).empty());
  CHECK(issuer.tick(Start + 1s).size() == Permits);
}
