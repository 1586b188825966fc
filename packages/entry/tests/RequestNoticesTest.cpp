// Tests that requests respect what targets told in earlier answers.
#include "EntryFixture.h"
#include "PermitQueue.h"

#include <thread>

using namespace magnoliamill;
using namespace magnoliamill::entry;
using namespace magnoliamill::entry::tests;
using namespace std::chrono_literals;

namespace {

void answer(Peer &peer, int) { peer.send(Answer); }
void answerLeaving(Peer &peer, int) {
  peer.send("HTTP/1.1 200 OK\r\nMark: yes\r\nLeaving: yes\r\n"
            "Content-Length: 2\r\n\r\nok");
}
void refuseWithPause(Peer &peer, base::Duration pause) {
  peer.send("HTTP/1.1 503 Service Unavailable\r\nNot-Run: yes\r\nPause-Ms: " +
            std::to_string(base::toMs(pause)) +
            "\r\nContent-Length: 0\r\n\r\n");
}

void answerLimited(Peer &peer, double rate) {
  peer.send("HTTP/1.1 200 OK\r\nMark: yes\r\nRate: " + std::to_string(rate) +
            "\r\nContent-Length: 2\r\n\r\nok");
}

} // namespace

TEST_CASE("No request reaches a leaving target after its drain time") {
  constexpr base::Duration DrainTime = 400ms;

  SECTION("without keys, the other one is chosen from then on") {
    Entry entry([](Peer &peer, int number) {
      number == 1 ? answerLeaving(peer, number) : answer(peer, number);
    });
    for (int n = 0; n < 30; ++n)
      CHECK(entry.request("GET", "/read/1") == 200);
    CHECK(std::min(entry.countAtFirst(), entry.countAtSecond()) == 1);
  }
  SECTION("without keys, all of them: refused at once, with Retry-After") {
    Entry entry(answerLeaving, {false, DrainTime});
    CHECK(entry.request("GET", "/read/1") == 200);
    CHECK(entry.request("GET", "/read/1") == 200);
    CHECK(entry.request("GET", "/read/1") == 200);
    std::this_thread::sleep_for(DrainTime);
    CHECK(entry.request("GET", "/read/1") == 503);
    CHECK(entry.hasRetryAfter());
    CHECK(entry.countRequests() == 3);
  }
  SECTION("the holder of a key serves it until then") {
    Entry entry(answerLeaving, {true, DrainTime});
    for (int n = 0; n < 3; ++n)
      CHECK(entry.request("POST", "/order/1") == 200);
    std::this_thread::sleep_for(DrainTime);
    CHECK(entry.request("POST", "/order/1") == 503);
    CHECK(entry.hasRetryAfter());

    SECTION("also if the view calls it ready again") {
      entry.repeatFirst(1);
      CHECK(entry.request("POST", "/order/1") == 503);
      CHECK(entry.countRequests() == 3);
    }
    SECTION("the next process at the address serves the key") {
      entry.repeatFirst(2);
      CHECK(entry.request("POST", "/order/1") == 200);
    }
  }
  SECTION("a failure or a refusal says so, too") {
    for (const auto *status :
         {"500 Failed\r\nMark: yes", "503 Unavailable\r\nNot-Run: yes"}) {
      Entry entry(
          [&](Peer &peer, int) {
            peer.send("HTTP/1.1 " + std::string(status) +
                      "\r\nLeaving: yes\r\nContent-Length: 0\r\n\r\n");
          },
          {true, DrainTime});
      entry.request("POST", "/order/1");
      std::this_thread::sleep_for(DrainTime);
      entry.request("POST", "/order/1");
      CHECK(entry.countRequests() == 1);
    }
  }
  SECTION("another target at the address speaks for itself only") {
    Entry entry(
        [](Peer &peer, int) {
          peer.send("HTTP/1.1 421 Misdirected\r\nOther-Target: yes\r\n"
                    "Leaving: yes\r\nPause-Ms: 5000\r\n"
                    "Content-Length: 0\r\n\r\n");
        },
        {true, 1ms});
    entry.request("POST", "/order/1");
    entry.request("POST", "/order/1");
    CHECK(entry.countRequests() == 2);
  }
}

