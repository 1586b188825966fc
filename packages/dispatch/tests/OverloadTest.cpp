// Tests the dispatcher under more load than its target can serve.
#include "dispatch/Dispatcher.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <map>

using namespace magnoliamill;
using namespace magnoliamill::dispatch;
using namespace std::chrono_literals;

namespace {

const base::VmId Self("vm-1");
const base::ServiceId Service("art-vault");
const base::TargetInstanceId Instance("vault-a");

/// One keyless target of three slots behind a dispatcher.
struct OverloadFixture {
  Dispatcher Subject{{.Self = Self, .MayStart = nullptr}};
  base::MonoTime Now{std::chrono::seconds(100)};
  int Next = 0;

  OverloadFixture() {
    auto settings = std::make_shared<settings::View>();
    settings->Services[Service].Id = Service;
    settings->Services[Service].QueueLimitPerTarget = 128;
    Subject.setSettings(settings, Now);
    auto view = std::make_shared<ownership::View>();
    auto &target = view->Targets[Instance];
    target.Instance = Instance;
    target.Service = Service;
    target.Slots = 3;
    target.Dispatcher = Self;
    target.DispatchToken = {1, 1};
    Subject.setOwnership(view, Now);
  }

  RequestInfo request(const char *account, base::Duration left) {
    RequestInfo info;
    info.Id = base::RequestId(fmt::format("r{}", Next++));
    info.Service = Service;
    info.ClientAccount = base::ClientAccountId(account);
    info.Deadline = Now + left;
    return info;
  }
  DispatchActions answer(const base::RequestId &id, base::Duration latency) {
    AttemptOutcome outcome;
    outcome.Answered = true;
    outcome.MayHaveRun = true;
    outcome.Latency = latency;
    return Subject.finish(id, outcome, Now);
  }
  void warmUp(base::Duration latency) {
    for (int n = 0; n < 20; ++n) {
      auto started = Subject.submit(request("p", 5000ms), Now).Start;
      REQUIRE(started.size() == 1);
      answer(started.front().Request, latency);
    }
  }
};

} // namespace

TEST_CASE("A target that refuses for the deadline is not overloaded",
          "[dispatch]") {
  OverloadFixture fixture;
  fixture.warmUp(20ms);
  auto late = fixture.request("p", 30ms);
  REQUIRE(fixture.Subject.submit(late, fixture.Now).Start.size() == 1);
  AttemptOutcome refused;
  refused.Shed = true;
  refused.Code = base::ResultCode::NotRunTargetRefused;
  refused.RetryAfterMs = 1000;
  fixture.Now += 1ms;
  fixture.Subject.finish(late.Id, refused, fixture.Now);
  auto next = fixture.Subject.submit(fixture.request("p", 1000ms), fixture.Now);
  REQUIRE(next.Start.size() == 1);
}

TEST_CASE("A slow phase does not block requests with short deadlines",
          "[dispatch]") {
  OverloadFixture fixture;
  fixture.warmUp(500ms);
  auto actions =
      fixture.Subject.submit(fixture.request("p", 100ms), fixture.Now);
  REQUIRE(actions.Start.size() == 1);
}

TEST_CASE("Under overload", "[dispatch]") {
  // 3 slots at 20 ms serve 150 requests/s; 300 requests/s arrive for 10 s.
  OverloadFixture fixture;
  fixture.warmUp(20ms);
  std::map<base::RequestId, base::MonoTime> since;
  std::multimap<base::MonoTime, base::RequestId> running;
  std::vector<base::Duration> RefusedAfter;
  std::size_t answered = 0;
  auto record = [&](const DispatchActions &actions) {
    for (const auto &start : actions.Start)
      running.emplace(fixture.Now + 20ms, start.Request);
    for (const auto &end : actions.End)
      RefusedAfter.push_back(fixture.Now - since[end.Request]);
  };
  auto submit = [&](const char *account) {
    auto info = fixture.request(account, 1000ms);
    since[info.Id] = fixture.Now;
    record(fixture.Subject.submit(std::move(info), fixture.Now));
  };
  for (int ms = 0; ms < 10000; ++ms) {
    fixture.Now += 1ms;
    while (!running.empty() && running.begin()->first <= fixture.Now) {
      auto id = running.begin()->second;
      running.erase(running.begin());
      answered += fixture.Now < since[id] + 1000ms;
      record(fixture.answer(id, 20ms));
    }
    if (ms % 14 < 3)
      submit("flood");
    if (ms % 47 == 0)
      for (const char *account : {"p1", "p2", "p3", "p4"})
        submit(account);
    if (ms % 20 == 0)
      record(fixture.Subject.tick(fixture.Now));
  }
  SECTION("the target is kept busy with answers in time") {
    REQUIRE(static_cast<double>(answered) >= 0.95 * 1500);
  }
  SECTION("refused requests fail early, not at their deadline") {
    REQUIRE_FALSE(RefusedAfter.empty());
    std::ranges::sort(RefusedAfter);
    REQUIRE(RefusedAfter[RefusedAfter.size() * 99 / 100] <= 50ms);
  }
}
