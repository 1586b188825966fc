// Tests the leader's answers to targets and operators.
#include "LeaderFixture.h"

#include "base/Metrics.h"

#include <catch2/catch.hpp>
#include <prometheus/counter.h>

using namespace magnoliamill;
using namespace magnoliamill::fleet;
using namespace magnoliamill::fleet::tests;
using namespace std::chrono_literals;

TEST_CASE("A target is granted stripes by the answers to its heartbeats") {
  LeaderFixture fixture;
  fixture.assignAllStripes();
  REQUIRE(fixture.FakeControl.Answer.Rows);
  CHECK_FALSE(fixture.FakeControl.Answer.Rows->empty());
  CHECK(fixture.FakeControl.Answer.NextAddress == "10.0.0.9:90");
  CHECK(fixture.Published.holderOf("stock", 0)->Id == "a");

  SECTION("a late heartbeat renews nothing") {
    --fixture.Sequence;
    CHECK(fixture.sendHeartbeat("a", TargetState::Ready) == 200);
    CHECK_FALSE(fixture.FakeControl.Answer.Rows);
  }
  SECTION("an invalid heartbeat is refused and changes nothing") {
    CHECK(fixture.sendHeartbeat("a", TargetState::Ready, "bad") == 400);
    CHECK(fixture.Published.holderOf("stock", 0)->Id == "a");
  }
  // Counted as the release of all keys while the target still held them.
  SECTION("an incomplete heartbeat takes the target's keys") {
    const auto state = GENERATE(TargetState::Ready, TargetState::Leaving);
    fixture.FakeControl.Next.HasKeyLists = false;
    CHECK(fixture.sendHeartbeat("a", state) == 400);
    fixture.commit();
    fixture.Leader->tick(fixture.Now);
    const auto *holder = fixture.Published.holderOf("stock", 0);
    REQUIRE(holder);
    CHECK(holder->Id == "a");
    CHECK(fixture.Published.targets().begin()->second.State ==
          TargetState::Ready);
  }
  SECTION("without the leader's lease nothing is granted or changed") {
    fixture.HasLease = false;
    CHECK(fixture.sendHeartbeat("a", TargetState::Ready) == 503);
    CHECK(fixture.call(CallKind::ReadConfig, "", "") == 503);
    CHECK(fixture.call(CallKind::ChangeConfig, "", "") == 503);
  }
}

TEST_CASE("A departure is acknowledged when it is committed and published") {
  LeaderFixture fixture;
  fixture.assignAllStripes();
  const bool ByHeartbeat = GENERATE(true, false);
  if (ByHeartbeat)
    CHECK(fixture.sendHeartbeat("a", TargetState::Leaving) == 0);
  else
    CHECK(fixture.call(CallKind::Leave, "a", "") == 0);
  CHECK(fixture.Published.targets().begin()->second.State ==
        TargetState::Ready);
  fixture.commit();
  CHECK(fixture.Status == 200);
  CHECK(fixture.Published.targets().begin()->second.State ==
        TargetState::Leaving);
  CHECK(fixture.Published.holderOf("stock", 0) == nullptr);

  SECTION("the next leader keeps the departure") {
    fixture.startLeader(2);
    CHECK(fixture.Published.targets().begin()->second.State ==
          TargetState::Leaving);
    CHECK(fixture.sendHeartbeat("a", TargetState::Ready) == 200);
    CHECK(fixture.Published.targets().begin()->second.State ==
          TargetState::Leaving);
  }
}

TEST_CASE("A departure that was not committed is not acknowledged") {
  LeaderFixture fixture;
  fixture.assignAllStripes();
  fixture.sendHeartbeat("a", TargetState::Leaving);
  fixture.Proposals.front().Done(
      base::fail(base::ResultCode::ChangeOutcomeUnknown, ""));
  CHECK(fixture.Status == 503);
}

TEST_CASE("Proposals of a term that has ended are not acknowledged") {
  LeaderFixture fixture;
  fixture.assignAllStripes();
  SECTION("a departure") { fixture.sendHeartbeat("a", TargetState::Leaving); }
  SECTION("a change of configuration") {
    fixture.FakeControl.Items.Routes = {makeRoute(3, "stock")};
    fixture.call(CallKind::ChangeConfig, "", "");
  }
  fixture.startLeader(2);
  const auto published = fixture.CountPublished;
  for (auto &proposal : std::exchange(fixture.Proposals, {}))
    proposal.Done(base::ok());
  CHECK(fixture.Status == 503);
  CHECK(fixture.CountPublished == published);
}

