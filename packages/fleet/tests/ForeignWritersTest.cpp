// Plays targets with leases beside foreign writers, whose heartbeats and leave
// calls have any fields. A longer run: RC_PARAMS="seed=N max_success=2000".
#include "LeaderFixture.h"
#include "LeasedTarget.h"

#include <catch2/catch.hpp>
#include <ostream>
#include <rapidcheck.h>
#include <set>

using namespace magnoliamill;
using namespace magnoliamill::fleet;
using namespace magnoliamill::fleet::tests;
using namespace std::chrono_literals;

namespace {

constexpr auto Interval = 870ms;
constexpr auto Step = 30ms;
constexpr std::size_t TargetCount = 3;
/// Until the first stripes are granted.
constexpr auto SettleTime = 4s;

/// A call of a foreign writer.
struct ForeignCall {
  bool IsLeave = false;
  /// Whose id, address and start it has; TargetCount or more for its own.
  std::size_t Id = 0;
  std::size_t Address = 0;
  std::int64_t StartOffset = 0;
  bool IsServiceKnown = true;
  bool IsLeaving = false;
  std::uint64_t Sequence = 0;
  /// The leader ends before the call, and the next one has no view.
  bool FollowsLoss = false;
  /// Reports all keys as released.
  bool Releases = false;
  /// Steps until the next call.
  std::size_t Pause = 0;
};

std::ostream &operator<<(std::ostream &out, const ForeignCall &call) {
  return out << (call.IsLeave ? "leave" : "heartbeat") << " id " << call.Id
             << " address " << call.Address << " start " << call.StartOffset
             << (call.IsServiceKnown ? "" : " unknown")
             << (call.IsLeaving ? " leaving" : "") << " sequence "
             << call.Sequence << (call.FollowsLoss ? " after loss" : "")
             << (call.Releases ? " releases" : "") << " pause " << call.Pause;
}

rc::Gen<ForeignCall> genForeignCall(bool LosesLeaders) {
  const auto whose = rc::gen::inRange<std::size_t>(0, TargetCount + 2);
  return rc::gen::build<ForeignCall>(
      rc::gen::set(&ForeignCall::IsLeave,
                   rc::gen::weightedElement<bool>({{4, false}, {1, true}})),
      rc::gen::set(&ForeignCall::Id, whose),
      rc::gen::set(&ForeignCall::Address, whose),
      rc::gen::set(&ForeignCall::StartOffset,
                   rc::gen::element<std::int64_t>(-7, -1, 0, 1, 7, 1'000'000)),
      rc::gen::set(&ForeignCall::IsServiceKnown),
      rc::gen::set(&ForeignCall::IsLeaving),
      rc::gen::set(&ForeignCall::Sequence,
                   rc::gen::inRange<std::uint64_t>(1, 1000)),
      rc::gen::set(&ForeignCall::FollowsLoss,
                   rc::gen::weightedElement<bool>(
                       {{5, false}, {LosesLeaders ? 1 : 0, true}})),
      rc::gen::set(&ForeignCall::Releases),
      rc::gen::set(&ForeignCall::Pause, rc::gen::inRange<std::size_t>(0, 60)));
}

class Play {
public:
  Play() {
    for (std::size_t n = 0; n < TargetCount; ++n) {
      LeasedTarget target;
      target.Description = {{"t" + std::to_string(n), startOf(n)},
                            0,
                            addressOf(n),
                            "stock",
                            "dc-a",
                            3,
                            TargetState::Ready};
      target.NextHeartbeat = Fixture.Now + Step * static_cast<int>(n);
      Fixture.Answering[addressOf(n)] = target.Description.Instance.Id;
      Targets.push_back(std::move(target));
    }
  }

  void run(base::Duration time) {
    for (const auto end = Fixture.Now + time; Fixture.Now < end;) {
      Fixture.Now += Step;
      for (auto &target : Targets)
        step(target);
      Fixture.Leader->tick(Fixture.Now);
      Fixture.commit();
      check();
    }
  }

