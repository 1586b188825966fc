// Tests item versions and the validation of calls.
#include "routing/ConfigStore.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace magnoliamill;
using namespace magnoliamill::routing;

namespace {

Route makeRoute(std::string name, ItemVersion version,
                std::string service = "stock") {
  Route route;
  route.Name = std::move(name);
  route.Version = version;
  route.Host = "a.example";
  route.PathPrefix = "/a/";
  route.Timeout = std::chrono::milliseconds(800);
  route.LatencyObjective = std::chrono::milliseconds(300);
  route.Shares = {{std::move(service), 1}};
  return route;
}

Service makeService(std::string name, ItemVersion version = 1) {
  Service service;
  service.Name = std::move(name);
  service.Version = version;
  return service;
}

ConfigItems withRoute(const Route &route) { return {{route}, {}, {}}; }

} // namespace

TEST_CASE("The highest version of an item is used") {
  ConfigStore store;
  store.apply({{makeRoute("r", 5)}, {makeService("stock")}, {}});

  SECTION("a lower or equal version changes nothing") {
    auto changed = makeRoute("r", 5);
    changed.Host = "b.example";
    CHECK(store.apply(withRoute(changed)).empty());
    changed.Version = 4;
    CHECK(store.apply(withRoute(changed)).empty());
    CHECK(store.findRoute("r")->Host == "a.example");
  }
  SECTION("a higher version replaces it") {
    auto changed = makeRoute("r", 9);
    changed.Host = "b.example";
    CHECK(store.apply(withRoute(changed)).Routes.size() == 1);
    CHECK(store.findRoute("r")->Host == "b.example");
  }
  SECTION("a removed route stays removed if an older change arrives again") {
    Route removal;
    removal.Name = "r";
    removal.Version = 7;
    removal.IsRemoved = true;
    store.apply(withRoute(removal));
    CHECK(store.findRoute("r") == nullptr);
    store.apply(withRoute(makeRoute("r", 5)));
    CHECK(store.findRoute("r") == nullptr);
    CHECK(store.listActive().Routes.empty());
    CHECK(store.listAll().Routes.size() == 1);
  }
}

TEST_CASE("Invalid calls are refused") {
  ConfigStore store;
  store.apply({{}, {makeService("stock")}, {}});
  auto route = makeRoute("r", 2);
  auto refuses = [&] {
    auto checked = store.check(withRoute(route));
    return !checked && checked.error().Code == base::ResultCode::ValueInvalid;
  };
  CHECK_FALSE(refuses());

  SECTION("a service that does not exist") {
    route.Shares = {{"stock", 1}, {"gone", 1}};
    CHECK(refuses());
  }
  SECTION("weights that add up to 0") {
    route.Shares[0].Weight = 0;
    CHECK(refuses());
  }
  SECTION("a timeout of 0") {
    route.Timeout = {};
    CHECK(refuses());
  }
  SECTION("a latency objective a minute above the timeout") {
    route.LatencyObjective = route.Timeout + std::chrono::seconds(60);
    CHECK(refuses());
    route.LatencyObjective -= std::chrono::milliseconds(1);
    CHECK_FALSE(refuses());
  }
  SECTION("an empty host") {
    route.Host.clear();
    CHECK(refuses());
  }
  SECTION("a service in the same call is accepted") {
    route.Shares = {{"fresh", 1}};
    CHECK(refuses());
    CHECK(store.check({{route}, {makeService("fresh")}, {}}));
  }
}

TEST_CASE("A change is accepted although the configuration that results is "
          "invalid") {
  ConfigStore store;
  store.apply({{makeRoute("r", 2)}, {makeService("stock")}, {}});
  const auto remove = [](std::string name, ItemVersion version) {
    Service service = makeService(std::move(name));
    service.Version = version;
    service.IsRemoved = true;
    return service;
  };
  const auto removed = remove("stock", 9);
  const auto refuses = [&](const ConfigItems &items,
                           const std::list<ConfigItems> &pending = {}) {
    auto checked = store.check(items, pending);
    return !checked && checked.error().Code == base::ResultCode::ValueInvalid;
  };

  SECTION("the service of a route is removed") {
    CHECK(refuses({{}, {removed}, {}}));

    SECTION("but not if the route is removed with it") {
      Route route = makeRoute("r", 9);
      route.IsRemoved = true;
      CHECK_FALSE(refuses({{route}, {removed}, {}}));
    }
    SECTION("nor if the route moves to another service") {
      Route route = makeRoute("r", 9);
      route.Shares = {{"fresh", 1}};
      CHECK_FALSE(refuses({{route}, {removed, makeService("fresh")}, {}}));
    }
    SECTION("nor by a version that changes nothing") {
      CHECK_FALSE(refuses({{}, {remove("stock", 1)}, {}}));
    }
  }
  SECTION("a route is added for a service that the same call removes") {
    CHECK(refuses({{makeRoute("other", 9)}, {removed}, {}}));
  }
  SECTION("two changes that are valid alone are proposed at once") {
    Service spare = makeService("spare");
    store.apply({{}, {spare}, {}});
    Route route = makeRoute("other", 9);
    route.Shares = {{"spare", 1}};
    const ConfigItems add{{route}, {}, {}};
    const ConfigItems drop{{}, {remove("spare", 9)}, {}};
    CHECK_FALSE(refuses(add));
    CHECK_FALSE(refuses(drop));
    CHECK(refuses(add, {drop}));
    CHECK(refuses(drop, {add}));
  }
  SECTION("but one that was acknowledged and overtaken is not refused") {
    Route moved = makeRoute("r", 5);
    moved.Shares = {{"fresh", 1}};
    store.apply({{moved}, {removed, makeService("fresh")}, {}});
    CHECK_FALSE(refuses(withRoute(makeRoute("r", 2))));
    CHECK(refuses(withRoute(makeRoute("r", 6))));
  }
}

TEST_CASE("Stores converge regardless of the order of changes") {
  rc::check([] {
    const auto versions = *rc::gen::container<std::vector<ItemVersion>>(
        8, rc::gen::inRange<ItemVersion>(1, 20));
    std::vector<Route> changes;
    for (ItemVersion version : versions) {
      Route route = makeRoute("r", version);
      // Operators guarantee that a version always has the same content.
      route.Priority = static_cast<std::uint32_t>(version);
      route.IsRemoved = version % 3 == 0;
      changes.push_back(route);
    }
    ConfigStore left;
    ConfigStore right;
    for (const Route &route : changes)
      left.apply(withRoute(route));
    for (auto it = changes.rbegin(); it != changes.rend(); ++it)
      right.apply(withRoute(*it));
    RC_ASSERT(left.listAll().Routes == right.listAll().Routes);
  });
}
