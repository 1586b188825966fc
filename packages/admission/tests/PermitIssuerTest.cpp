// Tests which requests are granted a permit, wait or are refused.
#include "admission/PermitIssuer.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <vector>

using namespace magnoliamill;
using namespace magnoliamill::admission;
using namespace std::chrono_literals;

namespace {

const keyspace::TargetInstance Fast{"fast", 1};
const keyspace::TargetInstance Slow{"slow", 1};
const base::MonoTime Start{1h};

PermitRequest makeRequest(base::Duration objective = 1500ms) {
  PermitRequest request;
  request.Service = "orders";
  request.DataCentre = "dc-a";
  request.LatencyObjective = objective;
  request.Timeout = 2500ms;
  return request;
}

PermitRequest makeKeyed(bool IsUrgent = false) {
  auto request = makeRequest();
  request.Holder = Fast;
  request.IsUrgent = IsUrgent;
  return request;
}

/// An issuer with two targets of two slots; numbers the requests.
struct Fixture {
  Fixture() {
    Issuer.put({Fast, "orders", "dc-a", 2});
    Issuer.put({Slow, "orders", "dc-a", 2});
  }

  PermitAnswer ask(const PermitRequest &request) {
    auto answers = Issuer.request({1, ++Last}, request, Start);
    return answers.front();
  }
  /// Sets the mean service time of \p instance.
  void measure(const keyspace::TargetInstance &instance, base::Duration time) {
    auto request = makeRequest();
    request.Holder = instance;
    REQUIRE(ask(request).Decision == PermitDecision::Granted);
    Issuer.release({1, Last}, PermitUse::Answered, time, Start);
  }

  PermitIssuer Issuer{1};
  std::uint64_t Last = 0;
};

} // namespace

TEST_CASE("The holder of a key gets as many requests as it has slots") {
  Fixture it;
  it.measure(Fast, 100ms);
  // Two more than its slots, which wait at the target.
  for (int i = 0; i < 4; ++i)
    CHECK(it.ask(makeKeyed()).Decision == PermitDecision::Granted);
  CHECK(it.ask(makeKeyed()).Decision == PermitDecision::Queued);

  SECTION("the next one is granted when an answer is reported") {
    const auto answers =
        it.Issuer.release({1, 2}, PermitUse::Answered, 100ms, Start);
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().Decision == PermitDecision::Granted);
    CHECK(answers.front().Id.Number == it.Last);
    CHECK(answers.front().Target == Fast);
  }
  SECTION("an urgent request overtakes those that wait") {
    CHECK(it.ask(makeKeyed(true)).Decision == PermitDecision::Queued);
    const auto answers =
        it.Issuer.release({1, 2}, PermitUse::Answered, 100ms, Start);
    CHECK(answers.front().Id.Number == it.Last);
  }
  SECTION("a caller that leaves gives up its place") {
    it.Issuer.release({1, it.Last}, PermitUse::Abandoned, {}, Start);
    CHECK(it.Issuer.countWaiting() == 0);
    CHECK(it.Issuer.release({1, 2}, PermitUse::Answered, 100ms, Start).empty());
  }
  SECTION("the permits of a lost link are free again") {
    CHECK(it.Issuer.releaseAll(1, Start).empty());
    CHECK(it.Issuer.countGranted() == 0);
    CHECK(it.ask(makeKeyed()).Decision == PermitDecision::Granted);
  }
  SECTION("a permit that is not released ends at the request's timeout") {
    const auto answers = it.Issuer.tick(Start + 2500ms);
    CHECK(answers.front().Decision == PermitDecision::Refused);
    CHECK(it.Issuer.countGranted() == 0);
  }
  SECTION("requests that wait for a target that leaves are sent elsewhere") {
    const auto answers = it.Issuer.remove(Fast);
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().Decision == PermitDecision::Unknown);
    CHECK(it.ask(makeKeyed()).Decision == PermitDecision::Unknown);
    // The permits of the target end without effect.
    CHECK(it.Issuer.release({1, 2}, PermitUse::Failed, {}, Start).empty());
  }
}

TEST_CASE("What would be answered too late is refused at once") {
  Fixture it;
  it.measure(Fast, 400ms);
  std::uint32_t queued = 0;
  PermitAnswer answer;
  while ((answer = it.ask(makeKeyed())).Decision != PermitDecision::Refused)
    queued += answer.Decision == PermitDecision::Queued ? 1 : 0;
  // Two slots of 400 ms, and two requests at the target already: the third in
  // the queue would be answered after 1400 ms.
  CHECK(queued >= 1);
  CHECK(queued <= 2);
  CHECK(answer.RetryAfter > 0ms);
  CHECK(answer.RetryAfter < 1500ms);

  SECTION("an urgent request is still admitted, because it need not wait") {
    CHECK(it.ask(makeKeyed(true)).Decision == PermitDecision::Queued);
  }
  SECTION("a free slot is used even if the target is too slow") {
    it.measure(Slow, 5s);
    auto request = makeRequest();
    request.Holder = Slow;
    CHECK(it.ask(request).Decision == PermitDecision::Granted);
  }
}

