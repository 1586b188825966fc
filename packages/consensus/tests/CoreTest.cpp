// Tests of the individual rules of the replicated log.
#include "Cluster.h"
#include "consensus/LogWindow.h"
#include "consensus/MembershipCodec.h"
#include "consensus/PersistMerge.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace magnoliamill;
using namespace magnoliamill::consensus;
using namespace magnoliamill::consensus::tests;
using namespace std::chrono_literals;

namespace {

const ReplicaId A{base::VmId("a"), 1};
const ReplicaId B{base::VmId("b"), 1};
const ReplicaId C{base::VmId("c"), 1};
const base::MonoTime Start(1000s);

ReplicaCore makeCore(DurableState state, base::MonoTime now = Start) {
  ReplicaConfig config;
  config.Self = A;
  return ReplicaCore(config, std::move(state), now);
}

DurableState makeState(std::vector<ReplicaId> voters) {
  DurableState state;
  state.Members.Voters = std::move(voters);
  return state;
}

Message makeMessage(const ReplicaId &from, TermNumber term, MessageBody body) {
  return {from, A, term, std::move(body)};
}

/// Makes A the leader of a group of three.
base::MonoTime elect(ReplicaCore &core, TermNumber term = 1) {
  const base::MonoTime now = core.nextWake();
  core.step(Tick{}, now);
  core.step(Receive{makeMessage(B, term, VoteReply{true, true})}, now);
  core.step(Persisted{1}, now);
  core.step(Receive{makeMessage(B, term, VoteReply{false, true})}, now);
  REQUIRE(core.role() == Role::Leader);
  return now;
}

ClusterOptions makeFaultFreeOptions(std::size_t vms, std::size_t voters,
                                    std::size_t disks) {
  ClusterOptions options;
  options.Vms = vms;
  options.Voters = voters;
  options.Disks = disks;
  options.DropRate = options.DuplicateRate = 0;
  return options;
}

Operation makeWrite(int value) {
  Operation out;
  out.Kind = OperationKind::Write;
  out.Value = value;
  return out;
}

} // namespace

TEST_CASE("A group of one", "[consensus]") {
  ReplicaCore core = makeCore(makeState({A}));

  SECTION("elects itself as soon as its vote is synced") {
    REQUIRE(core.nextWake() == Start);
    Actions actions = core.step(Tick{}, Start);
    REQUIRE(core.role() == Role::Candidate);
    REQUIRE(actions.Persist->VotedFor == A);
    actions = core.step(Persisted{actions.Persist->PersistId}, Start);
    REQUIRE(core.role() == Role::Leader);

    SECTION("and commits once its entry is synced, not before") {
      REQUIRE_FALSE(core.hasLeaderLease(Start));
      REQUIRE(actions.Committed.empty());
      actions = core.step(Persisted{actions.Persist->PersistId}, Start);
      REQUIRE(actions.Committed.size() == 1);
      REQUIRE(core.hasLeaderLease(Start));

      actions = core.step(Propose{7, "x"}, Start);
      REQUIRE(actions.Proposals.empty());
      actions = core.step(Persisted{actions.Persist->PersistId}, Start);
      REQUIRE(actions.Proposals.at(0).Index.value() == 2);
      actions = core.step(RequestRead{9}, Start);
      REQUIRE(actions.Reads.at(0).Index.value() == 2);
    }
  }
}

