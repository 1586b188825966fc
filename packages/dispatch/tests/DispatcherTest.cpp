// Tests the dispatcher's admission, fairness, limits, retries and draining.
#include "dispatch/Dispatcher.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <map>
#include <set>

using namespace magnoliamill;
using namespace magnoliamill::dispatch;
using namespace std::chrono_literals;

namespace {

const base::VmId Self("vm-1");
const base::ServiceId Keyed("press-orders");
const base::ServiceId Keyless("art-vault");

settings::ViewPtr makeSettings() {
  auto view = std::make_shared<settings::View>();
  for (const auto &id : {Keyed, Keyless}) {
    settings::ServiceView service;
    service.Id = id;
    service.Keyed = id == Keyed;
    service.Slots = service.Keyed ? 4 : 0;
    service.QueueLimitPerTarget = 8;
    view->Services[id] = service;
  }
  return view;
}

std::shared_ptr<ownership::View> makeOwnership() {
  auto view = std::make_shared<ownership::View>();
  auto add = [&](const char *instance, const base::ServiceId &service) {
    ownership::TargetView target;
    target.Instance = base::TargetInstanceId(instance);
    target.Service = service;
    target.Slots = 3;
    target.Dispatcher = Self;
    target.DispatchToken = {1, 1};
    view->Targets[target.Instance] = target;
  };
  add("press-a", Keyed);
  add("vault-a", Keyless);
  add("vault-b", Keyless);
  for (std::uint64_t n = 0; n < 4; ++n) {
    ownership::SlotView slot;
    slot.Owner = base::TargetInstanceId("press-a");
    slot.Token = {1, 10 + n};
    view->Slots[Keyed].push_back(slot);
  }
  return view;
}

struct Fixture {
  Dispatcher Subject{{.Self = Self, .MayStart = nullptr}};
  base::MonoTime Now{std::chrono::seconds(100)};
  int Next = 0;

  Fixture() {
    Subject.setSettings(makeSettings(), Now);
    Subject.setOwnership(makeOwnership(), Now);
  }

  RequestInfo request(const base::ServiceId &service,
                      const char *account = "p") {
    RequestInfo info;
    info.Id = base::RequestId(fmt::format("r{}", Next++));
    info.Service = service;
    info.ClientAccount = base::ClientAccountId(account);
    if (service == Keyed)
      info.Slot = 1;
    info.Deadline = Now + 2000ms;
    return info;
  }

  DispatchActions answer(const base::RequestId &id) {
    AttemptOutcome outcome;
    outcome.Answered = true;
    outcome.MayHaveRun = true;
    outcome.Latency = 5ms;
    return Subject.finish(id, outcome, Now);
  }

  /// Answers requests one after the other until the target's limit has grown.
  void warmUp(const base::ServiceId &service) {
    for (int i = 0; i < 20; ++i) {
      auto started = Subject.submit(request(service), Now).Start;
      REQUIRE(started.size() == 1);
      answer(started.front().Request);
    }
  }
};

} // namespace

TEST_CASE("A target never runs more than its slots", "[dispatch]") {
  Fixture fixture;
  SECTION("a cold target starts with one request at a time") {
    REQUIRE(fixture.Subject.submit(fixture.request(Keyed), fixture.Now)
                .Start.size() == 1);
    REQUIRE(fixture.Subject.submit(fixture.request(Keyed), fixture.Now)
                .Start.empty());
  }
  SECTION("a warm one gets all its slots and not one more") {
    fixture.warmUp(Keyed);
    std::size_t started = 0;
    for (int i = 0; i < 8; ++i)
      started += fixture.Subject.submit(fixture.request(Keyed), fixture.Now)
                     .Start.size();
    REQUIRE(started == 3);
    REQUIRE(fixture.Subject.countInFlight(base::TargetInstanceId("press-a")) ==
            3);
    REQUIRE(fixture.Subject.countQueued() == 5);
  }
}

TEST_CASE("A request that cannot make its deadline is refused at once",
          "[dispatch]") {
  Fixture fixture;
  fixture.warmUp(Keyed);
  for (int i = 0; i < 8; ++i)
    fixture.Subject.submit(fixture.request(Keyed), fixture.Now);
  auto late = fixture.request(Keyed);
  late.Deadline = fixture.Now + 6ms;
  auto actions = fixture.Subject.submit(late, fixture.Now);
  REQUIRE(actions.End.size() == 1);
  REQUIRE(actions.End[0].Failure.Code == base::ResultCode::NotRunDeadline);
  REQUIRE(actions.End[0].Failure.RetryAfterMs > 0);
}

