// Tests the choice of targets and the backoff of busy ones.
#include "entry/TargetPool.h"

#include <catch2/catch.hpp>

using namespace magnoliamill;
using namespace magnoliamill::entry;
using namespace std::chrono_literals;

namespace {

const base::MonoTime Start{1h};
constexpr base::Duration DrainTime = 2s;

fleet::View makeView() {
  fleet::ViewUpdate update;
  update.Version = {1, 1};
  update.IsWhole = true;
  const auto add = [&](std::string id, std::string centre) {
    fleet::Target target;
    target.Instance = {id, 1};
    target.Address = "10.0.0.1:80";
    target.Service = "vault";
    target.DataCentre = std::move(centre);
    target.Slots = 3;
    update.Targets.push_back(std::move(target));
  };
  add("near-1", "dc-a");
  add("near-2", "dc-a");
  add("far", "dc-b");
  fleet::View view;
  view.apply(update);
  return view;
}

} // namespace

TEST_CASE(
    "Requests without a key stay in the data centre while it has capacity") {
  TargetPool pool("dc-a", 1, DrainTime);
  pool.updateAll(makeView());
  int far = 0;
  for (int n = 0; n < 200; ++n)
    far += pool.choose("vault", {}, Start)->Description.Instance.Id == "far";
  CHECK(far == 0);

  SECTION("other data centres are used if all targets are at capacity") {
    for (const auto *id : {"near-1", "near-2"})
      pool.find({id, 1})->InFlight = 9;
    CHECK(pool.choose("vault", {}, Start)->Description.Instance.Id == "far");
  }
  SECTION("other data centres are used after refusals because of load") {
    for (const auto *id : {"near-1", "near-2"})
      pool.find({id, 1})->Busy.onBusy(Start);
    CHECK(pool.choose("vault", {}, Start)->Description.Instance.Id == "far");
    CHECK(pool.choose("vault", {}, Start + 60ms)->Description.Instance.Id !=
          "far");
  }
  SECTION("a target with the maximum number of requests in flight is avoided") {
    pool.find({"far", 1})->InFlight = MaxInFlight;
    for (const auto *id : {"near-1", "near-2"})
      pool.find({id, 1})->InFlight = MaxInFlight - 1;
    CHECK(pool.choose("vault", {}, Start)->Description.Instance.Id != "far");
    CHECK_FALSE(pool.find({"far", 1})->hasRoom(Start));
  }
  SECTION("a target that was tried is not chosen again") {
    CHECK(pool.choose("vault", {{"near-1", 1}, {"far", 1}}, Start)
              ->Description.Instance.Id == "near-2");
    CHECK(pool.choose("vault", {{"near-1", 1}, {"near-2", 1}, {"far", 1}},
                      Start) == nullptr);
  }
  SECTION("a slow target is avoided") {
    pool.find({"near-1", 1})->Health.onSuccess(400ms, Start);
    pool.find({"near-2", 1})->Health.onSuccess(40ms, Start);
    int slow = 0;
    for (int n = 0; n < 100; ++n)
      slow +=
          pool.choose("vault", {}, Start)->Description.Instance.Id == "near-1";
    CHECK(slow == 0);
  }
  CHECK(pool.choose("other", {}, Start) == nullptr);
}

TEST_CASE("Targets that gave notice are avoided or left alone") {
  TargetPool pool("dc-a", 1, DrainTime);
  const auto view = makeView();
  pool.updateAll(view);
  const auto choose = [&](base::MonoTime now) {
    const auto *target = pool.choose("vault", {}, now);
    return target ? target->Description.Instance.Id : "";
  };

  SECTION("a target that leaves is chosen after all healthy ones") {
    pool.notices().onLeaving({"near-1", 1}, Start);
    pool.notices().onLeaving({"near-2", 1}, Start);
    for (int n = 0; n < 50; ++n)
      CHECK(choose(Start) == "far");
    pool.find({"far", 1})->InFlight = MaxInFlight;
    CHECK(choose(Start) != "far");
  }
  SECTION("a pause holds even if there is no other target") {
    for (const auto *id : {"near-1", "near-2", "far"})
      pool.notices().onPause({id, 1}, 1s, Start);
    CHECK(choose(Start + 999ms).empty());
    CHECK(pool.opensAt("vault", Start) == Start + 1s);
    CHECK(pool.listDataCentres("vault", Start).empty());
    CHECK_FALSE(choose(Start + 1s).empty());
    CHECK(pool.listDataCentres("vault", Start + 1s).size() == 2);
  }
  SECTION("so does the end of the drain time") {
    for (const auto *id : {"near-1", "near-2", "far"})
      pool.notices().onLeaving({id, 1}, Start);
    CHECK_FALSE(choose(Start).empty());
    CHECK(choose(Start + DrainTime).empty());
    CHECK(pool.opensAt("vault", Start + DrainTime) == base::MonoTime::max());
  }
  SECTION("the first target that opens counts") {
    pool.notices().onLeaving({"near-1", 1}, Start - DrainTime);
    pool.notices().onPause({"near-2", 1}, 2s, Start);
    CHECK(pool.opensAt("vault", Start) == Start);
    pool.notices().onPause({"far", 1}, 1s, Start);
    CHECK(pool.opensAt("vault", Start) == Start + 1s);
    CHECK(choose(Start + 1s) == "far");
    CHECK(pool.opensAt("other", Start) == Start);
  }
  SECTION("a view that still has the target as ready changes nothing") {
    pool.notices().onLeaving({"near-1", 1}, Start);
    pool.updateAll(fleet::View());
    pool.updateAll(view);
    CHECK(pool.notices().isLeaving({"near-1", 1}));
    CHECK_FALSE(pool.notices().isOpen({"near-1", 1}, Start + DrainTime));
  }
}