TEST_CASE("Configuration is in force before it is acknowledged") {
  LeaderFixture fixture;
  fixture.FakeControl.Items.Routes = {makeRoute(3, "stock")};
  CHECK(fixture.call(CallKind::ChangeConfig, "", "") == 0);
  CHECK(fixture.Published.config().findRoute("r") == nullptr);
  fixture.commit();
  CHECK(fixture.Status == 200);
  CHECK(fixture.Published.config().findRoute("r") != nullptr);

  SECTION("an older change is acknowledged and changes nothing") {
    fixture.FakeControl.Items.Routes = {makeRoute(2, "stock")};
    fixture.FakeControl.Items.Routes[0].Host = "other";
    fixture.call(CallKind::ChangeConfig, "", "");
    fixture.commit();
    CHECK(fixture.Status == 200);
    CHECK(fixture.State.config().findRoute("r")->Host == "h");
  }
  SECTION("a change with an invalid item is refused completely") {
    fixture.FakeControl.Items.Routes = {makeRoute(9, "stock"),
                                        makeRoute(9, "unknown")};
    CHECK(fixture.call(CallKind::ChangeConfig, "", "") == 400);
    CHECK(fixture.Proposals.empty());
    CHECK(fixture.call(CallKind::ChangeConfig, "", "bad") == 400);
  }
  SECTION("the configuration is read back") {
    CHECK(fixture.call(CallKind::ReadConfig, "", "") == 200);
    CHECK(fixture.Text == "1");
  }
}

TEST_CASE("A name in a path that is not UTF-8 is refused") {
  LeaderFixture fixture;
  fixture.FakeControl.LeaveStart = 5;
  for (const auto kind : {CallKind::Heartbeat, CallKind::Leave,
                          CallKind::StartEvacuation, CallKind::EndEvacuation})
    CHECK(fixture.call(kind, "i\xFF", "ok") == 400);
  CHECK(fixture.Proposals.empty());
  CHECK(fixture.Published.targets().empty());
}

// An order was refused for good because of a change that failed to commit.
TEST_CASE("Two changes at once leave a route without its service, or refuse a "
          "valid order for good") {
  LeaderFixture fixture;
  routing::Service removed;
  removed.Name = "stock";
  removed.Version = 9;
  removed.IsRemoved = true;
  const bool IsRouteFirst = GENERATE(true, false);
  const routing::ConfigItems route{{makeRoute(3, "stock")}, {}, {}};
  const routing::ConfigItems removal{{}, {removed}, {}};
  fixture.FakeControl.Items = IsRouteFirst ? route : removal;
  CHECK(fixture.call(CallKind::ChangeConfig, "", "") == 0);
  fixture.FakeControl.Items = IsRouteFirst ? removal : route;
  CHECK(fixture.call(CallKind::ChangeConfig, "", "") == 503);
  CHECK(fixture.Proposals.size() == 1);

  SECTION("when the first is committed") {
    fixture.commit();
    CHECK(fixture.call(CallKind::ChangeConfig, "", "") == 400);
  }
  SECTION("when the first is not committed") {
    std::exchange(fixture.Proposals, {})
        .front()
        .Done(base::fail(base::ResultCode::ProposalDropped, ""));
    CHECK(fixture.call(CallKind::ChangeConfig, "", "") == 0);
  }
}

TEST_CASE("A change is accepted that is valid only with one that fails to "
          "commit") {
  LeaderFixture fixture;
  routing::Service added;
  added.Name = "new";
  added.Version = 9;
  fixture.FakeControl.Items = {{}, {added}, {}};
  CHECK(fixture.call(CallKind::ChangeConfig, "", "") == 0);
  fixture.FakeControl.Items = {{makeRoute(3, "new")}, {}, {}};
  CHECK(fixture.call(CallKind::ChangeConfig, "", "") == 503);
  SECTION("but not for good") {
    fixture.commit();
    CHECK(fixture.call(CallKind::ChangeConfig, "", "") == 0);
  }
  SECTION("and is invalid then") {
    std::exchange(fixture.Proposals, {})
        .front()
        .Done(base::fail(base::ResultCode::ProposalDropped, ""));
    CHECK(fixture.call(CallKind::ChangeConfig, "", "") == 400);
  }
}