TEST_CASE("No request reaches a target during the pause that it asked for") {
  constexpr base::Duration Pause = 400ms;

  SECTION("the holder of a key: refused at once, with what is left of it") {
    Entry entry(
        [&](Peer &peer, int number) {
          number <= 2 ? refuseWithPause(peer, Pause) : answer(peer, number);
        },
        {true});
    CHECK(entry.request("POST", "/order/1") == 503);
    CHECK(entry.retryAfterMs() > 200);
    CHECK(entry.retryAfterMs() <= 400);
    CHECK(entry.request("POST", "/order/1") == 503);
    CHECK(entry.request("GET", "/read/1") == 503);
    CHECK(entry.countRequests() == 1);
    std::this_thread::sleep_for(Pause);

    SECTION("it may renew the pause") {
      CHECK(entry.request("POST", "/order/1") == 503);
      CHECK(entry.request("POST", "/order/1") == 503);
      CHECK(entry.countRequests() == 2);
      std::this_thread::sleep_for(Pause);
      CHECK(entry.request("POST", "/order/1") == 200);
    }
  }
  SECTION("the next process at the address has asked for nothing") {
    Entry entry(
        [&](Peer &peer, int number) {
          number == 1 ? refuseWithPause(peer, 5s) : answer(peer, number);
        },
        {true});
    CHECK(entry.request("POST", "/order/1") == 503);
    entry.repeatFirst(1);
    CHECK(entry.request("POST", "/order/1") == 503);
    entry.repeatFirst(2);
    CHECK(entry.request("POST", "/order/1") == 200);
  }
  SECTION("a long pause does not send the client away for longer than it has") {
    Entry entry([&](Peer &peer, int) { refuseWithPause(peer, 20s); }, {true});
    entry.request("POST", "/order/1");
    CHECK(entry.retryAfterMs() > 0);
    CHECK(entry.retryAfterMs() <= base::toMs(RouteTimeout) / 3);
  }
  SECTION("without keys, another target answers, and the retry goes at once") {
    Entry entry([](Peer &peer, int number) {
      number == 1 ? refuseWithPause(peer, 10s) : answer(peer, number);
    });
    for (int n = 0; n < 30; ++n)
      CHECK(entry.request("POST", "/order/1") == 200);
    CHECK(std::min(entry.countAtFirst(), entry.countAtSecond()) == 1);
  }
  SECTION("without keys, all of them: refused at once, with what is left") {
    Entry entry([&](Peer &peer, int) { refuseWithPause(peer, Pause); });
    CHECK(entry.request("POST", "/order/1") == 503);
    CHECK(entry.countRequests() == 2);
    CHECK(entry.request("POST", "/order/1") == 503);
    CHECK(entry.retryAfterMs() > 0);
    CHECK(entry.countRequests() == 2);
  }
  SECTION("a lost request is not sent there again on a new connection") {
    std::atomic<bool> IsPaused{false};
    Entry entry(
        [&](Peer &peer, int number) {
          if (number == 1)
            return answer(peer, number);
          if (number == 2) {
            waitFor([&] { return IsPaused.load(); });
            return peer.close();
          }
          refuseWithPause(peer, 5s);
        },
        {true});
    CHECK(entry.request("GET", "/read/1") == 200);
    const auto lost = entry.start("GET", "/read/2");
    REQUIRE(waitFor([&] { return entry.countRequests() == 2; }));
    CHECK(entry.request("GET", "/read/3") == 503);
    IsPaused = true;
    CHECK(waitFor([&] { return lost.isEnded(); }));
    CHECK(entry.countRequests() == 3);
  }
}

TEST_CASE("A permit does not open a target that gave notice") {
  PermitQueue core;

  SECTION("a request that waits for it is refused when the pause begins") {
    Entry entry([](Peer &peer, int) { refuseWithPause(peer, 20s); },
                {true, 10s, core.port()});
    const auto sent = entry.start("POST", "/order/1");
    const auto waiting = entry.start("POST", "/order/2");
    REQUIRE(core.awaitAsks(2));
    const auto at = base::readMonotonic();
    core.grant(0, entry.first());
    CHECK(waitFor([&] { return sent.isEnded() && waiting.isEnded(); }));
    CHECK(base::readMonotonic() - at < RouteTimeout / 2);
    CHECK(waiting.status() == 503);
    core.grant(1, entry.first());
    CHECK(entry.request("POST", "/order/3") == 503);
    CHECK(entry.countRequests() == 1);
  }
  SECTION("without keys, another target is chosen after the drain time") {
    Entry entry(answerLeaving, {false, 1ms, core.port()});
    const auto sent = entry.start("POST", "/order/1");
    const auto waiting = entry.start("POST", "/order/2");
    REQUIRE(core.awaitAsks(2));
    core.grant(0, entry.first());
    CHECK(waitFor([&] { return sent.isEnded(); }));
    core.grant(1, entry.first());
    CHECK(waitFor([&] { return waiting.isEnded(); }));
    CHECK(waiting.status() == 200);
    CHECK(entry.countAtFirst() == 1);
    CHECK(entry.countAtSecond() == 1);
  }
}

TEST_CASE("Without permits a target gets no more requests than the rate that "
          "it named") {
  constexpr double RateLimit = 10;
  constexpr int RequestCount = 50;

  SECTION("the holder of a key: the others are refused at once") {
    Entry entry([](Peer &peer, int) { answerLimited(peer, RateLimit); },
                {true});
    const auto start = base::readMonotonic();
    int refused = 0;
    for (int n = 0; n < RequestCount; ++n)
      if (entry.request("POST", "/order/1") == 503) {
        ++refused;
        CHECK(entry.retryAfterMs() > 0);
        CHECK(entry.retryAfterMs() <= 1000 / RateLimit);
      }
    const std::chrono::duration<double> taken = base::readMonotonic() - start;
    CHECK(entry.countRequests() <= 2 + RateLimit * taken.count());
    CHECK(refused == RequestCount - entry.countRequests());

    SECTION("and a later one is served") {
      std::this_thread::sleep_for(200ms);
      CHECK(entry.request("POST", "/order/1") == 200);
    }
  }
  SECTION("without keys, another target gets the others") {
    Entry entry([](Peer &peer, int number) {
      number == 1 ? answerLimited(peer, 0.1) : answer(peer, number);
    });
    for (int n = 0; n < RequestCount; ++n)
      CHECK(entry.request("POST", "/order/1") == 200);
    CHECK(std::min(entry.countAtFirst(), entry.countAtSecond()) == 1);
  }
  SECTION("a target that names none any more gets all requests") {
    Entry entry(
        [](Peer &peer, int number) {
          number == 1 ? answerLimited(peer, RateLimit) : answer(peer, number);
        },
        {true});
    CHECK(entry.request("POST", "/order/1") == 200);
    std::this_thread::sleep_for(200ms);
    for (int n = 0; n < RequestCount; ++n)
      CHECK(entry.request("POST", "/order/1") == 200);
  }
}
