// Tests to which entry a request is relayed.
#include "entry/RelayPeers.h"

#include <catch2/catch.hpp>

using namespace magnoliamill;
using namespace magnoliamill::entry;
using namespace std::chrono_literals;

TEST_CASE("A request is relayed to an entry that can probably serve it") {
  const base::MonoTime now{1h};
  RelayPeers peers("dc-a", 7);
  const std::vector<fleet::VmAddress> entries{
      {"10.1.0.1", "dc-a"}, {"10.2.0.1", "dc-b"}, {"10.3.0.1", "dc-c"}};
  CHECK(peers.choose({}, now).empty());
  peers.update(entries);

  SECTION("of the own data centre first") {
    CHECK(peers.choose({}, now) == "10.1.0.1");
  }
  SECTION("of another one if that one has many relayed requests") {
    for (std::uint32_t i = 0; i <= RelayPeers::DataCentreAdvantage; ++i)
      peers.onSent("10.1.0.1");
    CHECK(peers.choose({}, now) != "10.1.0.1");

    SECTION("until they have ended") {
      peers.onDone("10.1.0.1");
      peers.onDone("10.1.0.1");
      CHECK(peers.choose({}, now) == "10.1.0.1");
    }
    SECTION("also after an update") {
      peers.update(entries);
      CHECK(peers.choose({}, now) != "10.1.0.1");
    }
  }
  SECTION("not to one that was tried for it") {
    const std::vector<std::string> tried{"10.1.0.1", "10.2.0.1"};
    CHECK(peers.choose(tried, now) == "10.3.0.1");
  }
  SECTION("not to one that failed a moment ago") {
    peers.onUnusable("10.1.0.1", now);
    CHECK(peers.choose({}, now) != "10.1.0.1");
    CHECK(peers.choose({}, now + RelayPeers::AvoidTime) == "10.1.0.1");
  }
  SECTION("to none if all are silent, since the own link is at fault") {
    peers.onSilent("10.1.0.1", now);
    peers.onSilent("10.2.0.1", now);
    CHECK(peers.choose({}, now) == "10.3.0.1");

    SECTION("for a while") {
      peers.onSilent("10.3.0.1", now);
      const auto avoided = now + RelayPeers::AvoidTime;
      CHECK(peers.choose({}, avoided).empty());
      CHECK_FALSE(peers.choose({}, now + RelayPeers::SuspendTime).empty());
    }
    SECTION("unless one has answered meanwhile") {
      peers.onAnswered();
      peers.onSilent("10.3.0.1", now);
      CHECK_FALSE(peers.choose({}, now + RelayPeers::AvoidTime).empty());
    }
  }
  SECTION("not to one that is not listed any more") {
    peers.update({});
    CHECK(peers.choose({}, now).empty());
  }
}