TEST_CASE("One writer's heartbeat ends the holds of another process") {
  LeaderFixture fixture;
  fixture.assignAllStripes();
  auto &claim = fixture.FakeControl.Next.Sender;
  claim = {{"b", 9}, 1, "a:80", "stock", "dc-a", 3, TargetState::Ready};
  const auto advance = [&](base::Duration time) {
    fixture.Now += time;
    fixture.Leader->tick(fixture.Now);
    fixture.commit();
  };
  const auto owner = [&] {
    return fixture.State.keys().find("stock")->ownerOf(0)->Id;
  };

  SECTION("whose service is not in the configuration") {
    claim.Service = "unknown";
    CHECK(fixture.call(CallKind::Heartbeat, "b", "") == 400);
  }
  SECTION("which has its address") {
    CHECK(fixture.call(CallKind::Heartbeat, "b", "") == 200);
    CHECK_FALSE(fixture.FakeControl.Answer.Rows);
  }
  SECTION("which has its id and start, but another address") {
    claim = {{"a", 5}, 999, "b:80", "stock", "dc-a", 3, TargetState::Ready};
    CHECK(fixture.call(CallKind::Heartbeat, "a", "") == 400);
  }
  SECTION("which has its id and start, but another service") {
    routing::Service other;
    other.Name = "other";
    other.Version = 1;
    fixture.State.apply(routing::ConfigItems{{}, {other}, {}}, 2);
    claim = {{"a", 5}, 999, "a:80", "other", "dc-a", 3, TargetState::Ready};
    CHECK(fixture.call(CallKind::Heartbeat, "a", "") == 400);
  }
  advance(100ms);
  CHECK(owner() == "a");
  CHECK(fixture.Published.holderOf("stock", 0)->Id == "a");
  CHECK(fixture.sendHeartbeat("a", TargetState::Ready) == 200);
  REQUIRE(fixture.FakeControl.Answer.Rows);
  CHECK_FALSE(fixture.FakeControl.Answer.Rows->empty());
}

TEST_CASE("A process at the address of a silent one waits for longer than the "
          "hold") {
  LeaderFixture fixture;
  fixture.assignAllStripes();
  const auto silent = fixture.Now;
  const auto owner = [&] {
    return fixture.State.keys().find("stock")->ownerOf(0)->Id;
  };
  std::uint64_t sequence = 0;
  while (fixture.Now < silent + 5s) {
    fixture.FakeControl.Next.Sender = {
        {"b", 9}, ++sequence, "a:80", "stock", "dc-a", 3, TargetState::Ready};
    CHECK(fixture.call(CallKind::Heartbeat, "b", "") == 200);
    fixture.Now += 100ms;
    fixture.Leader->tick(fixture.Now);
    fixture.commit();
    if (fixture.Now < silent + 4s)
      CHECK(owner() == "a");
  }
  CHECK(owner() == "b");
  CHECK(fixture.Published.targets().size() == 1);
}

TEST_CASE("A departure that a new leader acknowledges is forgotten") {
  LeaderFixture fixture;
  fixture.assignAllStripes();
  // The view of a core that has just started is empty.
  fixture.Published = View();
  fixture.startLeader(2);
  fixture.FakeControl.LeaveStart = 5;
  CHECK(fixture.call(CallKind::Leave, "a", "") == 0);

  SECTION("and a late heartbeat brings the target back") {
    fixture.commit();
    CHECK(fixture.Status == 200);
    CHECK(fixture.sendHeartbeat("a", TargetState::Ready) == 200);
    fixture.Leader->tick(fixture.Now);
    CHECK(fixture.Published.targets().begin()->second.State ==
          TargetState::Leaving);
    CHECK(fixture.Published.holderOf("stock", 0) == nullptr);

    SECTION("also at the leader after it") {
      fixture.Published = View();
      fixture.startLeader(3);
      fixture.sendHeartbeat("a", TargetState::Ready);
      fixture.Leader->tick(fixture.Now);
      CHECK(fixture.Published.targets().begin()->second.State ==
            TargetState::Leaving);
    }
  }
  SECTION("and one that was not committed is not acknowledged") {
    fixture.Proposals.front().Done(
        base::fail(base::ResultCode::ProposalDropped, ""));
    CHECK(fixture.Status == 503);
  }
  SECTION("but not that of a later process") {
    fixture.commit();
    fixture.FakeControl.Next.Sender = {
        {"a", 6}, 1, "a:80", "stock", "dc-a", 3, TargetState::Ready};
    fixture.call(CallKind::Heartbeat, "a", "");
    fixture.Leader->tick(fixture.Now);
    CHECK(fixture.Published.targets().begin()->second.State ==
          TargetState::Ready);
  }
}

