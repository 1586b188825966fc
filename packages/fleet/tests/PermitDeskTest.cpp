// Tests which permits a core does not issue: for a target that has departed in
// a newer view than its own, and for a request under which targets end.
#include "fleet/PermitDesk.h"

#include "base/EventLoopThread.h"
#include "base/Listener.h"

#include <catch2/catch.hpp>
#include <set>

using namespace magnoliamill;
using namespace magnoliamill::fleet;
using namespace std::chrono_literals;
using admission::PermitDecision;

namespace {

const keyspace::TargetInstance Instance{"a", 7};

ViewUpdate makeView(std::uint64_t number) {
  ViewUpdate update;
  update.Version = {1, number};
  update.IsWhole = true;
  update.Targets = {
      {Instance, 1, "10.0.0.1:80", "stock", "dc-a", 4, TargetState::Ready}};
  return update;
}

/// A desk and the link of an entry to it, on loopback.
class DeskFixture {
public:
  DeskFixture() : Acceptor(EventLoop.context()) {
    REQUIRE(base::openListener(Acceptor, "127.0.0.1", 0));
    Acceptor.async_accept([this](boost::system::error_code ec,
                                 boost::asio::ip::tcp::socket socket) {
      REQUIRE_FALSE(ec);
      LinkHooks hooks;
      hooks.OnFrame = [this](const Frame &frame) { onFrame(frame); };
      hooks.OnClosed = [](const std::string &) {};
      AtCore->accept(std::move(socket), std::move(hooks));
    });
    LinkHooks hooks;
    hooks.OnFrame = [this](const Frame &frame) {
      if (const auto *reply = std::get_if<PermitReply>(&frame))
        Reply = *reply;
    };
    hooks.OnClosed = [](const std::string &) {};
    AtEntry->open("127.0.0.1", Acceptor.local_endpoint().port(),
                  std::move(hooks));
  }
  ~DeskFixture() {
    AtCore->close();
    AtEntry->close();
  }

  void receive(const ViewUpdate &update) {
    REQUIRE(CurrentView.apply(update) == View::Outcome::Applied);
    Desk.onView(CurrentView);
  }
  PermitReply ask(std::uint64_t content = 0) {
    Reply.reset();
    PermitAsk ask;
    ask.Number = ++Number;
    ask.Request.Service = "stock";
    ask.Request.DataCentre = "dc-a";
    ask.Request.LatencyObjective = 1s;
    ask.Request.Timeout = 1s;
    ask.Request.Content = content;
    AtEntry->send(ask);
    const auto end = base::readMonotonic() + 5s;
    while (!Reply && base::readMonotonic() < end)
      EventLoop.context().run_one_for(10ms);
    REQUIRE(Reply);
    return *Reply;
  }
  /// Ends the last permit, which the entry did not use because of \p version.
  void returnPermit(ViewVersion version) {
    AtEntry->send(PermitEnd{
        Number, admission::PermitUse::Abandoned, {}, std::nullopt, version});
  }

  void end(std::uint64_t number, admission::PermitUse use) {
    AtEntry->send(PermitEnd{number, use, 10ms});
  }
  /// Ends the last permit with an answer that reports \p load.
  void endWithLoad(const dispatch::TargetLoad &load) {
    AtEntry->send(PermitEnd{Number, admission::PermitUse::Answered, 10ms,
                            TargetNotice{std::nullopt, load}});
  }
  /// Moves the time of the desk.
  void advance(base::Duration time) { Elapsed += time; }

  /// Contents of requests under which a target has ended.
  std::set<std::uint64_t> Suspects;

private:
  void onFrame(const Frame &frame) {
    const auto now = base::readMonotonic() + Elapsed;
    if (const auto *ask = std::get_if<PermitAsk>(&frame))
      Desk.onAsk(AtCore, *ask, now);
    if (const auto *end = std::get_if<PermitEnd>(&frame))
      Desk.onEnd(AtCore, *end, now);
  }

  base::EventLoopThread EventLoop{"core", 64};
  boost::asio::ip::tcp::acceptor Acceptor;
  std::shared_ptr<Link> AtCore = std::make_shared<Link>(EventLoop.context());
  std::shared_ptr<Link> AtEntry = std::make_shared<Link>(EventLoop.context());
  View CurrentView;
  PermitDesk Desk{
      1, [this](std::uint64_t content) { return Suspects.contains(content); }};
  base::Duration Elapsed{};
  std::optional<PermitReply> Reply;
  std::uint64_t Number = 0;
};

} // namespace

