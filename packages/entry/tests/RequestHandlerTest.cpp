// Tests the answer to the client after its request was refused, lost or
// answered by targets, over several attempts.
#include "EntryFixture.h"

#include <thread>

using namespace magnoliamill;
using namespace magnoliamill::entry;
using namespace magnoliamill::entry::tests;
using namespace std::chrono_literals;

namespace {

void refuse(Peer &peer) { peer.send(Refusal); }
/// Closes the connection after the request was read, so that it may have run.
void loseConnection(Peer &peer) {
  peer.send("HTTP/1.1 200 OK\r\nMark: yes\r\nContent-Length: 9\r\n\r\n");
  peer.close();
}

} // namespace

TEST_CASE("The answer tells correctly whether the request has run") {
  SECTION("refused by all targets: not run, with Retry-After") {
    Entry entry([](Peer &peer, int) { refuse(peer); });
    CHECK(entry.request("GET", "/read/1") == 503);
    CHECK(entry.hasRetryAfter());
    CHECK(entry.countRequests() == 2);
  }
  SECTION(
      "the VM exits before the route's timeout: not run, with Retry-After") {
    Entry entry([](Peer &peer, int) { peer.send(Answer); });
    entry.beginStop(RouteTimeout);
    CHECK(entry.request("GET", "/read/1") == 503);
    CHECK(entry.hasRetryAfter());
    CHECK(entry.countRequests() == 0);
  }
  SECTION("the VM is stopping, but exits after the route's timeout: answered") {
    Entry entry([](Peer &peer, int) { peer.send(Answer); });
    entry.beginStop(2 * RouteTimeout);
    CHECK(entry.request("GET", "/read/1") == 200);
  }
  SECTION("refused, then answered") {
    Entry entry([](Peer &peer, int number) {
      number == 1 ? refuse(peer) : peer.send(Answer);
    });
    CHECK(entry.request("POST", "/order/1") == 200);
  }
  SECTION("lost, then refused: may have run") {
    Entry entry([](Peer &peer, int number) {
      number == 1 ? loseConnection(peer) : refuse(peer);
    });
    CHECK(entry.request("GET", "/read/1") == 502);
    CHECK_FALSE(entry.hasRetryAfter());
    CHECK(entry.countRequests() == 2);
  }
  SECTION("lost and not idempotent: not retried") {
    Entry entry([](Peer &peer, int) { loseConnection(peer); });
    CHECK(entry.request("POST", "/order/1") == 502);
    CHECK_FALSE(entry.hasRetryAfter());
    CHECK(entry.countRequests() == 1);
  }
  SECTION("lost, then answered") {
    Entry entry([](Peer &peer, int number) {
      number == 1 ? loseConnection(peer) : peer.send(Answer);
    });
    CHECK(entry.request("GET", "/read/1") == 200);
  }
}

TEST_CASE(
    "An earlier refusal written again on a kept connection says nothing") {
  EntryOptions options;
  options.IsKeyed = true;

  SECTION("without the id of its request: the outcome is unknown") {
    Entry entry(
        [&](Peer &peer, int number) {
          peer.send(Answer);
          if (number > 1)
            return;
          // Wait for the next request, so that the kept connection is used.
          peer.readRequest();
          peer.send("HTTP/1.1 503 Service Unavailable\r\nNot-Run: yes\r\n"
                    "No-Id: yes\r\nContent-Length: 0\r\n\r\n");
        },
        options);
    REQUIRE(entry.request("POST", "/order/1") == 200);
    CHECK(entry.request("POST", "/order/2") == 502);
    CHECK_FALSE(entry.hasRetryAfter());
  }
  SECTION("of another request: the answer behind it counts") {
    Entry entry(
        [&](Peer &peer, int number) {
          if (number > 1)
            peer.send("HTTP/1.1 503 Service Unavailable\r\nNot-Run: yes\r\n"
                      "Id: r-0\r\nContent-Length: 0\r\n\r\n");
          peer.send(Answer);
        },
        options);
    REQUIRE(entry.request("POST", "/order/1") == 200);
    CHECK(entry.request("POST", "/order/2") == 200);
    CHECK(entry.countRequests() == 2);
  }
}

// An entry that was cut off answered 404 for routes that had been added since,
// and callers don't repeat a request after that.
TEST_CASE("A route that is newer than the view is refused for good") {
  Entry entry([](Peer &peer, int) { peer.send(Answer); });
  CHECK(entry.request("GET", "/other/1") == 404);
  CHECK_FALSE(entry.hasRetryAfter());
  entry.setViewAge(1900ms);
  CHECK(entry.request("GET", "/other/1") == 404);

  SECTION("also if the view was not confirmed for the time of a change") {
    entry.setViewAge(2100ms);
    CHECK(entry.request("GET", "/other/1") == 503);
    CHECK(entry.hasRetryAfter());
    CHECK(entry.request("GET", "/read/1") == 200);
  }
}

