// Tests that a core issues no permits for a target that has departed in a newer
// view than its own.
#include "fleet/PermitDesk.h"

#include "base/EventLoopThread.h"
#include "base/Listener.h"

#include <catch2/catch.hpp>

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
      {Instance, 1, "10.0.0.1:80", "stock", "dc-a", 1, TargetState::Ready}};
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
  PermitReply ask() {
    Reply.reset();
    PermitAsk ask;
    ask.Number = ++Number;
    ask.Request.Service = "stock";
    ask.Request.DataCentre = "dc-a";
    ask.Request.LatencyObjective = 1s;
    ask.Request.Timeout = 1s;
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

private:
  void onFrame(const Frame &frame) {
    const auto now = base::readMonotonic();
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
  PermitDesk Desk{1};
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
