// Tests the selection of routes and the distribution among services.
#include "routing/RouteTable.h"
#include "routing/WeightedChoice.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace magnoliamill;
using namespace magnoliamill::routing;

namespace {

Route makeRoute(std::string name, std::string host, std::string prefix) {
  Route route;
  route.Name = std::move(name);
  route.Host = std::move(host);
  route.PathPrefix = std::move(prefix);
  return route;
}

std::string nameOf(const Route *route) { return route ? route->Name : ""; }

} // namespace

TEST_CASE("The route with the longest matching prefix is selected") {
  RouteTable table;
  table.update(makeRoute("all", "a.example", "/"));
  table.update(makeRoute("orders", "a.example", "/orders/"));
  table.update(makeRoute("late", "a.example", "/orders/late/"));
  table.update(makeRoute("other", "b.example", "/orders/"));

  CHECK(nameOf(table.match("a.example", "/orders/late/7")) == "late");
  CHECK(nameOf(table.match("a.example", "/orders/7?x=/late/")) == "orders");
  CHECK(nameOf(table.match("a.example", "/orders")) == "all");
  CHECK(nameOf(table.match("A.Example:8080", "/orders/")) == "orders");
  CHECK(nameOf(table.match("b.example", "/orders/1")) == "other");
  CHECK(nameOf(table.match("b.example", "/")).empty());
  CHECK(nameOf(table.match("c.example", "/orders/1")).empty());
  CHECK(nameOf(table.match("a.example", "")).empty());

  SECTION("a changed route is no longer found at its old host and prefix") {
    table.update(makeRoute("late", "b.example", "/late/"));
    CHECK(nameOf(table.match("a.example", "/orders/late/7")) == "orders");
    CHECK(nameOf(table.match("b.example", "/late/7")) == "late");
  }
  SECTION("a removed route is not matched") {
    auto removed = makeRoute("other", "b.example", "/orders/");
    removed.IsRemoved = true;
    table.update(removed);
    CHECK(table.match("b.example", "/orders/1") == nullptr);
  }
  SECTION("removing one of two routes with the same prefix keeps the other") {
    table.update(makeRoute("second", "b.example", "/orders/"));
    auto removed = makeRoute("other", "b.example", "/orders/");
    removed.IsRemoved = true;
    table.update(removed);
    CHECK(nameOf(table.match("b.example", "/orders/1")) == "second");
  }
}

TEST_CASE("Requests are distributed by weight") {
  rc::check([] {
    const auto weights = *rc::gen::container<std::vector<std::uint32_t>>(
        3, rc::gen::inRange<std::uint32_t>(0, 100));
    std::vector<Share> shares;
    std::uint64_t sum = 0;
    for (auto weight : weights) {
      shares.push_back({"s", weight});
      sum += weight;
    }
    RC_PRE(sum > 0U);
    WeightedChoice choice;
    std::vector<double> counts(shares.size());
    constexpr int Rounds = 500;
    for (int n = 0; n < Rounds; ++n)
      ++counts[choice.next(shares)];
    for (std::size_t i = 0; i < shares.size(); ++i) {
      const double due = Rounds * static_cast<double>(shares[i].Weight) /
                         static_cast<double>(sum);
      RC_ASSERT(counts[i] >= due - 2 && counts[i] <= due + 2);
    }
  });
}