TEST_CASE("A leave call without a start time is acknowledged for an unknown "
          "target") {
  LeaderFixture fixture;
  CHECK(fixture.call(CallKind::Leave, "nobody", "") == 400);
  CHECK(fixture.Proposals.empty());
}

TEST_CASE("A delayed heartbeat of an earlier process shuts a later one out") {
  LeaderFixture fixture;
  fixture.assignAllStripes();
  // The target's heartbeats are lost for longer than it counts as alive.
  fixture.Now += 3s;
  SECTION("of its own id") {
    fixture.FakeControl.Next.Sender = {
        {"a", 4}, 999, "a:80", "stock", "dc-a", 3, TargetState::Ready};
  }
  SECTION("of another id at its address") {
    fixture.FakeControl.Next.Sender = {
        {"b", 4}, 999, "a:80", "stock", "dc-a", 3, TargetState::Ready};
  }
  SECTION("at a new leader that starts with the view") {
    fixture.FakeControl.Next.Sender = {
        {"a", 4}, 999, "a:80", "stock", "dc-a", 3, TargetState::Ready};
    fixture.startLeader(2);
    fixture.Now += 3s;
  }
  const auto id = fixture.FakeControl.Next.Sender.Instance.Id;
  CHECK(fixture.call(CallKind::Heartbeat, id, "") == 200);
  CHECK_FALSE(fixture.FakeControl.Answer.Rows);
  CHECK(fixture.sendHeartbeat("a", TargetState::Ready) == 200);
  REQUIRE(fixture.FakeControl.Answer.Rows);
  CHECK_FALSE(fixture.FakeControl.Answer.Rows->empty());
}

// A target that was back under its own id got no keys for three heartbeat
// intervals and then waited for its own former hold.
TEST_CASE("A target that starts again under its id waits for its own keys") {
  LeaderFixture fixture;
  fixture.assignAllStripes();
  const auto token = fixture.State.keys().find("stock")->tokenOf(0);
  const auto former = fixture.Now;
  fixture.Now += 500ms;
  auto &sender = fixture.FakeControl.Next.Sender;
  sender = {{"a", 9}, 1, "a:80", "stock", "dc-a", 3, TargetState::Ready};
  CHECK(fixture.call(CallKind::Heartbeat, "a", "") == 0);
  fixture.commit();
  CHECK(fixture.Status == 200);
  REQUIRE(fixture.FakeControl.Answer.Rows);
  CHECK_FALSE(fixture.FakeControl.Answer.Rows->empty());
  CHECK(fixture.FakeControl.Answer.Rows->front().Token > token);
  fixture.Leader->tick(fixture.Now);
  CHECK(fixture.Published.targets().size() == 1);
  CHECK(fixture.Published.holderOf("stock", 0)->StartedAtMs == 9);

  const auto owner = [&] {
    return fixture.State.keys().find("stock")->ownerOf(0)->Id;
  };
  // Plays a second target until \p end. The first one sends nothing.
  const auto RunOther = [&](base::MonoTime end) {
    while (fixture.Now < end) {
      fixture.sendHeartbeat("b", TargetState::Ready);
      fixture.Now += 100ms;
      fixture.Leader->tick(fixture.Now);
      fixture.commit();
    }
  };
  SECTION("but a release passes them to others after the former hold only") {
    RunOther(fixture.Now + 100ms);
    sender = {{"a", 9}, 2, "a:80", "stock", "dc-a", 3, TargetState::Leaving};
    CHECK(fixture.call(CallKind::Heartbeat, "a", "") == 0);
    fixture.commit();
    SECTION("at the same leader") {}
    SECTION("at the next leader") {
      fixture.startLeader(2);
      sender.Sequence = 3;
      sender.Instance.Id = "a";
      fixture.call(CallKind::Heartbeat, "a", "");
    }
    RunOther(former + 3900ms);
    CHECK(owner() == "a");
    RunOther(former + 6s);
    CHECK(owner() == "b");
  }
  SECTION("and an answer that was lost is repeated by the next one") {
    sender.Sequence = 2;
    CHECK(fixture.call(CallKind::Heartbeat, "a", "") == 200);
    REQUIRE(fixture.FakeControl.Answer.Rows);
    CHECK_FALSE(fixture.FakeControl.Answer.Rows->empty());
  }
}

