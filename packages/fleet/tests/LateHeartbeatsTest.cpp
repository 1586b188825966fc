// Plays targets whose heartbeats arrive late, at any leader, while keys move,
// targets leave and leaders change. A longer run: RC_PARAMS="seed=N
// max_success=2000".
#include "LeaderFixture.h"
#include "LeasedTarget.h"

#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <ostream>
#include <rapidcheck.h>

using namespace magnoliamill;
using namespace magnoliamill::fleet;
using namespace magnoliamill::fleet::tests;
using namespace std::chrono_literals;

namespace {

constexpr auto Interval = 870ms;
constexpr auto Step = 30ms;
/// Answers that arrive later are not taken.
constexpr auto AnswerTime = 1s;
constexpr auto RetryPause = 100ms;
constexpr std::size_t TargetCount = 4;
/// Until the first stripes are granted.
constexpr auto SettleTime = 4s;
/// From the first heartbeat of a target that joins until it holds keys.
constexpr auto JoinTime = 5s;

enum class Action {
  /// The next heartbeat of the target arrives with a later Deliver.
  HoldBack,
  /// The oldest heartbeat of the target that was held back arrives.
  Deliver,
  /// The target sends a leave call, no more heartbeats, and uses its keys until
  /// its lease ends.
  SignOff,
  /// The target sends no heartbeats for longer than its lease.
  Pause,
  /// The next leader has the whole view.
  ChangeLeader,
  /// The next leader lacks the updates of the last seconds.
  ChangeToOldView,
  /// The next leader has no view.
  ChangeWithoutView,
};

struct Event {
  Action Kind = Action::HoldBack;
  std::size_t Who = 0;
  /// Whether what is proposed when a leader ends is committed.
  bool CommitsPending = false;
  /// Steps until the next event.
  std::size_t Pause = 0;
};

std::ostream &operator<<(std::ostream &out, const Event &event) {
  constexpr const char *Names[] = {"hold back",
                                   "deliver",
                                   "sign off",
                                   "pause",
                                   "change",
                                   "change to an old view",
                                   "change without a view"};
  return out << Names[static_cast<std::size_t>(event.Kind)] << " target "
             << event.Who << (event.CommitsPending ? " commits" : "")
             << " pause " << event.Pause;
}

rc::Gen<Event> genEvent() {
  return rc::gen::build<Event>(
      rc::gen::set(&Event::Kind, rc::gen::weightedElement<Action>(
                                     {{4, Action::HoldBack},
                                      {4, Action::Deliver},
                                      {2, Action::SignOff},
                                      {1, Action::Pause},
                                      {2, Action::ChangeLeader},
                                      {1, Action::ChangeToOldView},
                                      {1, Action::ChangeWithoutView}})),
      rc::gen::set(&Event::Who, rc::gen::inRange<std::size_t>(0, TargetCount)),
      rc::gen::set(&Event::CommitsPending),
      rc::gen::set(&Event::Pause, rc::gen::inRange<std::size_t>(0, 60)));
}

class Play {
public:
  Play() {
    Fixture.CommitsGrants = false;
    for (std::size_t n = 0; n < TargetCount; ++n) {
      LeasedTarget target;
      target.Description = {{"t" + std::to_string(n), 1000 + 10 * n},
                            0,
                            "10.0.0." + std::to_string(n + 1) + ":80",
                            "stock",
                            "dc-a",
                            3,
                            TargetState::Ready};
      target.NextHeartbeat = Fixture.Now + Step * static_cast<int>(n);
      Fixture.Answering[target.Description.Address] =
          target.Description.Instance.Id;
      Targets.push_back(std::move(target));
    }
    // Joins later, so that keys move.
    Targets.back().NextHeartbeat = Fixture.Now + SettleTime;
  }

  void run(base::Duration time) {
    for (const auto end = Fixture.Now + time; Fixture.Now < end;) {
      Fixture.Now += Step;
      for (std::size_t n = 0; n < TargetCount; ++n)
        step(n);
      Fixture.Leader->tick(Fixture.Now);
      Fixture.commit();
      if (Fault.empty())
        Fault = findSecondHolder(Targets);
      OldViews.push_back(Fixture.Published);
      if (OldViews.size() > OldViewSteps)
        OldViews.pop_front();
    }
  }

  void apply(const Event &event) {
    LeasedTarget &target = Targets[event.Who];
    auto &late = Late[event.Who];
    switch (event.Kind) {
    case Action::HoldBack:
      IsNextHeld[event.Who] = true;
      return;
    case Action::Deliver:
      if (late.empty())
        return;
      Fixture.FakeControl.Next = late.front();
      late.pop_front();
      send(target, [](std::uint16_t, const std::string &) {});
      return;
    case Action::SignOff:
      HasSignedOff[event.Who] = true;
      Fixture.FakeControl.LeaveStart = target.Description.Instance.StartedAtMs;
      Fixture.call(CallKind::Leave, target.Description.Instance.Id, "");
      return;
    case Action::Pause:
      target.NextHeartbeat =
          std::max(target.NextHeartbeat,
                   Fixture.Now + LeasedTarget::LeaseTime + Interval);
      return;
    case Action::ChangeLeader:
      return changeLeader(Fixture.Published, event.CommitsPending);
    case Action::ChangeToOldView:
      return changeLeader(OldViews.front(), event.CommitsPending);
    case Action::ChangeWithoutView:
      return changeLeader({}, event.CommitsPending);
    }
  }

