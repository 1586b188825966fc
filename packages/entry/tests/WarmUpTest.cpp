// Guards against requests to a target that warms up without a permit of the
// core that counts them.
#include "EntryFixture.h"
#include "PermitQueue.h"

#include <thread>

using namespace magnoliamill;
using namespace magnoliamill::entry;
using namespace magnoliamill::entry::tests;
using namespace std::chrono_literals;

namespace {

constexpr int RequestCount = 10;

void answer(Peer &peer, int) { peer.send(Answer); }

} // namespace

TEST_CASE("Without a permit a request reaches a target that warms up") {
  const auto origin = GENERATE(RequestOrigin::Client, RequestOrigin::Entry);

  SECTION("although another one is warm") {
    Entry entry(answer);
    entry.warmUp();
    for (int n = 0; n < RequestCount; ++n)
      CHECK(entry.request("POST", "/order/1", origin) == 200);
    CHECK(entry.countAtFirst() == 0);
  }
  SECTION("because no other could get it") {
    const bool IsKeyed = GENERATE(false, true);
    Entry entry(answer, {IsKeyed});
    entry.warmUp(!IsKeyed);
    for (int n = 0; n < RequestCount; ++n) {
      CHECK(entry.request("POST", "/order/1", origin) == 503);
      // A third of the time left, as for a pause of the target.
      CHECK(entry.retryAfterMs() >= 500);
      CHECK(entry.retryAfterMs() <= 1500);
    }
    CHECK(entry.countRequests() == 0);
  }
  SECTION("as a retry") {
    Entry entry([](Peer &peer, int) { peer.send(Refusal); });
    entry.warmUp();
    CHECK(entry.request("GET", "/read/1", origin) == 503);
    CHECK(entry.countRequests() == 1);
    CHECK(entry.countAtSecond() == 1);
  }
}

TEST_CASE("With a permit a target that warms up gets no request") {
  PermitQueue core;
  const bool IsKeyed = GENERATE(false, true);
  Entry entry(answer, {IsKeyed, 10s, core.port()});
  entry.warmUp(true);
  const auto waiting = entry.start("POST", "/order/1");
  REQUIRE(core.awaitAsks(1));
  core.grant(0, entry.first());
  REQUIRE(waitFor([&] { return waiting.isEnded(); }));
  CHECK(waiting.status() == 200);
  CHECK(entry.countAtFirst() == 1);
}

TEST_CASE("A request is written to a target that became cold after it was "
          "chosen") {
  // The first request without a permit is lost on a connection that is kept, so
  // that it would be written again on a new one.
  std::atomic<bool> IsCold{false};
  Entry entry(
      [&](Peer &peer, int number) {
        if (number != 2)
          return answer(peer, number);
        waitFor([&] { return IsCold.load(); });
        peer.close();
      },
      {true});
  CHECK(entry.request("GET", "/read/1") == 200);
  const auto lost = entry.start("GET", "/read/2");
  REQUIRE(waitFor([&] { return entry.countAtFirst() == 2; }));
  entry.warmUp();
  IsCold = true;
  CHECK(waitFor([&] { return lost.isEnded(); }));
  CHECK(entry.countRequests() == 2);
}

TEST_CASE("A request is written long after its permit was counted") {
  PermitQueue core;
  Entry entry(
      [](Peer &peer, int number) {
        if (number != 2)
          return answer(peer, number);
        std::this_thread::sleep_for(600ms);
        peer.close();
      },
      {true, 10s, core.port()});
  entry.warmUp();
  for (std::size_t n = 0; n < 2; ++n) {
    const auto running = entry.start("GET", "/read/1");
    REQUIRE(core.awaitAsks(n + 1));
    core.grant(n, entry.first());
    CHECK(waitFor([&] { return running.isEnded(); }));
  }
  // The second one is lost on the kept connection and not written again.
  CHECK(entry.countRequests() == 2);
}