TEST_CASE("A target that starts again waits if its first commit fails") {
  LeaderFixture fixture;
  fixture.assignAllStripes();
  auto &sender = fixture.FakeControl.Next.Sender;
  sender = {{"a", 9}, 1, "a:80", "stock", "dc-a", 3, TargetState::Ready};
  CHECK(fixture.call(CallKind::Heartbeat, "a", "") == 0);
  std::exchange(fixture.Proposals, {})
      .front()
      .Done(base::fail(base::ResultCode::ProposalDropped, ""));
  CHECK(fixture.Status == 200);
  REQUIRE(fixture.FakeControl.Answer.Rows);
  CHECK(fixture.FakeControl.Answer.Rows->empty());
  fixture.Leader->tick(fixture.Now);
  fixture.commit();
  sender.Sequence = 2;
  CHECK(fixture.call(CallKind::Heartbeat, "a", "") == 200);
  REQUIRE(fixture.FakeControl.Answer.Rows);
  CHECK_FALSE(fixture.FakeControl.Answer.Rows->empty());
}

// A target that came back under a new id at its old address was answered
// without keys for three heartbeat intervals, and its keys waited for the hold
// of a process that had ended.
TEST_CASE("A target that answers at its address waits for the hold of the one "
          "before it") {
  LeaderFixture fixture;
  fixture.assignAllStripes();
  fixture.Now += 500ms;
  auto &sender = fixture.FakeControl.Next.Sender;
  sender = {{"b", 9}, 1, "a:80", "stock", "dc-a", 3, TargetState::Ready};

  SECTION("and is served at once if its address names it") {
    fixture.Answering["a:80"] = "b";
    CHECK(fixture.call(CallKind::Heartbeat, "b", "") == 0);
    fixture.commit();
    CHECK(fixture.Status == 200);
    REQUIRE(fixture.FakeControl.Answer.Rows);
    CHECK_FALSE(fixture.FakeControl.Answer.Rows->empty());
    fixture.Leader->tick(fixture.Now);
    CHECK(fixture.Published.targets().size() == 1);
    CHECK(fixture.Published.holderOf("stock", 0)->Id == "b");
    // A delayed heartbeat of the ended one changes nothing.
    CHECK(fixture.sendHeartbeat("a", TargetState::Ready) == 200);
    CHECK_FALSE(fixture.FakeControl.Answer.Rows);
  }
  SECTION("and frees the keys if it has another service") {
    routing::Service other;
    other.Name = "other";
    other.Version = 1;
    fixture.State.apply(routing::ConfigItems{{}, {other}, {}}, 2);
    fixture.sendHeartbeat("c", TargetState::Ready);
    sender = {{"b", 9}, 1, "a:80", "other", "dc-a", 3, TargetState::Ready};
    fixture.Answering["a:80"] = "b";
    CHECK(fixture.call(CallKind::Heartbeat, "b", "") == 200);
    fixture.Leader->tick(fixture.Now);
    fixture.commit();
    CHECK(fixture.State.keys().find("stock")->ownerOf(0)->Id == "c");
  }
  SECTION("but not if another process answers there, or none") {
    if (GENERATE(true, false))
      fixture.Answering["a:80"] = GENERATE("a", "x");
    CHECK(fixture.call(CallKind::Heartbeat, "b", "") == 200);
    CHECK_FALSE(fixture.FakeControl.Answer.Rows);
    CHECK(fixture.CountChecks == 1);
    // An address is checked once in a heartbeat interval.
    ++sender.Sequence;
    fixture.call(CallKind::Heartbeat, "b", "");
    CHECK(fixture.CountChecks == 1);
    CHECK(fixture.sendHeartbeat("a", TargetState::Ready) == 200);
    REQUIRE(fixture.FakeControl.Answer.Rows);
    CHECK_FALSE(fixture.FakeControl.Answer.Rows->empty());
  }
}