TEST_CASE("A flooding client account does not take the others' share",
          "[dispatch]") {
  Fixture fixture;
  fixture.warmUp(Keyed);
  std::map<std::string, int> served;
  std::vector<base::RequestId> running;
  std::map<base::RequestId, std::string> ClientAccountOf;
  std::set<base::RequestId> refused;
  auto record = [&](const DispatchActions &actions) {
    for (const auto &start : actions.Start)
      running.push_back(start.Request);
    for (const auto &end : actions.End)
      refused.insert(end.Request);
  };
  for (int round = 0; round < 300; ++round) {
    for (int i = 0; i < 10; ++i) {
      auto info = fixture.request(Keyed, "flood");
      ClientAccountOf[info.Id] = "flood";
      record(fixture.Subject.submit(info, fixture.Now));
    }
    for (const char *account : {"quiet-1", "quiet-2"}) {
      auto info = fixture.request(Keyed, account);
      ClientAccountOf[info.Id] = account;
      record(fixture.Subject.submit(info, fixture.Now));
    }
    fixture.Now += 5ms;
    for (const auto &id : std::exchange(running, {})) {
      ++served[ClientAccountOf[id]];
      record(fixture.answer(id));
    }
  }
  // Three requests are served per round and three client accounts send
  // requests, so each gets one.
  double sum = 0;
  double squares = 0;
  for (const auto &[account, n] : served)
    if (!account.empty() && account != "p") {
      sum += n;
      squares += static_cast<double>(n) * n;
    }
  REQUIRE(sum * sum / (3 * squares) >= 0.98);
}

TEST_CASE("Retries", "[dispatch]") {
  Fixture fixture;
  AttemptOutcome outcome;
  SECTION("a non-idempotent request that may have run is not tried again") {
    auto id = fixture.Subject.submit(fixture.request(Keyless), fixture.Now)
                  .Start[0]
                  .Request;
    outcome.MayHaveRun = true;
    auto actions = fixture.Subject.finish(id, outcome, fixture.Now);
    REQUIRE(actions.Start.empty());
    REQUIRE(actions.End[0].Failure.Code ==
            base::ResultCode::OutcomeUnknownTargetLost);
  }
  SECTION("the caller gets a code that claims no more than is known") {
    auto id = fixture.Subject.submit(fixture.request(Keyless), fixture.Now)
                  .Start[0]
                  .Request;
    outcome.MayHaveRun = true;
    outcome.Code = base::ResultCode::TargetTimeout;
    auto actions = fixture.Subject.finish(id, outcome, fixture.Now);
    REQUIRE(actions.End[0].Failure.Code ==
            base::ResultCode::OutcomeUnknownTargetLost);
  }
  SECTION("one that certainly did not run goes to the other target") {
    auto first =
        fixture.Subject.submit(fixture.request(Keyless), fixture.Now).Start[0];
    outcome.Shed = true;
    auto actions = fixture.Subject.finish(first.Request, outcome, fixture.Now);
    REQUIRE(actions.Start.size() == 1);
    REQUIRE(actions.Start[0].Request == first.Request);
    REQUIRE(actions.Start[0].Target != first.Target);
  }
  SECTION("are limited by the budget when everything fails") {
    int attempts = 0;
    constexpr int Requests = 400;
    for (int i = 0; i < Requests; ++i) {
      auto started =
          fixture.Subject.submit(fixture.request(Keyless), fixture.Now).Start;
      while (!started.empty()) {
        ++attempts;
        outcome.Shed = true;
        auto id = started.front().Request;
        started = fixture.Subject.finish(id, outcome, fixture.Now).Start;
        fixture.Now += 25ms;
      }
    }
    // 10 % plus the few retries that may be saved.
    REQUIRE(attempts <= Requests + Requests / 10 + 10);
  }
}