  void send(const ForeignCall &call) {
    if (call.FollowsLoss)
      Fixture.loseView();
    Target sender;
    sender.Instance = {
        call.Id < TargetCount ? Targets[call.Id].Description.Instance.Id
                              : "foreign",
        startOf(call.Id) + static_cast<std::uint64_t>(call.StartOffset)};
    // A writer with everything of a target can't be told from it, nor can one
    // with its id that announces a restart.
    const bool IsIdentity = call.Id < TargetCount && call.StartOffset == 0;
    const bool IsRestart = call.Id < TargetCount && call.StartOffset > 0;
    if (call.IsLeave) {
      if (IsIdentity)
        Left.insert(call.Id);
      Fixture.FakeControl.LeaveStart = sender.Instance.StartedAtMs;
      Fixture.call(CallKind::Leave, sender.Instance.Id, "");
      return;
    }
    if (IsIdentity && call.Address == call.Id && call.IsServiceKnown)
      return;
    if (IsRestart && call.IsServiceKnown)
      Left.insert(call.Id);
    sender.Sequence = call.Sequence;
    sender.Address = addressOf(call.Address);
    sender.Service = call.IsServiceKnown ? "stock" : "unknown";
    sender.DataCentre = "dc-a";
    sender.Slots = 3;
    sender.State = call.IsLeaving ? TargetState::Leaving : TargetState::Ready;
    auto &next = Fixture.FakeControl.Next;
    next = {};
    next.Sender = sender;
    if (call.Releases)
      next.Released = {{{0, keyspace::KeyCount - 1}, "h"}};
    Fixture.call(CallKind::Heartbeat, sender.Instance.Id, "");
  }

  /// True if all targets hold keys, except those that a writer has signed off
  /// or announced as restarted.
  bool areServing() const {
    for (std::size_t n = 0; n < TargetCount; ++n)
      if (!Left.contains(n) && Targets[n].Held.empty())
        return false;
    return true;
  }

private:
  static std::uint64_t startOf(std::size_t n) { return 1000 + 10 * n; }
  static std::string addressOf(std::size_t n) {
    return "10.0.0." + std::to_string(n + 1) + ":80";
  }

  void step(LeasedTarget &target) {
    target.expire(Fixture.Now);
    if (Fixture.Now < target.NextHeartbeat)
      return;
    target.NextHeartbeat = Fixture.Now + Interval;
    Fixture.FakeControl.Next = target.compose();
    const auto status =
        Fixture.call(CallKind::Heartbeat, target.Description.Instance.Id, "");
    if (status == 200 && Fixture.FakeControl.Answer.Rows)
      target.receive(*Fixture.FakeControl.Answer.Rows,
                     Fixture.countStripeKeys(), Fixture.Now, Fixture.Now);
  }

  void check() const {
    if (const auto found = findSecondHolder(Targets); !found.empty())
      RC_FAIL(found);
  }

  LeaderFixture Fixture;
  std::vector<LeasedTarget> Targets;
  /// Targets for which a leave call or the heartbeat of a restart was sent.
  std::set<std::size_t> Left;
};

/// Plays any calls of foreign writers. Returns whether all targets were served
/// and no key had two holders.
bool checkForeignCalls(bool LosesLeaders) {
  return rc::check("any heartbeats and leave calls", [LosesLeaders] {
    Play play;
    play.run(SettleTime);
    RC_ASSERT(play.areServing());
    const auto calls = *rc::gen::container<std::vector<ForeignCall>>(
        genForeignCall(LosesLeaders));
    for (const auto &call : calls) {
      play.send(call);
      play.run(Step * static_cast<int>(call.Pause + 1));
      RC_ASSERT(play.areServing());
    }
    play.run(5s);
    RC_ASSERT(play.areServing());
  });
}

} // namespace

TEST_CASE("Foreign writers give keys a second holder or shut a target out") {
  CHECK(checkForeignCalls(false));
}

TEST_CASE("Foreign writers shut a target out at a leader without a view") {
  CHECK(checkForeignCalls(true));
}