TEST_CASE("A stripe of a restart that another writer announced passes on with "
          "an address") {
  LeaderFixture fixture;
  fixture.assignAllStripes();
  const auto LastGrant = fixture.Now;
  auto &sender = fixture.FakeControl.Next.Sender;
  // The restart of "a" is announced in its name, at another address.
  sender = {{"a", 9}, 1, "x:80", "stock", "dc-a", 3, TargetState::Ready};
  fixture.call(CallKind::Heartbeat, "a", "");
  fixture.commit();
  sender = {{"b", 12}, 1, "x:80", "stock", "dc-a", 3, TargetState::Ready};
  fixture.Answering["x:80"] = "b";
  fixture.call(CallKind::Heartbeat, "b", "");
  const auto owner = [&] {
    return fixture.State.keys().find("stock")->ownerOf(0)->Id;
  };
  while (fixture.Now < LastGrant + 3900ms) {
    fixture.Leader->tick(fixture.Now);
    fixture.commit();
    CHECK(owner() == "a");
    fixture.Now += 100ms;
    ++sender.Sequence;
    fixture.call(CallKind::Heartbeat, "b", "");
  }
  fixture.Now += 1s;
  ++sender.Sequence;
  fixture.call(CallKind::Heartbeat, "b", "");
  fixture.Leader->tick(fixture.Now);
  fixture.commit();
  CHECK(owner() == "b");
}

// After all cores were killed, one foreign heartbeat won the address of a
// target that held keys.
TEST_CASE("A new leader without a view takes the first caller's claim before "
          "the committed keys") {
  LeaderFixture fixture;
  fixture.ChecksAddresses = false;
  fixture.assignAllStripes();
  fixture.loseView();
  auto &sender = fixture.FakeControl.Next.Sender;

  SECTION("at the address of a holder") {
    for (std::uint64_t sequence = 1; sequence < 9; ++sequence) {
      sender = {{"f", 9}, sequence,          "a:80", "stock", "dc-a",
                3,        TargetState::Ready};
      CHECK(fixture.call(CallKind::Heartbeat, "f", "") == 200);
      CHECK(fixture.sendHeartbeat("a", TargetState::Ready) == 200);
      REQUIRE(fixture.FakeControl.Answer.Rows);
      CHECK_FALSE(fixture.FakeControl.Answer.Rows->empty());
      fixture.Now += 500ms;
      fixture.Leader->tick(fixture.Now);
      fixture.commit();
    }
    CHECK(fixture.Published.targets().size() == 1);
    CHECK(fixture.Published.holderOf("stock", 0)->Id == "a");
  }
  SECTION("of an earlier instance of a holder") {
    sender = {{"a", 4}, 999, "a:80", "stock", "dc-a", 3, TargetState::Ready};
    CHECK(fixture.call(CallKind::Heartbeat, "a", "") == 200);
    CHECK_FALSE(fixture.FakeControl.Answer.Rows);
    CHECK(fixture.Published.targets().empty());
  }
}