  /// The first key that had two holders; empty if none had.
  const std::string &fault() const { return Fault; }
  bool holdsKeys(std::size_t n) const { return !Targets[n].Held.empty(); }
  /// The target announces in its heartbeats that it leaves.
  void leave(std::size_t n) {
    Targets[n].Description.State = TargetState::Leaving;
  }
  std::uint32_t countHeldKeys() const {
    std::uint32_t keys = 0;
    for (const auto &target : Targets)
      for (const auto &[range, token] : target.Held)
        keys += range.Last - range.First + 1;
    return keys;
  }

private:
  /// Three seconds.
  static constexpr std::size_t OldViewSteps = 100;

  void send(const LeasedTarget &target, ReplyHook reply) {
    Fixture.Leader->handle(
        {1, CallKind::Heartbeat, target.Description.Instance.Id, "ok"},
        std::move(reply), Fixture.Now);
  }

  void step(std::size_t n) {
    LeasedTarget &target = Targets[n];
    target.expire(Fixture.Now);
    if (HasSignedOff[n] || Fixture.Now < target.NextHeartbeat)
      return;
    const auto heartbeat = target.compose();
    if (std::exchange(IsNextHeld[n], false)) {
      Late[n].push_back(heartbeat);
      target.NextHeartbeat = Fixture.Now + AnswerTime + RetryPause;
      return;
    }
    // The next core is called if this one gives no answer in time.
    target.NextHeartbeat = Fixture.Now + AnswerTime + RetryPause;
    Fixture.FakeControl.Next = heartbeat;
    send(target,
         [this, n, sent = Fixture.Now, number = heartbeat.Sender.Sequence](
             std::uint16_t status, const std::string &) {
           LeasedTarget &sender = Targets[n];
           if (status != 200 || Fixture.Now - sent > AnswerTime ||
               sender.Description.Sequence != number)
             return;
           sender.NextHeartbeat = sent + Interval;
           if (Fixture.FakeControl.Answer.Rows)
             sender.receive(*Fixture.FakeControl.Answer.Rows,
                            Fixture.countStripeKeys(), sent, Fixture.Now);
         });
  }

  void changeLeader(const View &known, bool commits) {
    auto pending = std::exchange(Fixture.Proposals, {});
    if (commits)
      for (const auto &proposal : pending)
        Fixture.State.apply(proposal.Proposed, ++Fixture.Index);
    Fixture.Published = known;
    Fixture.startLeader(++Fixture.Term);
    for (auto &proposal : pending)
      proposal.Done(base::fail(base::ResultCode::ChangeOutcomeUnknown, ""));
  }

  LeaderFixture Fixture;
  std::vector<LeasedTarget> Targets;
  std::array<std::deque<Heartbeat>, TargetCount> Late;
  std::array<bool, TargetCount> IsNextHeld{};
  std::array<bool, TargetCount> HasSignedOff{};
  std::string Fault;
  /// The views of the last steps, oldest first.
  std::deque<View> OldViews;
};

} // namespace

// The heartbeat was sent before the target's keys were granted. A later leader
// took it for their release and gave them to others while the target held them.
TEST_CASE("A late heartbeat of a departed target releases its keys") {
  Play play;
  const auto IsPlanned = GENERATE(true, false);
  play.run(SettleTime);
  // After the first heartbeat of the target that joins.
  play.run(Step * 2);
  play.apply({Action::HoldBack, TargetCount - 1});
  play.run(JoinTime);
  REQUIRE(play.holdsKeys(TargetCount - 1));
  play.apply({IsPlanned ? Action::ChangeLeader : Action::ChangeToOldView});
  play.run(300ms);
  play.apply({Action::SignOff, TargetCount - 1});
  play.run(200ms);
  play.apply({Action::Deliver, TargetCount - 1});
  play.run(5s);
  CHECK(play.fault().empty());
}

// Waiting for the end of the hold instead would be safe, too.
TEST_CASE("After a planned change of leader, released keys wait for their "
          "hold") {
  Play play;
  play.run(SettleTime + JoinTime);
  REQUIRE(play.countHeldKeys() == keyspace::KeyCount);
  play.apply({Action::ChangeLeader});
  play.run(100ms);
  play.leave(0);
  play.run(LeasedTarget::LeaseTime / 2);
  CHECK_FALSE(play.holdsKeys(0));
  CHECK(play.countHeldKeys() == keyspace::KeyCount);
}

TEST_CASE("Late heartbeats give keys a second holder") {
  CHECK(rc::check("any heartbeats are held back", [] {
    Play play;
    play.run(SettleTime);
    const auto events = *rc::gen::container<std::vector<Event>>(genEvent());
    for (const auto &event : events) {
      play.apply(event);
      play.run(Step * static_cast<int>(event.Pause + 1));
      RC_ASSERT(play.fault() == "");
    }
    play.run(5s);
    RC_ASSERT(play.fault() == "");
  }));
}