TEST_CASE("Targets are added and removed with the view") {
  TargetPool pool("dc-a", 1, DrainTime);
  auto view = makeView();
  pool.updateAll(view);
  fleet::ViewUpdate update;
  update.Version = {1, 2};
  update.GoneTargets = {{"near-1", 1}};
  view.apply(update);
  pool.update(view, view.lastChange().Targets);
  CHECK(pool.find({"near-1", 1}) == nullptr);
  CHECK(pool.choose("vault", {{"near-2", 1}, {"far", 1}}, Start) == nullptr);
}

TEST_CASE("The backoff of a busy target doubles up to a maximum") {
  BusyBackoff busy;
  CHECK(busy.isOpen(Start));
  base::MonoTime now = Start;
  std::vector<base::Duration> windows;
  for (int n = 0; n < 6; ++n) {
    busy.onBusy(now);
    windows.push_back(busy.until() - now);
    now = busy.until();
  }
  CHECK(windows.front() == 50ms);
  CHECK(windows[2] == 200ms);
  CHECK(windows.back() == 400ms);
  SECTION("an answer resets the backoff") {
    busy.onAnswer();
    busy.onBusy(now);
    CHECK(busy.until() - now == 50ms);
  }
  SECTION("refusals during the backoff do not extend it") {
    const auto until = busy.until();
    busy.onBusy(until - 1ms);
    CHECK(busy.until() == until);
  }
}

TEST_CASE("Without a permit a target that warms up gets a request") {
  TargetPool pool("dc-a", 1, DrainTime);
  auto view = makeView();
  fleet::ViewUpdate update;
  update.Version = {1, 2};
  for (auto [instance, target] : view.targets()) {
    target.WarmUntil = Start + (instance.Id == "far" ? 3s : 5s);
    update.Targets.push_back(target);
  }
  routing::Service service;
  service.Name = "vault";
  service.Version = 1;
  const auto publish = [&](double PerSecond) {
    ++service.Version;
    service.WarmUpPerSecond = PerSecond;
    update.Items.Services = {service};
    REQUIRE(view.apply(update) == fleet::View::Outcome::Applied);
    pool.update(view, view.lastChange().Targets);
    ++update.Version.Number;
  };
  publish(0);
  CHECK(pool.choose("vault", {}, Start));
  CHECK(pool.findWarmUpEnd("vault", {}, Start) == Start);
  // The changed item reaches the targets that are there.
  publish(3.5);
  CHECK_FALSE(pool.choose("vault", {}, Start));
  CHECK(pool.findWarmUpEnd("vault", {}, Start) == Start + 3s);
  CHECK(pool.findWarmUpEnd("vault", {{"far", 1}}, Start) == Start + 5s);
  // With a permit it may.
  CHECK(pool.mayGetRequests(keyspace::TargetInstance{"far", 1}, Start));
  CHECK(pool.choose("vault", {}, Start + 3s)->Description.Instance.Id == "far");
  CHECK(pool.findWarmUpEnd("vault", {}, Start + 3s) == Start + 3s);
}

TEST_CASE("A pool sends nothing to an evacuated data centre after 2 s") {
  TargetPool pool("dc-a", 1, DrainTime);
  pool.updateAll(makeView());
  const keyspace::TargetInstance near{"near-1", 1};
  pool.evacuated().update({"dc-a"}, Start);
  CHECK(pool.listDataCentres("vault", Start) ==
        std::vector<std::string>{"dc-b"});
  CHECK(pool.choose("vault", {}, Start)->Description.Instance.Id == "far");
  CHECK(pool.mayGetRequests(near, Start + 1999ms));
  CHECK_FALSE(pool.mayGetRequests(near, Start + 2s));
  CHECK_FALSE(pool.findServing(near, Start + 2s));

  SECTION("a pause elsewhere counts for requests without a key") {
    pool.notices().onPause({"far", 1}, 1s, Start);
    CHECK(pool.opensAt("vault", Start) == Start + 1s);
  }
  SECTION("until the evacuation ends") {
    pool.evacuated().update({}, Start + 3s);
    CHECK(pool.mayGetRequests(near, Start + 3s));
    pool.evacuated().update({"dc-a"}, Start + 4s);
    CHECK(pool.mayGetRequests(near, Start + 5s));
  }
}