TEST_CASE("A core issues no permits for a target that is not ready in a newer "
          "view") {
  DeskFixture fixture;
  fixture.receive(makeView(5));
  const auto granted = fixture.ask();
  REQUIRE(granted.Decision == PermitDecision::Granted);
  CHECK(granted.Target == Instance);
  CHECK(granted.View == ViewVersion{1, 5});

  SECTION("an entry with an older view, or the same, changes nothing") {
    fixture.returnPermit({1, 4});
    CHECK(fixture.ask().Decision == PermitDecision::Granted);
    fixture.returnPermit({1, 5});
    CHECK(fixture.ask().Decision == PermitDecision::Granted);
  }
  SECTION("an entry with a newer view ends them until the core has that view") {
    fixture.returnPermit({2, 1});
    CHECK(fixture.ask().Decision == PermitDecision::Unknown);
    fixture.receive(makeView(6));
    CHECK(fixture.ask().Decision == PermitDecision::Granted);
  }
}

TEST_CASE("Attempts at a request under which a target has ended don't end all "
          "slots of the next one") {
  constexpr std::uint64_t Deadly = 7;
  constexpr int AttemptCount = 4;
  DeskFixture fixture;
  fixture.receive(makeView(1));
  const auto CountGranted = [&](std::uint64_t content) {
    int granted = 0;
    for (int i = 0; i < AttemptCount; ++i) {
      const auto reply = fixture.ask(content);
      granted += reply.Decision == PermitDecision::Granted ? 1 : 0;
      if (reply.Decision == PermitDecision::Refused)
        CHECK(reply.RetryAfter > base::Duration::zero());
    }
    return granted;
  };

  SECTION("before a target has ended they run together") {
    CHECK(CountGranted(Deadly) == AttemptCount);
  }
  SECTION("after that one at a time") {
    fixture.Suspects = {Deadly};
    CHECK(CountGranted(Deadly) == 1);
    CHECK(CountGranted(Deadly + 1) == AttemptCount - 1);
  }
  SECTION("the next one when the report on a failure has had its time") {
    fixture.Suspects = {Deadly};
    const auto first = fixture.ask(Deadly);
    REQUIRE(first.Decision == PermitDecision::Granted);
    fixture.end(first.Number, admission::PermitUse::Failed);
    CHECK(CountGranted(Deadly) == 0);
    fixture.advance(admission::PermitTrials::ReportTime);
    CHECK(CountGranted(Deadly) == 1);
  }
  SECTION("at once when the first is answered") {
    fixture.Suspects = {Deadly};
    const auto first = fixture.ask(Deadly);
    fixture.end(first.Number, admission::PermitUse::Answered);
    CHECK(CountGranted(Deadly) == 1);
    fixture.Suspects = {};
    CHECK(CountGranted(Deadly) == AttemptCount - 1);
  }
}

TEST_CASE("A changed warm-up limit does not reach targets that are there") {
  DeskFixture fixture;
  auto update = makeView(1);
  update.Targets.front().WarmUntil = base::readMonotonic() + 1h;
  update.Targets.front().Slots = 100;
  fixture.receive(update);
  CHECK(fixture.ask().Decision == PermitDecision::Granted);
  update.IsWhole = false;
  update.Targets.clear();
  routing::Service service;
  service.Name = "stock";
  const auto change = [&](double PerSecond) {
    ++update.Version.Number;
    ++service.Version;
    service.WarmUpPerSecond = PerSecond;
    update.Items.Services = {service};
    fixture.receive(update);
  };
  // Half of it, which is one, since the deployment allows nothing beyond it.
  change(2);
  CHECK(fixture.ask().Decision == PermitDecision::Granted);
  const auto answer = fixture.ask();
  CHECK(answer.Decision != PermitDecision::Granted);
  change(0);
  CHECK(fixture.ask().Decision == PermitDecision::Granted);
}

TEST_CASE("A load report at the end of a permit is not passed to the issuer") {
  DeskFixture fixture;
  fixture.receive(makeView(5));
  REQUIRE(fixture.ask().Decision == PermitDecision::Granted);
  fixture.endWithLoad({4, 8, 4, 100});
  // The target is full of requests of other senders; one permit is left.
  CHECK(fixture.ask().Decision == PermitDecision::Granted);
  CHECK(fixture.ask().Decision == PermitDecision::Queued);
}
