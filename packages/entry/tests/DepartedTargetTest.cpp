// Guards against requests to a target whose departure was acknowledged, sent on
// the word of a core that does not have the departure in its view.
#include "EntryFixture.h"
#include "PermitQueue.h"
#include "fleet/PermitDesk.h"

using namespace magnoliamill;
using namespace magnoliamill::entry;
using namespace magnoliamill::entry::tests;
using namespace std::chrono_literals;

namespace {

constexpr int RequestCount = 20;

void answer(Peer &peer, int) { peer.send(Answer); }

/// A core that issues permits by a view which it receives once.
class CutOffCore {
public:
  ~CutOffCore() {
    Core.run([this] { Desk.reset(); });
  }
  std::uint16_t port() const { return Core.port(); }
  void receive(const fleet::ViewUpdate &update) {
    Core.run([&] {
      CHECK(View.apply(update) == fleet::View::Outcome::Applied);
      Desk->onView(View);
    });
  }
  std::size_t countAsks() const { return Asks; }

private:
  void onFrame(const LoopbackCore::LinkPtr &from, const fleet::Frame &frame) {
    const auto now = base::readMonotonic();
    if (const auto *end = std::get_if<fleet::PermitEnd>(&frame))
      return Desk->onEnd(from, *end, now);
    if (const auto *ask = std::get_if<fleet::PermitAsk>(&frame)) {
      ++Asks;
      Desk->onAsk(from, *ask, now);
    }
  }

  fleet::View View;
  std::optional<fleet::PermitDesk> Desk{1};
  std::atomic<std::size_t> Asks{0};
  LoopbackCore Core{
      [this](const auto &from, const auto &frame) { onFrame(from, frame); }};
};

} // namespace

TEST_CASE("No request reaches a target that is leaving or gone in the entry's "
          "view") {
  const bool IsGone = GENERATE(false, true);

  SECTION("although a core that is cut off grants permits for it") {
    const auto origin = GENERATE(RequestOrigin::Client, RequestOrigin::Entry);
    CutOffCore core;
    Entry entry(answer, {false, 10s, core.port()});
    core.receive(entry.describeView());
    entry.departFirst(IsGone);
    for (int n = 0; n < RequestCount; ++n)
      CHECK(entry.request("POST", "/order/1", origin) == 200);
    CHECK(entry.countAtFirst() == 0);
    CHECK(entry.countAtSecond() == RequestCount);
    // One permit was returned.
    CHECK(core.countAsks() <= RequestCount + 1);
  }
  SECTION("although the request waited for its permit meanwhile") {
    PermitQueue core;
    const bool IsKeyed = GENERATE(false, true);
    Entry entry(answer, {IsKeyed, 10s, core.port()});
    const auto waiting = entry.start("POST", "/order/1");
    REQUIRE(core.awaitAsks(1));
    entry.departFirst(IsGone);
    core.grant(0, entry.first());
    REQUIRE(
        waitFor([&] { return waiting.isEnded() || core.countAsks() == 2; }));
    if (core.countAsks() == 2)
      core.grant(1, entry.second());
    CHECK(waitFor([&] { return waiting.isEnded(); }));
    CHECK(waiting.status() == 200);
    CHECK(entry.countAtFirst() == 0);
  }
  SECTION("although a lost request could go there again on a new connection") {
    std::atomic<bool> HasDeparted{false};
    PermitQueue core;
    Entry entry(
        [&](Peer &peer, int number) {
          if (number == 1)
            return answer(peer, number);
          if (number == 2) {
            waitFor([&] { return HasDeparted.load(); });
            return peer.close();
          }
          answer(peer, number);
        },
        {false, 10s, core.port()});
    const auto served = entry.start("GET", "/read/1");
    REQUIRE(core.awaitAsks(1));
    core.grant(0, entry.first());
    REQUIRE(waitFor([&] { return served.isEnded(); }));
    const auto lost = entry.start("GET", "/read/2");
    REQUIRE(core.awaitAsks(2));
    core.grant(1, entry.first());
    REQUIRE(waitFor([&] { return entry.countAtFirst() == 2; }));
    entry.departFirst(IsGone);
    HasDeparted = true;
    CHECK(waitFor([&] { return lost.isEnded(); }));
    CHECK(lost.status() == 200);
    CHECK(entry.countAtFirst() == 2);
    CHECK(entry.countAtSecond() == 1);
  }
}