TEST_CASE("A request without a key gets the target that answers first") {
  Fixture it;
  it.measure(Fast, 100ms);
  it.measure(Slow, 150ms);
  CHECK(it.ask(makeRequest()).Target == Fast);
  CHECK(it.ask(makeRequest()).Target == Slow);
  CHECK(it.ask(makeRequest()).Target == Fast);
  CHECK(it.ask(makeRequest()).Target == Slow);

  SECTION("it waits for any of them when all slots are in use") {
    CHECK(it.ask(makeRequest()).Decision == PermitDecision::Queued);
    const auto answers =
        it.Issuer.release({1, 4}, PermitUse::Answered, 150ms, Start);
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().Target == Slow);
  }
  SECTION("it is refused if it is not to wait") {
    auto request = makeRequest();
    request.MayWait = false;
    CHECK(it.ask(request).Decision == PermitDecision::Refused);
  }
  SECTION("another data centre has no target") {
    auto request = makeRequest();
    request.DataCentre = "dc-b";
    CHECK(it.ask(request).Decision == PermitDecision::Unknown);
  }
}

TEST_CASE("A target that fails is used only if there is no other") {
  Fixture it;
  it.measure(Fast, 100ms);
  it.measure(Slow, 150ms);
  for (int i = 0; i < 3; ++i) {
    REQUIRE(it.ask(makeKeyed()).Decision == PermitDecision::Granted);
    it.Issuer.release({1, it.Last}, PermitUse::Failed, {}, Start);
  }
  CHECK(it.ask(makeRequest()).Target == Slow);
  CHECK(it.ask(makeRequest()).Target == Slow);
  CHECK(it.ask(makeRequest()).Target == Fast);
}

TEST_CASE("A holder whose requests fail is tried by one request at a time") {
  Fixture it;
  for (int i = 0; i < 3; ++i) {
    REQUIRE(it.ask(makeKeyed()).Decision == PermitDecision::Granted);
    it.Issuer.release({1, it.Last}, PermitUse::Failed, {}, Start);
  }
  CHECK(it.ask(makeKeyed()).Decision == PermitDecision::Granted);
  const auto refused = it.ask(makeKeyed());
  CHECK(refused.Decision == PermitDecision::Refused);
  CHECK(refused.RetryAfter > 0ms);

  SECTION("an answer makes it available again") {
    it.Issuer.release({1, it.Last - 1}, PermitUse::Answered, 10ms, Start);
    CHECK(it.ask(makeKeyed()).Decision == PermitDecision::Granted);
    CHECK(it.ask(makeKeyed()).Decision == PermitDecision::Granted);
  }
}

TEST_CASE("The permits for a target keep the rate that it named") {
  constexpr double RateLimit = 6.5;
  constexpr base::Duration Window = 4s;
  constexpr std::ptrdiff_t MostAllowed = 44; // 1.5 times the limit, and 5
  constexpr base::Duration WorkTime = 80ms;
  PermitIssuer issuer(1);
  issuer.put({Fast, "orders", "dc-a", 3});
  auto now = Start;
  std::uint64_t last = 0;
  std::vector<base::MonoTime> granted;
  std::vector<base::Duration> RetryTimes;
  std::map<PermitId, base::MonoTime> running;
  std::optional<double> named = RateLimit;
  const auto take = [&](const PermitIssuer::Answers &answers) {
    for (const auto &it : answers)
      if (it.Decision == PermitDecision::Granted) {
        granted.push_back(now);
        running[it.Id] = now;
      } else if (it.Decision == PermitDecision::Refused) {
        RetryTimes.push_back(it.RetryAfter);
      }
  };
  // Ten entries ask for 50 permits a second, and each answer names the limit.
  const auto play = [&](base::Duration time) {
    for (const auto end = now + time; now < end; now += 10ms) {
      take(issuer.tick(now));
      for (const auto &[id, at] : std::map(running))
        if (now - at >= WorkTime) {
          running.erase(id);
          issuer.limitRate(id, named, now);
          take(issuer.release(id, PermitUse::Answered, WorkTime, now));
        }
      auto request = makeKeyed();
      request.LatencyObjective = 300ms;
      request.Timeout = 800ms;
      if (++last % 2 == 0)
        take(issuer.request({last % 10, last}, request, now));
    }
  };
  const auto peak = [&](base::MonoTime first) {
    std::ptrdiff_t most = 0;
    for (auto it = std::ranges::lower_bound(granted, first);
         it != granted.end(); ++it)
      most =
          std::max(most, std::ranges::lower_bound(granted, *it + Window) - it);
    return most;
  };

  play(500ms);
  const auto known = now;
  play(20s);
  const auto served = static_cast<double>(
      granted.end() - std::ranges::lower_bound(granted, known));

  SECTION("not more in any window, and not much less") {
    CHECK(peak(known) <= MostAllowed);
    CHECK(served >= 0.9 * RateLimit * 20);
  }
  SECTION("the others are refused at once, with a time to return") {
    CHECK(RetryTimes.size() >= 700);
    CHECK(std::ranges::all_of(RetryTimes, [](const auto &it) {
      return it > base::Duration::zero();
    }));
    CHECK(issuer.countWaiting() <= 2);
  }
  SECTION("as many as there are slots once it names none") {
    named.reset();
    play(1s);
    const auto before = granted.size();
    play(4s);
    CHECK(granted.size() - before >= 120);

    SECTION("naming it again does not allow a burst") {
      named = RateLimit;
      play(500ms);
      const auto again = now;
      play(8s);
      CHECK(peak(again) <= MostAllowed);
    }
  }
  SECTION("a target that takes none is asked now and then whether it does") {
    named = 0;
    play(1s);
    const auto before = granted.size();
    play(20s);
    CHECK(granted.size() - before >= 3);
    CHECK(granted.size() - before <= 6);
  }
}

