// Guards against requests that reach targets of an evacuated data centre: new
// ones, those that wait for a permit, those that are sent again and relayed
// ones.
#include "EntryFixture.h"
#include "PermitQueue.h"

#include <thread>

using namespace magnoliamill;
using namespace magnoliamill::entry;
using namespace magnoliamill::entry::tests;
using namespace std::chrono_literals;

namespace {

constexpr auto ServingTime = EvacuatedCentres::ServingTime;
constexpr auto Slack = 300ms;

void answer(Peer &peer, int) { peer.send(Answer); }

EntryOptions makeOptions(bool keyed, std::uint16_t port = 0) {
  return {keyed, 10s, port, "dc-b"};
}

} // namespace

TEST_CASE("Requests without a key avoid an evacuated data centre at once") {
  SECTION("without permits") {
    Entry entry(answer, makeOptions(false));
    entry.evacuate({"dc-a"});
    for (int n = 0; n < 5; ++n)
      CHECK(entry.request("POST", "/order/1") == 200);
    CHECK(entry.countAtSecond() == 5);
    SECTION("and are refused if there is no other") {
      entry.evacuate({"dc-a", "dc-b"});
      CHECK(entry.request("POST", "/order/1") == 503);
    }
    SECTION("and return when the evacuation ends") {
      entry.evacuate({"dc-b"});
      CHECK(entry.request("POST", "/order/1") == 200);
      CHECK(entry.countAtFirst() == 1);
    }
  }
  SECTION("also while they wait for a permit there") {
    PermitQueue core;
    Entry entry(answer, makeOptions(false, core.port()));
    const auto waiting = entry.start("POST", "/order/1");
    REQUIRE(core.awaitAsks(1));
    entry.evacuate({"dc-a"});
    REQUIRE(core.awaitAsks(2));
    core.grant(1, entry.second());
    CHECK(waitFor([&] { return waiting.isEnded(); }));
    CHECK(waiting.status() == 200);
    CHECK(entry.countAtFirst() == 0);
  }
  SECTION("also if a core grants a permit there") {
    PermitQueue core;
    Entry entry(answer, makeOptions(false, core.port()));
    entry.evacuate({"dc-a"});
    const auto waiting = entry.start("POST", "/order/1");
    for (std::size_t n = 0; n < 4; ++n) {
      REQUIRE(core.awaitAsks(n + 1));
      core.grant(n, entry.first());
    }
    CHECK(waitFor([&] { return waiting.isEnded(); }));
    CHECK(waiting.status() == 200);
    CHECK(entry.countAtFirst() == 0);
  }
}

TEST_CASE("Keys are served in an evacuated data centre for 2 s only") {
  Entry entry(answer, makeOptions(true));
  entry.evacuate({"dc-a"});
  CHECK(entry.request("POST", "/order/1") == 200);
  // A second update does not start the time again.
  std::this_thread::sleep_for(ServingTime / 2);
  entry.evacuate({"dc-a", "dc-c"});
  std::this_thread::sleep_for(ServingTime / 2 + Slack);
  CHECK(entry.request("POST", "/order/1") == 503);
  CHECK(entry.countAtFirst() == 1);
  entry.evacuate({"dc-a"}, true);
  CHECK(entry.request("POST", "/order/1") == 200);
  CHECK(entry.countAtSecond() == 1);
}

TEST_CASE("A key's request that waits for a permit follows the key") {
  PermitQueue core;
  Entry entry(answer, makeOptions(true, core.port()));
  const auto waiting = entry.start("POST", "/order/1");
  REQUIRE(core.awaitAsks(1));
  entry.evacuate({"dc-a"});
  CHECK(core.countAsks() == 1);
  entry.evacuate({"dc-a"}, true);
  REQUIRE(core.awaitAsks(2));
  core.grant(1, entry.second());
  CHECK(waitFor([&] { return waiting.isEnded(); }));
  CHECK(waiting.status() == 200);
  CHECK(entry.countAtFirst() == 0);
}

TEST_CASE(
    "A key's request with a late permit waits for the key's next holder") {
  PermitQueue core;
  Entry entry(answer, makeOptions(true, core.port()));
  entry.evacuate({"dc-a"});
  std::this_thread::sleep_for(ServingTime - Slack);
  const auto waiting = entry.start("POST", "/order/1");
  REQUIRE(core.awaitAsks(1));
  std::this_thread::sleep_for(Slack + Slack / 3);
  core.grant(0, entry.first());
  std::this_thread::sleep_for(Slack / 3);
  entry.evacuate({"dc-a"}, true);
  REQUIRE(core.awaitAsks(2));
  core.grant(1, entry.second());
  CHECK(waitFor([&] { return waiting.isEnded(); }));
  CHECK(waiting.status() == 200);
  CHECK(entry.countAtFirst() == 0);
}

TEST_CASE("A lost request is not sent to an evacuated data centre again") {
  std::atomic<bool> IsClosed{false};
  Entry entry(
      [&](Peer &peer, int number) {
        if (number == 1)
          return answer(peer, number);
        waitFor([&] { return IsClosed.load(); });
        peer.close();
      },
      makeOptions(true));
  CHECK(entry.request("GET", "/read/1") == 200);
  entry.evacuate({"dc-a"});
  std::this_thread::sleep_for(ServingTime - Slack);
  const auto lost = entry.start("GET", "/read/2");
  REQUIRE(waitFor([&] { return entry.countAtFirst() == 2; }));
  std::this_thread::sleep_for(2 * Slack);
  IsClosed = true;
  CHECK(waitFor([&] { return lost.isEnded(); }));
  CHECK(entry.countAtFirst() == 2);
}

TEST_CASE("An entry without the evacuations of the relaying one refuses") {
  Entry entry(answer, makeOptions(false));
  entry.evacuate({"dc-b"});
  const auto relay = [&](std::string version) {
    return entry.request(
        "POST", "/order/1", RequestOrigin::Entry,
        {{std::string(entry::internal::EvacuationHeader), std::move(version)}});
  };
  CHECK(relay("1 2") == 200);
  CHECK(relay("1 3") == 503);
  CHECK(relay("2 0") == 503);
  CHECK(relay("malformed") == 503);
}