TEST_CASE("An answer that ends in its head has an unknown outcome") {
  Entry entry([](Peer &peer, int) {
    peer.send("HTTP/1.1 200 OK\r\nMark: yes\r\nContent-Le");
    peer.close();
  });
  CHECK(entry.request("POST", "/order/1") == 502);
  CHECK_FALSE(entry.hasRetryAfter());
  CHECK(entry.countRequests() == 1);
}

TEST_CASE("An answer without end is given up, and its outcome is unknown") {
  struct Form {
    const char *Title;
    std::string Start;
    /// Repeated until the connection is closed.
    std::string Rest;
  };
  const std::string head = "HTTP/1.1 200 OK\r\nMark: yes\r\n";
  const std::vector<Form> forms{{"without a length", head + "\r\n", "body"},
                                {"in chunks",
                                 head + "Transfer-Encoding: chunked\r\n\r\n",
                                 "400\r\n" + std::string(1024, 'x') + "\r\n"}};
  for (const auto &form : forms) {
    std::atomic<std::size_t> accepted{0};
    const auto script = [&](Peer &peer, int number) {
      peer.send(number == 1 ? form.Start : Answer);
      if (number == 1)
        accepted = peer.sendEndlessly(form.Rest);
    };
    // Half of the memory for answers.
    constexpr std::size_t MaxBytes =
        (34u << 20) + gateway::tests::MaxSocketBufferBytes;

    DYNAMIC_SECTION(form.Title << ", not idempotent: not sent again") {
      Entry entry(script);
      CHECK(entry.request("POST", "/order/1") == 502);
      CHECK_FALSE(entry.hasRetryAfter());
      CHECK(entry.countRequests() == 1);
      REQUIRE(waitFor([&] { return accepted > 0; }));
      CHECK(accepted < MaxBytes);
    }
    DYNAMIC_SECTION(form.Title << ", idempotent: answered by another target") {
      Entry entry(script);
      CHECK(entry.request("GET", "/read/1") == 200);
      CHECK(entry.body() == "ok");
      CHECK(entry.countRequests() == 2);
      REQUIRE(waitFor([&] { return accepted > 0; }));
      CHECK(accepted < MaxBytes);
    }
  }
}

TEST_CASE("A large answer is passed on while it is received") {
  const std::string whole(200u << 10, 'x');
  const auto SendHead = [&](Peer &peer) {
    peer.send("HTTP/1.1 200 OK\r\nMark: yes\r\nContent-Length: " +
              std::to_string(whole.size()) + "\r\n\r\n");
  };

  SECTION("the client gets the whole body") {
    Entry entry([&](Peer &peer, int) {
      SendHead(peer);
      peer.send(whole.substr(0, 150u << 10));
      std::this_thread::sleep_for(50ms);
      peer.send(whole.substr(150u << 10));
    });
    CHECK(entry.request("GET", "/file/1") == 200);
    CHECK(entry.body() == whole);
    CHECK_FALSE(entry.hasFailed());
  }
  SECTION("lost after more than half: broken off, never completed") {
    Entry entry([&](Peer &peer, int) {
      SendHead(peer);
      peer.send(whole.substr(0, 150u << 10));
      std::this_thread::sleep_for(50ms);
      peer.close();
    });
    entry.request("GET", "/file/1");
    CHECK(entry.hasFailed());
    CHECK(entry.body().size() < whole.size());
    CHECK(entry.countRequests() == 1);
  }
  SECTION("lost before half of it arrived: retried") {
    Entry entry([&](Peer &peer, int number) {
      SendHead(peer);
      peer.send(whole.substr(0, number == 1 ? 50u << 10 : whole.size()));
      if (number == 1)
        peer.close();
    });
    CHECK(entry.request("GET", "/file/1") == 200);
    CHECK(entry.body() == whole);
    CHECK(entry.countRequests() == 2);
  }
}

TEST_CASE("A request is not sent again after its client has left") {
  const bool keyed = GENERATE(false, true);
  EntryOptions options;
  options.IsKeyed = keyed;
  Entry entry([](Peer &peer, int) { peer.awaitClose(); }, options);
  const auto cancel = entry.startCancellable("GET", "/read/x");
  REQUIRE(waitFor([&] { return entry.countRequests() == 1; }));
  cancel();
  std::this_thread::sleep_for(300ms);
  CHECK(entry.countRequests() == 1);
}

// Requests that are refused are load too; those counted twice would move
// stripes of targets that can't be reached.
TEST_CASE("A request with a key is counted once for its stripe") {
  EntryOptions options;
  options.IsKeyed = true;
  Entry entry([](Peer &peer, int) { peer.send(Refusal); }, options);
  CHECK(entry.request("POST", "/order/1") == 503);
  CHECK(entry.request("POST", "/order/2", RequestOrigin::Entry) == 503);
  const auto report = entry.takeStripeLoads();
  REQUIRE(report.size() == 1);
  CHECK(report[0].Service == "vault");
  CHECK(report[0].StripeCount == 1);
  CHECK(report[0].Requests == 1);
  CHECK(report[0].Busiest == std::vector<fleet::StripeLoad::Count>{{0, 1}});
  CHECK(entry.takeStripeLoads().empty());
}