TEST_CASE("A service uses its other targets when one limits its rate") {
  Fixture it;
  it.measure(Fast, 50ms);
  it.measure(Slow, 100ms);
  const auto request = makeRequest();
  REQUIRE(it.ask(request).Target == Fast);
  it.Issuer.limitRate({1, it.Last}, 1.0, Start);
  it.Issuer.release({1, it.Last}, PermitUse::Answered, 50ms, Start);
  CHECK(it.ask(request).Target == Slow);
  CHECK(it.ask(request).Target == Slow);
  // Both slots of the other one are in use.
  CHECK(it.ask(request).Decision == PermitDecision::Queued);
}

TEST_CASE("Permits ignore the load that targets report") {
  Fixture it;
  it.measure(Fast, 100ms);
  it.measure(Slow, 110ms);
  const auto report = [&](const keyspace::TargetInstance &instance,
                          const dispatch::TargetLoad &load) {
    auto request = makeRequest();
    request.Holder = instance;
    REQUIRE(it.ask(request).Decision == PermitDecision::Granted);
    auto crowded = it.Issuer.reportLoad({1, it.Last}, load, Start);
    it.Issuer.release({1, it.Last}, PermitUse::Answered, 100ms, Start);
    return crowded;
  };

  SECTION("a target with requests of other senders is chosen later") {
    CHECK(report(Fast, {2, 4, 2, 100}) == Fast);
    CHECK_FALSE(report(Slow, {1, 0, 2, 100}));
    CHECK(it.ask(makeRequest()).Target == Slow);
    // A log line for each report would flood the log.
    CHECK_FALSE(report(Fast, {2, 4, 2, 100}));
  }
  SECTION("a target that never gets a permit would never report again") {
    report(Fast, {2, 8, 2, 100});
    CHECK(it.ask(makeKeyed()).Decision == PermitDecision::Granted);
    CHECK(it.ask(makeKeyed()).Decision != PermitDecision::Granted);
  }
  SECTION("an ejected target's slots count as capacity") {
    report(Fast, {1, 0, 2, 100});
    report(Slow, {1, 0, 2, 100});
    for (int n = 0; n < 3; ++n) {
      REQUIRE(it.ask(makeKeyed()).Decision == PermitDecision::Granted);
      it.Issuer.release({1, it.Last}, PermitUse::Failed, {}, Start);
    }
    for (int n = 0; n < 4; ++n)
      REQUIRE(it.ask(makeRequest()).Decision == PermitDecision::Granted);
    // About 100 ms for two slots of 100 ms, and 100 ms for the work: 160 ms of
    // the objective may be used.
    CHECK(it.ask(makeRequest(180ms)).Decision == PermitDecision::Refused);
  }
}

// A heartbeat named another data centre. The core that granted permits there
// ended by a signal when the target had left.
TEST_CASE("A target whose data centre changes ends the process") {
  Fixture fixture;
  const auto AskIn = [&](const std::string &centre) {
    auto request = makeRequest();
    request.DataCentre = centre;
    return fixture.ask(request);
  };
  CHECK(fixture.Issuer.put({Fast, "orders", "dc-b", 2}).empty());
  CHECK(AskIn("dc-a").Target == Slow);
  CHECK(AskIn("dc-b").Target == Fast);

  SECTION("when it leaves") {
    fixture.Issuer.remove(Fast);
    CHECK(AskIn("dc-b").Decision == PermitDecision::Unknown);
    CHECK(AskIn("dc-a").Target == Slow);
  }
  SECTION("when it changes back") {
    fixture.Issuer.put({Fast, "orders", "dc-a", 2});
    CHECK(AskIn("dc-b").Decision == PermitDecision::Unknown);
    fixture.Issuer.remove(Slow);
    CHECK(AskIn("dc-a").Target == Fast);
  }
  SECTION("as the last one of its data centre, while requests wait") {
    REQUIRE(AskIn("dc-b").Decision == PermitDecision::Granted);
    REQUIRE(AskIn("dc-b").Decision == PermitDecision::Queued);
    const auto answers = fixture.Issuer.put({Fast, "orders", "dc-a", 2});
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().Id.Number == fixture.Last);
    CHECK(answers.front().Decision == PermitDecision::Unknown);
  }
}