TEST_CASE("Votes are withheld", "[consensus]") {
  DurableState state = makeState({A, B, C});
  const VoteRequest request{5, 3, false, false};

  SECTION("after a restart, for the minimal election timeout") {
    state.Term = 2;
    ReplicaCore core = makeCore(state);
    const Receive vote{makeMessage(B, 3, request)};
    REQUIRE(core.step(vote, Start + 399ms).SendAfterPersist.empty());
    REQUIRE(core.term() == 2);
    const Actions actions = core.step(vote, Start + 400ms);
    REQUIRE(std::get<VoteReply>(actions.SendAfterPersist.at(0).Body).Granted);
    REQUIRE(actions.Persist->VotedFor == B);
  }
  SECTION("while a leader is in contact, unless it transfers leadership") {
    ReplicaCore core = makeCore(state);
    core.step(Receive{makeMessage(C, 1, AppendRequest{})}, Start + 300ms);
    REQUIRE(core.leader() == C);
    const Receive vote{makeMessage(B, 2, request)};
    REQUIRE(core.step(vote, Start + 600ms).SendAfterPersist.empty());
    const Receive transfer{makeMessage(B, 2, VoteRequest{5, 3, false, true})};
    REQUIRE(core.step(transfer, Start + 600ms).SendAfterPersist.size() == 1);
  }
  SECTION("from a second candidate of a term and from shorter logs") {
    state.Entries = {{1, 1, EntryKind::NoOp, ""}};
    ReplicaCore core = makeCore(state);
    const auto ask = [&](const ReplicaId &from, VoteRequest body) {
      const auto out = core.step(Receive{makeMessage(from, 2, body)}, Start);
      const auto &sent = out.Send.empty() ? out.SendAfterPersist : out.Send;
      return std::get<VoteReply>(sent.at(0).Body).Granted;
    };
    REQUIRE_FALSE(ask(B, {0, 0, false, false}));
    REQUIRE(ask(B, {1, 1, false, false}));
    REQUIRE_FALSE(ask(C, {1, 1, false, false}));
  }
  SECTION("under an earlier incarnation's name") {
    ReplicaCore core = makeCore(state);
    Message old = makeMessage(B, 2, request);
    old.To.Incarnation = 0;
    REQUIRE(core.step(Receive{old}, Start).SendAfterPersist.empty());
  }
}

TEST_CASE("A leader", "[consensus]") {
  ReplicaCore core = makeCore(makeState({A, B, C}));
  const base::MonoTime now = elect(core);
  const auto answer = [&](const ReplicaId &from, LogIndex index,
                          std::uint64_t round, base::MonoTime at) {
    return core.step(
        Receive{makeMessage(from, 1, AppendReply{true, index, round})}, at);
  };
  core.step(Persisted{2}, now);

  SECTION("has the lease from a quorum's answer to its term's first entry") {
    REQUIRE_FALSE(core.hasLeaderLease(now));
    answer(B, 1, 1, now + 10ms);
    REQUIRE(core.commitIndex() == 1);
    REQUIRE(core.hasLeaderLease(now + 391ms));
    REQUIRE_FALSE(core.hasLeaderLease(now + 392ms));

    SECTION("and steps down when it runs out, whatever comes first") {
      core.step(Propose{5, "x"}, now + 20ms);
      const Actions actions = answer(B, 2, 1, now + 400ms);
      REQUIRE(core.role() == Role::Follower);
      REQUIRE(actions.Committed.empty());
      REQUIRE(actions.Proposals.at(0).Index.error().Code ==
              base::ResultCode::ChangeOutcomeUnknown);
    }
    SECTION("and gives it up for good when it transfers leadership") {
      const Actions actions = core.step(TransferLeadership{B}, now + 20ms);
      REQUIRE(std::holds_alternative<TimeoutNow>(actions.Send.at(0).Body));
      REQUIRE_FALSE(core.hasLeaderLease(now + 20ms));
      const auto late = core.step(Propose{5, "x"}, now + 30ms);
      REQUIRE(late.Proposals.at(0).Index.error().Code ==
              base::ResultCode::ProposalDropped);
    }
  }
  SECTION("answers a read only after a round that began after it") {
    answer(B, 1, 1, now);
    REQUIRE(core.step(RequestRead{3}, now).Reads.empty());
    REQUIRE(answer(C, 1, 1, now).Reads.empty());
    REQUIRE(answer(C, 1, 2, now).Reads.at(0).Index.value() == 1);
  }
  SECTION("accepts one membership change at a time") {
    const auto propose = [&](Membership next) {
      const auto out = core.step(ProposeMembership{1, next}, now);
      return out.Proposals.empty() ? base::ResultCode::Ok
                                   : out.Proposals[0].Index.error().Code;
    };
    const ReplicaId later{base::VmId("c"), 2};
    const Membership learner{{A, B, C}, {later}};
    REQUIRE(propose(learner) == base::ResultCode::MembershipBusy);
    answer(B, 1, 1, now);
    REQUIRE(propose({{A, B, later}, {}}) == base::ResultCode::MemberUnknown);
    REQUIRE(propose({{A}, {}}) == base::ResultCode::ValueInvalid);
    REQUIRE(propose(learner) == base::ResultCode::Ok);
    REQUIRE(propose({{A, B}, {later}}) == base::ResultCode::MembershipBusy);
    core.step(Persisted{3}, now);
    answer(B, 2, 1, now);
    REQUIRE(propose({{A, B, later}, {}}) ==
            base::ResultCode::MemberNotCaughtUp);
    answer(later, 2, 1, now);
    REQUIRE(propose({{A, later, C}, {}}) == base::ResultCode::ValueInvalid);
    REQUIRE(propose({{A, B, later}, {}}) == base::ResultCode::Ok);
    REQUIRE(core.membership().Voters.at(2) == later);
  }
}