// Leave calls for 5,000 ids that no target has pushed out an acknowledged
// departure, and a late heartbeat brought its target back.
TEST_CASE("A flood of leave calls pushes out an acknowledged departure") {
  LeaderFixture fixture;
  fixture.assignAllStripes();
  fixture.FakeControl.LeaveStart = 5;
  fixture.call(CallKind::Leave, "a", "");
  fixture.commit();
  REQUIRE(fixture.Status == 200);
  std::size_t accepted = 0;
  const auto flood = [&](std::string_view prefix, std::size_t count) {
    for (std::size_t n = 0; n < count; ++n) {
      fixture.call(CallKind::Leave, std::string(prefix) + std::to_string(n),
                   "");
      fixture.commit();
      CHECK((fixture.Status == 200 || fixture.Status == 503));
      accepted += fixture.Status == 200 ? 1 : 0;
    }
  };
  flood("x", 5000);
  CHECK(accepted == fixture.Config.MaxUnknownDepartures - 1);
  CHECK(fixture.State.hasDeparted({"a", 5}));
  CHECK(fixture.State.hasDeparted({"x0", 5}));

  SECTION("and a late heartbeat brings the target back") {
    fixture.sendHeartbeat("a", TargetState::Ready);
    fixture.Leader->tick(fixture.Now);
    CHECK(fixture.Published.targets().begin()->second.State ==
          TargetState::Leaving);
  }
  SECTION("or keeps a target that is known from leaving") {
    fixture.sendHeartbeat("b", TargetState::Ready);
    CHECK(fixture.sendHeartbeat("b", TargetState::Leaving) == 0);
    fixture.commit();
    CHECK(fixture.Status == 200);
  }
  SECTION("or keeps others from leaving for good") {
    fixture.Now += fixture.Config.DepartureTime + 1s;
    accepted = 0;
    flood("y", 100);
    CHECK(accepted == 100);
    CHECK(fixture.State.departures().size() <=
          fixture.Config.MaxUnknownDepartures);
  }
  SECTION("while the target still calls") {
    for (int n = 0; n < 10; ++n) {
      fixture.Now += fixture.Config.DepartureTime / 5;
      fixture.sendHeartbeat("a", TargetState::Ready);
      flood("z" + std::to_string(n) + "-", 300);
    }
    CHECK(fixture.State.hasDeparted({"a", 5}));
  }
}

TEST_CASE("An id of any length is kept") {
  LeaderFixture fixture;
  fixture.FakeControl.LeaveStart = 5;
  CHECK(fixture.call(CallKind::Leave, std::string(257, 'x'), "") == 400);
  CHECK(fixture.Proposals.empty());
}

TEST_CASE("Each heartbeat of a target that warms up is published") {
  LeaderFixture it;
  routing::Service service = *it.State.config().findService("stock");
  ++service.Version;
  service.WarmUpPerSecond = 3.5;
  it.State.apply(routing::ConfigItems{{}, {service}, {}}, ++it.Index);
  constexpr auto Interval = 870ms;
  const auto beat = [&](base::Duration left) {
    it.Now += Interval;
    it.WarmUntil = it.Now + left;
    it.sendHeartbeat("a", TargetState::Ready);
    it.Leader->tick(it.Now);
    const auto *target = it.Published.findTarget({"a", 5});
    return target ? target->WarmUntil - it.Now : 0ms;
  };
  beat(30s);
  const auto before = it.CountPublished;
  base::Duration left = 30s;
  SECTION("although the time left varies only by the way of the heartbeats") {
    for (int n = 0; n < 20; ++n) {
      left -= Interval;
      CHECK(beat(left + (n % 2 ? 40ms : -40ms)) >= left);
    }
    CHECK(it.CountPublished == before);
  }
  SECTION("although it only stays cold, or its end passes at the receivers") {
    for (int n = 0; n < 100; ++n)
      CHECK(beat(30s) >= 2 * Interval);
    CHECK(it.CountPublished - before <= 4);
  }
  SECTION("or one that becomes cold again waits for the next tick") {
    beat(0ms);
    REQUIRE(it.CountPublished == before + 1);
    it.Now += Interval;
    it.WarmUntil = it.Now + 20s;
    it.sendHeartbeat("a", TargetState::Ready);
    CHECK(it.CountPublished == before + 2);
    CHECK(it.Published.findTarget({"a", 5})->WarmUntil >= it.WarmUntil);
  }
}

// Deployments without the setting keep their placement by count.
TEST_CASE("Reports on the load of stripes count only if the setting is on") {
  const bool IsOn = GENERATE(false, true);
  LeaderFixture fixture;
  fixture.Config.BalancesByLoad = IsOn;
  fixture.startLeader(2);
  fixture.assignAllStripes();
  const auto &used =
      base::counter("mill_stripe_load_reports_total", "", {{"result", "used"}});
  const auto before = used.Value();
  const auto count = fixture.Published.countStripes("stock");
  CHECK(count > 0);
  fixture.Leader->onStripeLoads({{"stock", count, 1s, 10, {}}}, fixture.Now);
  CHECK(used.Value() == before + (IsOn ? 1 : 0));
}
