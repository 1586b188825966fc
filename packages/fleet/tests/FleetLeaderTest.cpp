// Tests the leader's answers to targets and operators.
#include "fleet/FleetLeader.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace magnoliamill;
using namespace magnoliamill::fleet;
using namespace std::chrono_literals;

namespace {

/// A format that reads prepared values, whatever the body, unless that is
/// "bad".
struct FakeFormat {
  ControlFormat makeFormat() {
    ControlFormat format;
    format.ReadHeartbeat =
        [this](std::string_view id,
               std::string_view body) -> base::Result<Heartbeat> {
      if (body == "bad")
        return base::fail(base::ResultCode::AnnouncementInvalid, "bad");
      Heartbeat heartbeat = Next;
      heartbeat.Sender.Instance.Id = id;
      return heartbeat;
    };
    format.WriteHeartbeatAnswer = [this](const HeartbeatAnswer &answer) {
      Answer = answer;
      return std::string("answer");
    };
    format.CountRowBytes = [](const keyspace::GrantRow &) { return 26; };
    format.ReadLeaveStartTime = [](std::string_view) { return std::nullopt; };
    format.ReadConfigChange =
        [this](std::string_view body) -> base::Result<routing::ConfigItems> {
      if (body == "bad")
        return base::fail(base::ResultCode::ValueInvalid, "bad");
      return Items;
    };
    format.WriteConfig = [](const routing::ConfigItems &items) {
      return std::to_string(items.Routes.size());
    };
    format.WriteError = [](const base::Error &error) { return error.Message; };
    return format;
  }
  Heartbeat Next;
  HeartbeatAnswer Answer;
  routing::ConfigItems Items;
};

struct Proposal {
  Command Proposed;
  std::function<void(base::Result<void>)> Done;
};

struct LeaderFixture {
  LeaderFixture() {
    routing::Service service;
    service.Name = "stock";
    service.Version = 1;
    service.IsKeyed = true;
    State.apply(routing::ConfigItems{{}, {service}, {}}, 1);
    startLeader(1);
  }
  void startLeader(std::uint64_t term) {
    FleetLeaderConfig config;
    config.Term = term;
    config.ControlAddress = "10.0.0.9:90";
    FleetLeaderHooks hooks;
    hooks.Propose = [this](Command command, auto done) {
      Proposals.push_back({std::move(command), std::move(done)});
    };
    hooks.Publish = [this](const ViewUpdate &update) {
      Published.apply(update);
      ++CountPublished;
    };
    hooks.HasLease = [this] { return HasLease; };
    Leader = std::make_unique<FleetLeader>(config, State, Format, Published,
                                           hooks, Now);
    Leader->start();
  }
  /// Applies the proposed commands and reports them as committed.
  void commit() {
    for (auto &proposal : std::exchange(Proposals, {})) {
      Leader->onApplied(State.apply(proposal.Proposed, ++Index));
      proposal.Done(base::ok());
    }
  }
  /// Sends a heartbeat. Returns the status of the answer, 0 while there is
  /// none.
  std::uint16_t sendHeartbeat(const std::string &id, TargetState state,
                              std::string body = "ok") {
    FakeControl.Next.Sender = {{id, 5}, ++Sequence, id + ":80", "stock",
                               "dc-a",  3,          state};
    return call(CallKind::Heartbeat, id, std::move(body));
  }
  std::uint16_t call(CallKind kind, std::string name, std::string body) {
    Status = 0;
    Leader->handle(
        {1, kind, std::move(name), std::move(body)},
        [this](std::uint16_t status, std::string text) {
          Status = status;
          Text = std::move(text);
        },
        Now);
    return Status;
  }
  /// Makes the target "a" the holder of all stripes.
  void assignAllStripes() {
    sendHeartbeat("a", TargetState::Ready);
    Now += 2s;
    sendHeartbeat("a", TargetState::Ready);
    Leader->tick(Now);
    commit();
    sendHeartbeat("a", TargetState::Ready);
    Leader->tick(Now);
  }

  FakeFormat FakeControl;
  ControlFormat Format = FakeControl.makeFormat();
  FleetState State;
  View Published;
  std::size_t CountPublished = 0;
  std::vector<Proposal> Proposals;
  std::unique_ptr<FleetLeader> Leader;
  base::MonoTime Now{1h};
  consensus::LogIndex Index = 10;
  std::uint64_t Sequence = 0;
  bool HasLease = true;
  std::uint16_t Status = 0;
  std::string Text;
};

routing::Route makeRoute(routing::ItemVersion version, std::string service) {
  routing::Route route;
  route.Name = "r";
  route.Version = version;
  route.Host = "h";
  route.PathPrefix = "/";
  route.Timeout = 800ms;
  route.Shares = {{std::move(service), 1}};
  return route;
}

} // namespace

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

TEST_CASE(
    "A later process at an address frees the stripes of the earlier one") {
  LeaderFixture fixture;
  fixture.assignAllStripes();
  fixture.FakeControl.Next.Sender = {
      {"b", 9}, 1, "a:80", "stock", "dc-a", 3, TargetState::Ready};
  fixture.call(CallKind::Heartbeat, "b", "");
  fixture.Now += 100ms;
  fixture.Leader->tick(fixture.Now);
  fixture.commit();
  CHECK(fixture.State.keys().find("stock")->ownerOf(0)->Id == "b");
}