TEST_CASE("Draining a slot", "[dispatch]") {
  Fixture fixture;
  fixture.warmUp(Keyed);
  base::SlotId slot{Keyed, 1};
  auto running = fixture.Subject.submit(fixture.request(Keyed), fixture.Now)
                     .Start[0]
                     .Request;
  REQUIRE(fixture.Subject.drainSlot(slot, {1, 11}).DrainedSlots.empty());
  SECTION("starts nothing new, requests wait") {
    auto actions = fixture.Subject.submit(fixture.request(Keyed), fixture.Now);
    REQUIRE(actions.Start.empty());
    REQUIRE(actions.End.empty());
    SECTION("and are sent back to be routed again when the slot has moved") {
      auto moved = makeOwnership();
      moved->Slots[Keyed][1].Owner = base::TargetInstanceId("elsewhere");
      moved->Slots[Keyed][1].Token = {1, 99};
      auto after = fixture.Subject.setOwnership(moved, fixture.Now);
      REQUIRE(after.End.size() == 1);
      REQUIRE(after.End[0].Failure.Code == base::ResultCode::NotRunNotOwner);
    }
  }
  SECTION("is reported once, when the last attempt has ended") {
    auto actions = fixture.answer(running);
    REQUIRE(actions.DrainedSlots.size() == 1);
    REQUIRE(actions.DrainedSlots[0].Token == base::Token{1, 11});
    REQUIRE(fixture.Subject.tick(fixture.Now).DrainedSlots.empty());
  }
}

TEST_CASE("A caller that disconnects", "[dispatch]") {
  Fixture fixture;
  auto first = fixture.request(Keyed);
  auto second = fixture.request(Keyed);
  fixture.Subject.submit(first, fixture.Now);
  fixture.Subject.submit(second, fixture.Now);
  SECTION("has its queued request removed") {
    fixture.Subject.cancel(second.Id, fixture.Now);
    REQUIRE(fixture.Subject.countQueued() == 0);
  }
  SECTION("has its running request aborted") {
    auto actions = fixture.Subject.cancel(first.Id, fixture.Now);
    REQUIRE(actions.Abort == std::vector{first.Id});
  }
}

TEST_CASE("Failing targets", "[dispatch]") {
  Fixture fixture;
  AttemptOutcome failed;
  failed.MayHaveRun = true;
  auto fail = [&](const char *instance) {
    // Sends until the named target has failed often enough to be ejected.
    for (int i = 0; i < 40; ++i) {
      auto actions =
          fixture.Subject.submit(fixture.request(Keyless), fixture.Now);
      if (actions.Start.empty())
        return;
      auto start = actions.Start[0];
      if (start.Target.Value == instance)
        fixture.Subject.finish(start.Request, failed, fixture.Now);
      else
        fixture.answer(start.Request);
    }
  };
  SECTION("one is skipped while the other serves") {
    fail("vault-a");
    fail("vault-a");
    for (int i = 0; i < 10; ++i) {
      auto start = fixture.Subject.submit(fixture.request(Keyless), fixture.Now)
                       .Start[0];
      REQUIRE(start.Target.Value == "vault-b");
      fixture.answer(start.Request);
    }
  }
}

TEST_CASE("A target gets no more requests than the rate that it named",
          "[dispatch]") {
  constexpr double RateLimit = 5;
  constexpr int Seconds = 20;
  constexpr std::ptrdiff_t MostAllowed =
      35; // 1.5 times the limit in 4 s, and 5
  Fixture fixture;
  fixture.warmUp(Keyed);
  AttemptOutcome answered;
  answered.Answered = true;
  answered.MayHaveRun = true;
  answered.Latency = 20ms;
  answered.RateLimit = RateLimit;
  std::vector<base::MonoTime> started;
  int refused = 0;
  const auto take = [&](DispatchActions actions) {
    refused += static_cast<int>(actions.End.size());
    // The target answers at once.
    for (; !actions.Start.empty(); started.push_back(fixture.Now))
      actions = fixture.Subject.finish(actions.Start.front().Request, answered,
                                       fixture.Now);
  };
  take(fixture.Subject.submit(fixture.request(Keyed), fixture.Now));
  // 50 requests a second, and the timer that the dispatcher asks for.
  for (const auto end = fixture.Now + std::chrono::seconds(Seconds);
       fixture.Now < end; fixture.Now += 20ms) {
    if (fixture.Subject.nextWake(fixture.Now - 20ms) <= fixture.Now)
      take(fixture.Subject.tick(fixture.Now));
    take(fixture.Subject.submit(fixture.request(Keyed), fixture.Now));
  }
  std::ptrdiff_t most = 0;
  for (auto it = started.begin(); it != started.end(); ++it)
    most = std::max(most, std::ranges::lower_bound(started, *it + 4s) - it);
  CHECK(most <= MostAllowed);
  CHECK(static_cast<double>(started.size()) >= 0.9 * RateLimit * Seconds);
  CHECK(refused > 0);
}
