// Tests groups of replicas whose disks are full in turn.
#include "node/GroupRunner.h"
#include "base/Log.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <set>

using namespace magnoliamill;
using namespace magnoliamill::node;
using namespace std::chrono_literals;

namespace {

/// The platform's ack_timeout_ms.
constexpr auto AcknowledgeLimit = 4s;
constexpr auto FullTime = 400ms;
constexpr auto ProposalInterval = 20ms;

/// Stores what a disk with room stores.
class LimitedStorage : public consensus::Storage {
public:
  explicit LimitedStorage(const bool &full) : IsFull(full) {}

  base::Result<void> write(const consensus::PersistRequest &request) override {
    if (IsFull)
      return base::fail(base::ResultCode::StorageFull, "no room");
    CHECK(request.PersistId > LastPersistId);
    LastPersistId = request.PersistId;
    return base::ok();
  }
  base::Result<void>
  writeSnapshot(const consensus::PersistRequest::Snapshot &) override {
    return base::ok();
  }

private:
  const bool &IsFull;
  std::uint64_t LastPersistId = 0;
};

/// Replicas on one event loop, which pass messages to each other directly.
class ReplicaGroup {
public:
  explicit ReplicaGroup(std::size_t voters) : Replicas(voters) {
    for (std::size_t n = 0; n < voters; ++n)
      Members.Voters.push_back(idOf(n));
    for (std::size_t n = 0; n < voters; ++n)
      start(n);
    for (auto &it : Replicas)
      it.Runner->start();
  }

  void runFor(base::Duration duration) { Loop.context().run_for(duration); }
  bool runUntil(const std::function<bool()> &condition, base::Duration limit) {
    const auto end = base::readMonotonic() + limit;
    while (!condition() && base::readMonotonic() < end)
      runFor(5ms);
    return condition();
  }
  std::optional<std::size_t> findLeader() const {
    for (std::size_t n = 0; n < Replicas.size(); ++n)
      if (Replicas[n].Runner->core().hasLeaderLease(base::readMonotonic()))
        return n;
    return std::nullopt;
  }
  void setFull(std::size_t n, bool full) { Replicas[n].IsFull = full; }
  /// Proposes a command at the leader, if there is one.
  void propose(const std::string &command) {
    const auto leader = findLeader();
    if (!leader)
      return;
    Replicas[*leader].Runner->propose(command,
                                      [this, command](const auto &reply) {
                                        if (reply)
                                          Acknowledged.insert(command);
                                      });
  }
  bool isAcknowledged(const std::string &command) const {
    return Acknowledged.contains(command);
  }
  std::size_t countAcknowledged() const { return Acknowledged.size(); }
  /// True if all replicas have applied all that was acknowledged.
  bool isComplete() const {
    return std::ranges::all_of(Replicas, [this](const Replica &it) {
      return std::ranges::includes(it.Commands, Acknowledged);
    });
  }

private:
  struct Replica {
    bool IsFull = false;
    std::set<std::string> Commands;
    std::unique_ptr<GroupRunner> Runner;
  };

  static consensus::ReplicaId idOf(std::size_t n) {
    return {base::VmId("vm" + std::to_string(n)), 1};
  }

  void start(std::size_t n) {
    Replica &it = Replicas[n];
    consensus::OpenedStorage opened;
    opened.Store = std::make_unique<LimitedStorage>(it.IsFull);
    opened.Restored.Members = Members;
    consensus::ReplicaConfig config;
    config.Self = idOf(n);
    config.Seed = n + 1;
    GroupRunnerHooks hooks;
    hooks.Send = [this](const base::VmId &to, auto messages) {
      const std::size_t receiver = std::stoul(to.Value.substr(2));
      Loop.postReply([this, receiver, messages = std::move(messages)] {
        for (const auto &message : messages)
          Replicas[receiver].Runner->receive(message);
      });
    };
    hooks.Apply = [&it](const consensus::Entry &entry) {
      if (entry.Kind == consensus::EntryKind::Command)
        it.Commands.insert(entry.Command);
      return std::string();
    };
    hooks.Restore = [](const auto &) {};
    hooks.TakeSnapshot = [] { return std::string(); };
    hooks.AfterStep = [] {};
    it.Runner = std::make_unique<GroupRunner>(
        Loop, nullptr, GroupRunnerConfig{}, config, std::move(opened), hooks);
  }

  base::EventLoopThread Loop{"group", 1024};
  consensus::Membership Members;
  std::vector<Replica> Replicas;
  std::set<std::string> Acknowledged;
};

} // namespace

TEST_CASE("Changes are refused long after disks that were full in turn have "
          "room again",
          "[node]") {
  base::setLogLevel(base::LogLevel::Error);
  const auto voters = GENERATE(std::size_t{3}, std::size_t{4}, std::size_t{5});
  ReplicaGroup group(voters);
  REQUIRE(group.runUntil([&] { return group.findLeader().has_value(); }, 10s));

  std::size_t number = 0;
  const auto load = [&](base::Duration duration) {
    const auto end = base::readMonotonic() + duration;
    while (base::readMonotonic() < end) {
      group.propose("change " + std::to_string(number++));
      group.runFor(ProposalInterval);
    }
  };
  const auto FillInTurn = [&] {
    for (std::size_t n = 0; n < voters; ++n) {
      const auto before = group.countAcknowledged();
      group.setFull(n, true);
      load(FullTime);
      group.setFull(n, false);
      CHECK(group.countAcknowledged() > before);
      load(FullTime / 4);
    }
  };

  SECTION("with changes all the while") {
    FillInTurn();

    SECTION("and again, so that the leader's disk is full too") {
      FillInTurn();
    }
    CHECK(group.runUntil(
        [&] {
          group.propose("last");
          group.runFor(ProposalInterval);
          return group.isAcknowledged("last");
        },
        AcknowledgeLimit));
    CHECK(group.runUntil([&] { return group.isComplete(); }, AcknowledgeLimit));
  }
  SECTION("as they are within the same time as before when all were full") {
    for (std::size_t n = 0; n < voters; ++n)
      group.setFull(n, true);
    load(FullTime);
    for (std::size_t n = 0; n < voters; ++n)
      group.setFull(n, false);
    CHECK(group.runUntil(
        [&] {
          group.propose("last");
          group.runFor(ProposalInterval);
          return group.isAcknowledged("last");
        },
        AcknowledgeLimit));
  }
}
