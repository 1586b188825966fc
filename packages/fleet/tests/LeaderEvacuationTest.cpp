// Guards against evacuations that are acknowledged before they bind, that a new
// leader does not publish, and that return cold targets to service as warm.
#include "LeaderFixture.h"

#include <catch2/catch.hpp>

using namespace magnoliamill;
using namespace magnoliamill::fleet;
using namespace magnoliamill::fleet::tests;
using namespace std::chrono_literals;

namespace {

constexpr auto WarmUpTime = 20s;

struct Fixture : LeaderFixture {
  std::uint16_t start(const std::string &centre) {
    return call(CallKind::StartEvacuation, centre, "");
  }
  std::uint16_t end(const std::string &centre) {
    return call(CallKind::EndEvacuation, centre, "");
  }
  /// The service gets a warm-up time.
  void setWarmUpTime() {
    routing::Service service;
    service.Name = "stock";
    service.Version = 2;
    service.IsKeyed = true;
    service.TargetWarmUpTime = WarmUpTime;
    Leader->onApplied(
        State.apply(routing::ConfigItems{{}, {service}, {}}, ++Index));
  }
  base::MonoTime warmUntil() const {
    return Published.findTarget({"a", 5})->WarmUntil;
  }
};

} // namespace

TEST_CASE("An evacuation is published before it is acknowledged") {
  Fixture fixture;
  CHECK(fixture.start("dc-a") == 0);
  CHECK_FALSE(fixture.Published.isEvacuated("dc-a"));
  SECTION("after the commit") {
    auto proposal = std::exchange(fixture.Proposals, {}).front();
    fixture.Leader->onApplied(fixture.State.apply(proposal.Proposed, 20));
    CHECK(fixture.Status == 0);
    CHECK(fixture.Published.isEvacuated("dc-a"));
    proposal.Done(base::ok());
    CHECK(fixture.Status == 200);
  }
  SECTION("not at all if it may not be committed") {
    fixture.Proposals.front().Done(
        base::fail(base::ResultCode::ChangeOutcomeUnknown, ""));
    CHECK(fixture.Status == 503);
  }
  SECTION("not by a leader whose term has ended") {
    fixture.startLeader(2);
    fixture.Proposals.front().Done(base::ok());
    CHECK(fixture.Status == 503);
  }
}

TEST_CASE("Repeated evacuation calls are acknowledged and change nothing") {
  Fixture fixture;
  fixture.start("dc-a");
  fixture.commit();
  const auto published = fixture.CountPublished;
  CHECK(fixture.start("dc-a") == 200);
  CHECK(fixture.end("dc-b") == 200);
  CHECK(fixture.Proposals.empty());
  CHECK(fixture.CountPublished == published);

  SECTION("also one that a pending call precedes, in the order of the log") {
    CHECK(fixture.end("dc-a") == 0);
    CHECK(fixture.start("dc-a") == 0);
    fixture.commit();
    CHECK(fixture.Status == 200);
    CHECK(fixture.State.evacuations().contains("dc-a"));
    CHECK(fixture.Published.isEvacuated("dc-a"));
  }
}

TEST_CASE("Evacuation calls with invalid names are refused") {
  Fixture fixture;
  CHECK(fixture.start("") == 400);
  CHECK(fixture.start(std::string(257, 'x')) == 400);
  CHECK(fixture.start(std::string(256, 'x')) == 0);
  fixture.Proposals.clear();
  fixture.Config.DataCentres = {"dc-a", "dc-b"};
  fixture.startLeader(2);
  CHECK(fixture.start("dc-c") == 404);
  CHECK(fixture.end("dc-c") == 404);
  CHECK(fixture.Proposals.empty());
  SECTION("the last data centre may be evacuated") {
    fixture.start("dc-a");
    fixture.commit();
    fixture.start("dc-b");
    fixture.commit();
    CHECK(fixture.Status == 200);
  }
  SECTION("a data centre that is no longer in the settings can be ended") {
    fixture.start("dc-a");
    fixture.commit();
    fixture.Config.DataCentres = {"dc-b"};
    fixture.startLeader(3);
    CHECK(fixture.end("dc-a") == 0);
    fixture.commit();
    CHECK(fixture.Status == 200);
  }
  SECTION("a bounded number of data centres is kept") {
    fixture.Config.DataCentres.clear();
    fixture.Config.MaxEvacuations = 1;
    fixture.startLeader(3);
    fixture.start("x");
    CHECK(fixture.start("y") == 503);
    fixture.commit();
    CHECK(fixture.start("y") == 503);
    CHECK(fixture.start("x") == 200);
    CHECK(fixture.end("y") == 200);
  }
}

TEST_CASE("A new leader publishes the evacuations and revokes the stripes") {
  Fixture fixture;
  fixture.assignAllStripes();
  fixture.start("dc-a");
  fixture.commit();
  const bool LosesView = GENERATE(false, true);
  if (LosesView)
    fixture.Published = View();
  fixture.startLeader(2);
  CHECK(fixture.Published.isEvacuated("dc-a"));
  REQUIRE(fixture.Published.holderOf("stock", 0));
  fixture.sendHeartbeat("a", TargetState::Ready);
  fixture.Now += 2s;
  fixture.Leader->tick(fixture.Now);
  CHECK(fixture.Published.holderOf("stock", 0) == nullptr);
  fixture.sendHeartbeat("a", TargetState::Ready);
  CHECK(fixture.FakeControl.Answer.Rows->empty());
}

TEST_CASE("Targets count as warming up after an evacuation") {
  Fixture fixture;
  fixture.setWarmUpTime();
  fixture.assignAllStripes();
  fixture.start("dc-a");
  fixture.commit();
  CHECK(fixture.warmUntil() <= fixture.Now);
  const auto ended = fixture.Now += 30s;

  SECTION("as soon as it ends, by the view of the acknowledgement") {
    fixture.end("dc-a");
    fixture.commit();
    CHECK(fixture.warmUntil() == ended + WarmUpTime);
    SECTION("also after a heartbeat that states no warm-up") {
      fixture.sendHeartbeat("a", TargetState::Ready);
      fixture.Leader->tick(fixture.Now);
      CHECK(fixture.warmUntil() == ended + WarmUpTime);
    }
    SECTION("also at a new leader") {
      fixture.startLeader(2);
      fixture.sendHeartbeat("a", TargetState::Ready);
      fixture.Leader->tick(fixture.Now);
      CHECK(fixture.warmUntil() == ended + WarmUpTime);
    }
  }
  SECTION("also if a new leader finds it ended") {
    fixture.State.apply(Evacuation{"dc-a", false}, 100);
    fixture.startLeader(2);
    CHECK(fixture.warmUntil() == ended + WarmUpTime);
  }
  SECTION("longer if a heartbeat says so") {
    fixture.end("dc-a");
    fixture.commit();
    // A later end is published shortly before the published one.
    while (fixture.Now < ended + 2 * WarmUpTime) {
      fixture.FakeControl.Next.Sender = {
          {"a", 5},           ++fixture.Sequence,    "a:80", "stock", "dc-a", 3,
          TargetState::Ready, ended + 2 * WarmUpTime};
      fixture.call(CallKind::Heartbeat, "a", "ok");
      fixture.Leader->tick(fixture.Now);
      CHECK(fixture.warmUntil() > fixture.Now);
      fixture.Now += 870ms;
    }
    CHECK(fixture.warmUntil() >= ended + 2 * WarmUpTime);
  }
}