TEST_CASE("An entry of an earlier term", "[consensus]") {
  DurableState state = makeState({A, B, C});
  state.Term = 1;
  state.Entries = {{1, 1, EntryKind::Command, "x"}};
  ReplicaCore core = makeCore(state);
  const base::MonoTime now = elect(core, 2);
  core.step(Persisted{2}, now);
  const auto answer = [&](LogIndex index) {
    return core.step(Receive{makeMessage(B, 2, AppendReply{true, index, 1})},
                     now);
  };

  SECTION("is not committed by a quorum that has it, only with a newer one") {
    REQUIRE(answer(1).Committed.empty());
    REQUIRE_FALSE(core.hasLeaderLease(now));
    REQUIRE(answer(2).Committed.size() == 2);
  }
}

TEST_CASE("A group of three", "[consensus]") {
  Cluster cluster(makeFaultFreeOptions(4, 3, 4));
  const auto HasLeader = [&] {
    const auto leader = cluster.findLeader();
    return leader &&
           cluster.core(*leader).hasLeaderLease(cluster.clockOf(*leader));
  };
  REQUIRE(cluster.runUntil(HasLeader, 5s));
  const std::size_t leader = *cluster.findLeader();

  SECTION("continues without an isolated leader, which steps down") {
    cluster.propose(makeWrite(1));
    cluster.run(200ms);
    cluster.partition({leader});
    cluster.run(2s);
    REQUIRE(cluster.core(leader).role() != Role::Leader);
    REQUIRE(cluster.findLeader());
    for (int n = 2; n < 100; ++n)
      cluster.propose(makeWrite(n));
    cluster.run(1s);
    REQUIRE(cluster.countConfirmed() == 99);

    SECTION("and brings it up to date by a snapshot in chunks") {
      REQUIRE(cluster.settle());
      REQUIRE(cluster.core(leader).snapshotIndex() > 2);
      REQUIRE(cluster.findViolations().empty());
    }
  }
  SECTION(
      "replaces a replica that lost its disk, then tolerates the next loss") {
    cluster.propose(makeWrite(1));
    cluster.run(200ms);
    cluster.wipe((leader + 1) % 3);
    REQUIRE_FALSE(cluster.canLose((leader + 2) % 3));
    cluster.restart((leader + 1) % 3);
    REQUIRE(cluster.settle());
    REQUIRE(cluster.canLose(leader));
    cluster.wipe(leader);
    cluster.run(2s);
    cluster.restart(leader);
    REQUIRE(cluster.settle());
    REQUIRE(cluster.countConfirmed() == 1);
    REQUIRE(cluster.findViolations().empty());
  }
  SECTION("transfers leadership within a few round trips") {
    cluster.transferLeadership();
    REQUIRE(cluster.runUntil(
        [&] {
          const auto now = cluster.findLeader();
          return now && *now != leader;
        },
        200ms));
    REQUIRE(cluster.findViolations().empty());
  }
  SECTION("grows by a learner that becomes a voter") {
    cluster.changeMembership(3, true);
    cluster.run(500ms);
    cluster.changeMembership(3, true);
    cluster.run(500ms);
    REQUIRE(cluster.core(leader).membership().Voters.size() == 4);
    REQUIRE(cluster.settle());
  }
}

