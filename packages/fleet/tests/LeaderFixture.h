// A fleet leader whose proposals are committed by the test, and a format that
// reads prepared values.
#pragma once

#include "fleet/FleetLeader.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace magnoliamill::fleet::tests {

using namespace std::chrono_literals;

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
    format.ReadLeaveStartTime = [this](std::string_view) { return LeaveStart; };
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
  std::optional<std::uint64_t> LeaveStart;
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
    FleetLeaderConfig config = Config;
    config.Term = term;
    config.ControlAddress = "10.0.0.9:90";
    FleetLeaderHooks hooks;
    hooks.Propose = [this](Command command, auto done) {
      // Answers to heartbeats wait for records of grants.
      if (CommitsGrants && Proposals.empty() &&
          std::holds_alternative<keyspace::GrantRecord>(command)) {
        State.apply(command, ++Index);
        return done(base::ok());
      }
      Proposals.push_back({std::move(command), std::move(done)});
    };
    hooks.Publish = [this](const ViewUpdate &update) {
      Published.apply(update);
      ++CountPublished;
    };
    hooks.HasLease = [this] { return HasLease; };
    hooks.ReadTime = [this] { return Now; };
    if (ChecksAddresses)
      hooks.IdentifyProcess = [this](const std::string &address,
                                     const std::string &, auto done) {
        ++CountChecks;
        const auto it = Answering.find(address);
        done(it == Answering.end() ? std::nullopt : std::optional(it->second));
      };
    Leader = std::make_unique<FleetLeader>(config, State, Format, Published,
                                           hooks, Now);
    Leader->start();
  }
  /// Ends the leader between two calls. The next one starts without a view, as
  /// after a restart of all cores.
  void loseView() {
    Published = View();
    startLeader(++Term);
    for (auto &proposal : std::exchange(Proposals, {}))
      proposal.Done(base::fail(base::ResultCode::ChangeOutcomeUnknown, ""));
  }
  /// The number of keys of a stripe; all keys if none is assigned yet.
  std::uint32_t countStripeKeys() const {
    const auto *keys = State.keys().find("stock");
    return keyspace::KeyCount / (keys ? keys->countStripes() : 1);
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
                               "dc-a",  3,          state,      WarmUntil};
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

  FleetLeaderConfig Config;
  FakeFormat FakeControl;
  ControlFormat Format = FakeControl.makeFormat();
  FleetState State;
  View Published;
  std::size_t CountPublished = 0;
  std::vector<Proposal> Proposals;
  std::unique_ptr<FleetLeader> Leader;
  base::MonoTime Now{1h};
  consensus::LogIndex Index = 10;
  std::uint64_t Term = 1;
  std::uint64_t Sequence = 0;
  /// What heartbeats state.
  base::MonoTime WarmUntil{};
  bool HasLease = true;
  /// Records of grants are committed at once if nothing else is proposed.
  bool CommitsGrants = true;
  bool ChecksAddresses = true;
  /// Id of the process that answers health checks, by address.
  std::map<std::string, std::string> Answering;
  std::size_t CountChecks = 0;
  std::uint16_t Status = 0;
  std::string Text;
};

inline routing::Route makeRoute(routing::ItemVersion version,
                                std::string service) {
  routing::Route route;
  route.Name = "r";
  route.Version = version;
  route.Host = "h";
  route.PathPrefix = "/";
  route.Timeout = 800ms;
  route.Shares = {{std::move(service), 1}};
  return route;
}

} // namespace magnoliamill::fleet::tests
