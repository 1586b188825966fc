// The leader's answers to targets and operators.
#include "fleet/FleetLeader.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace magnoliamill;
using namespace magnoliamill::fleet;
using namespace std::chrono_literals;

namespace {

/// A dialect whose bodies are handles of prepared values.
struct FakeDialect {
  ControlFormat makeDialect() {
    ControlFormat dialect;
    dialect.ReadHeartbeat =
        [this](std::string_view id,
               std::string_view body) -> base::Result<Heartbeat> {
      if (body == "bad")
        return base::fail(base::ResultCode::AnnouncementInvalid, "bad");
      Heartbeat heartbeat = Next;
      heartbeat.About.Instance.Id = id;
      return heartbeat;
    };
    dialect.WriteHeartbeatAnswer = [this](const HeartbeatAnswer &answer) {
      Answer = answer;
      return std::string("answer");
    };
    dialect.CountRowBytes = [](const keyspace::GrantRow &) { return 26; };
    dialect.ReadLeaverBorn = [](std::string_view) { return std::nullopt; };
    dialect.ReadConfigChange =
        [this](std::string_view body) -> base::Result<routing::ConfigItems> {
      if (body == "bad")
        return base::fail(base::ResultCode::ValueInvalid, "bad");
      return Items;
    };
    dialect.WriteConfig = [](const routing::ConfigItems &items) {
      return std::to_string(items.Routes.size());
    };
    dialect.WriteError = [](const base::Error &error) { return error.Message; };
    return dialect;
  }
  Heartbeat Next;
  HeartbeatAnswer Answer;
  routing::ConfigItems Items;
};

struct Proposal {
  Command Proposed;
  std::function<void(base::Result<void>)> Done;
};

struct Bench {
  Bench() {
    routing::Service service;
    service.Name = "stock";
    service.Version = 1;
    service.IsKeyed = true;
    State.apply(routing::ConfigItems{{}, {service}, {}}, 1);
    lead(1);
  }
  void lead(std::uint64_t term) {
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
    Leader = std::make_unique<FleetLeader>(config, State, Dialect, Published,
                                           hooks, Now);
    Leader->start();
  }
  /// Applies what was proposed, and answers it.
  void commit() {
    for (auto &proposal : std::exchange(Proposals, {})) {
      Leader->onApplied(State.apply(proposal.Proposed, ++Index));
      proposal.Done(base::ok());
    }
  }
  /// The status of the answer, 0 while there is none.
  std::uint16_t beat(const std::string &id, TargetState state,
                     std::string body = "ok") {
    Wire.Next.About = {{id, 5}, ++Sequence, id + ":80", "stock",
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
  /// All stripes are held by the target "a".
  void settle() {
    beat("a", TargetState::Ready);
    Now += 2s;
    beat("a", TargetState::Ready);
    Leader->tick(Now);
    commit();
    beat("a", TargetState::Ready);
    Leader->tick(Now);
  }

  FakeDialect Wire;
  ControlFormat Dialect = Wire.makeDialect();
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
  Bench bench;
  bench.settle();
  REQUIRE(bench.Wire.Answer.Rows);
  CHECK_FALSE(bench.Wire.Answer.Rows->empty());
  CHECK(bench.Wire.Answer.NextAddress == "10.0.0.9:90");
  CHECK(bench.Published.holderOf("stock", 0)->Id == "a");

  SECTION("a late heartbeat renews nothing") {
    --bench.Sequence;
    CHECK(bench.beat("a", TargetState::Ready) == 200);
    CHECK_FALSE(bench.Wire.Answer.Rows);
  }
  SECTION("one that can't be read is refused and disturbs nobody") {
    CHECK(bench.beat("a", TargetState::Ready, "bad") == 400);
    CHECK(bench.Published.holderOf("stock", 0)->Id == "a");
  }
  SECTION("without the leader's lease nothing is granted or changed") {
    bench.HasLease = false;
    CHECK(bench.beat("a", TargetState::Ready) == 503);
    CHECK(bench.call(CallKind::ReadConfig, "", "") == 503);
    CHECK(bench.call(CallKind::ChangeConfig, "", "") == 503);
  }
}

TEST_CASE("A departure is acknowledged when it is committed and published") {
  Bench bench;
  bench.settle();
  const bool ByHeartbeat = GENERATE(true, false);
  if (ByHeartbeat)
    CHECK(bench.beat("a", TargetState::Leaving) == 0);
  else
    CHECK(bench.call(CallKind::Leave, "a", "") == 0);
  CHECK(bench.Published.targets().begin()->second.State == TargetState::Ready);
  bench.commit();
  CHECK(bench.Status == 200);
  CHECK(bench.Published.targets().begin()->second.State ==
        TargetState::Leaving);
  CHECK(bench.Published.holderOf("stock", 0) == nullptr);

  SECTION("the next leader knows of it") {
    bench.lead(2);
    CHECK(bench.Published.targets().begin()->second.State ==
          TargetState::Leaving);
    CHECK(bench.beat("a", TargetState::Ready) == 200);
    CHECK(bench.Published.targets().begin()->second.State ==
          TargetState::Leaving);
  }
}

TEST_CASE("A departure that was not committed is not acknowledged") {
  Bench bench;
  bench.settle();
  bench.beat("a", TargetState::Leaving);
  bench.Proposals.front().Done(
      base::fail(base::ResultCode::ChangeOutcomeUnknown, ""));
  CHECK(bench.Status == 503);
}

TEST_CASE("What was proposed in a term that has ended is not acknowledged") {
  Bench bench;
  bench.settle();
  SECTION("a departure") { bench.beat("a", TargetState::Leaving); }
  SECTION("a change of configuration") {
    bench.Wire.Items.Routes = {makeRoute(3, "stock")};
    bench.call(CallKind::ChangeConfig, "", "");
  }
  bench.lead(2);
  const auto published = bench.CountPublished;
  for (auto &proposal : std::exchange(bench.Proposals, {}))
    proposal.Done(base::ok());
  CHECK(bench.Status == 503);
  CHECK(bench.CountPublished == published);
}

TEST_CASE("Configuration is in force before it is acknowledged") {
  Bench bench;
  bench.Wire.Items.Routes = {makeRoute(3, "stock")};
  CHECK(bench.call(CallKind::ChangeConfig, "", "") == 0);
  CHECK(bench.Published.config().findRoute("r") == nullptr);
  bench.commit();
  CHECK(bench.Status == 200);
  CHECK(bench.Published.config().findRoute("r") != nullptr);

  SECTION("an older change is acknowledged and changes nothing") {
    bench.Wire.Items.Routes = {makeRoute(2, "stock")};
    bench.Wire.Items.Routes[0].Host = "other";
    bench.call(CallKind::ChangeConfig, "", "");
    bench.commit();
    CHECK(bench.Status == 200);
    CHECK(bench.State.config().findRoute("r")->Host == "h");
  }
  SECTION("an invalid one is refused whole") {
    bench.Wire.Items.Routes = {makeRoute(9, "stock"), makeRoute(9, "unknown")};
    CHECK(bench.call(CallKind::ChangeConfig, "", "") == 400);
    CHECK(bench.Proposals.empty());
    CHECK(bench.call(CallKind::ChangeConfig, "", "bad") == 400);
  }
  SECTION("it is read back") {
    CHECK(bench.call(CallKind::ReadConfig, "", "") == 200);
    CHECK(bench.Text == "1");
  }
}

TEST_CASE(
    "A later process at an address frees the stripes of the earlier one") {
  Bench bench;
  bench.settle();
  bench.Wire.Next.About = {{"b", 9},          1, "a:80", "stock", "dc-a", 3,
                           TargetState::Ready};
  bench.call(CallKind::Heartbeat, "b", "");
  bench.Now += 100ms;
  bench.Leader->tick(bench.Now);
  bench.commit();
  CHECK(bench.State.keys().find("stock")->ownerOf(0)->Id == "b");
}