TEST_CASE("A disk slower than its messages falls behind without end",
          "[consensus]") {
  SECTION("heartbeats behind a write request no further write") {
    auto core = makeCore(makeState({A, B, C}));
    const Entry entry{1, 1, EntryKind::NoOp, {}};
    const auto stored = core.step(
        Receive{makeMessage(B, 1, AppendRequest{0, 0, 0, {entry}, 1})}, Start);
    REQUIRE(stored.Persist);
    const auto heartbeat = core.step(
        Receive{makeMessage(B, 1, AppendRequest{1, 1, 0, {}, 2})}, Start);
    CHECK_FALSE(heartbeat.Persist);
    CHECK(heartbeat.Send.empty());
    CHECK(heartbeat.SendAfterPersist.size() == 1);
    core.step(Persisted{stored.Persist->PersistId}, Start);
    const auto after = core.step(
        Receive{makeMessage(B, 1, AppendRequest{1, 1, 0, {}, 3})}, Start);
    CHECK(after.Send.size() == 1);
  }
  SECTION("writes that wait are merged, with the effect of each in turn") {
    CHECK(rc::check([] {
      PersistRequest merged;
      DurableState single;
      DurableState together;
      const LogIndex stored = *rc::gen::inRange<LogIndex>(0, 4);
      for (LogIndex n = 1; n <= stored; ++n)
        single.Entries.push_back({n, 1, EntryKind::NoOp, {}});
      together = single;
      LogIndex last = stored;
      const auto requests = *rc::gen::inRange(1, 6);
      for (int n = 0; n < requests; ++n) {
        PersistRequest request;
        request.PersistId = static_cast<std::uint64_t>(n) + 1;
        request.Term = static_cast<TermNumber>(n) + 2;
        if (*rc::gen::arbitrary<bool>())
          request.TruncateAfter = last =
              *rc::gen::inRange<LogIndex>(0, last + 1);
        const auto added = *rc::gen::inRange(0, 4);
        for (int i = 0; i < added; ++i)
          request.Append.push_back({++last, request.Term, EntryKind::NoOp, {}});
        applyToDisk(request, single);
        if (n == 0)
          merged = request;
        else
          RC_ASSERT(mergePersistRequests(merged, request));
      }
      applyToDisk(merged, together);
      RC_ASSERT(merged.PersistId == static_cast<std::uint64_t>(requests));
      RC_ASSERT(together.Term == single.Term);
      RC_ASSERT(together.Entries == single.Entries);
    }));
  }
  SECTION("a snapshot is never merged") {
    PersistRequest snapshot;
    snapshot.InstallSnapshot = PersistRequest::Snapshot();
    PersistRequest other;
    CHECK_FALSE(mergePersistRequests(other, snapshot));
    CHECK_FALSE(mergePersistRequests(snapshot, other));
  }
}

TEST_CASE("The window of committed entries", "[consensus]") {
  LogWindow window(30);
  window.restart(10);
  std::vector<Entry> entries;
  for (LogIndex n = 11; n <= 15; ++n)
    entries.push_back({n, 1, EntryKind::Command, "0123456789"});
  window.add(entries);

  SECTION("keeps what fits") {
    REQUIRE(window.baseIndex() == 12);
    REQUIRE(window.readAfter(12, 1000).Entries.size() == 3);
    REQUIRE(window.readAfter(12, 15).Entries.size() == 1);
    REQUIRE(window.readAfter(15, 1000).Entries.empty());
  }
  SECTION("requires a snapshot for a reader that lags too far behind") {
    REQUIRE(window.readAfter(11, 1000).NeedsSnapshot);
    REQUIRE_FALSE(window.readAfter(12, 1000).NeedsSnapshot);
  }
}

TEST_CASE("The stored form of a membership", "[consensus]") {
  const Membership members{{A, B}, {C}};
  REQUIRE(decodeMembership(encodeMembership(members)).value() == members);
  REQUIRE_FALSE(decodeMembership("{").has_value());
  REQUIRE_FALSE(
      decodeMembership(R"({"voters":[1],"learners":[]})").has_value());
}
