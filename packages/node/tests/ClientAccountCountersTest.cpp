// Tests the counters per client account.
#include "node/ClientAccountCounters.h"
#include "base/Metrics.h"

#include <catch2/catch.hpp>

using namespace magnoliamill;
using std::chrono::milliseconds;

TEST_CASE("Requests are counted per client account", "[node]") {
  settings::View settings;
  const base::ServiceId orders("press-orders");
  settings.Services[orders]
      .ClientAccountWeights[base::ClientAccountId("acme")] = 2;
  node::ClientAccountCounters counters;
  counters.count(settings, orders, base::ClientAccountId("acme"),
                 base::ResultCode::Ok, milliseconds(250));
  counters.count(settings, orders, base::ClientAccountId("acme"),
                 base::ResultCode::NotRunQueueFull, milliseconds(250));
  for (int i = 0; i < 100; ++i)
    counters.count(settings, orders, base::ClientAccountId(std::to_string(i)),
                   base::ResultCode::Ok, milliseconds(1));
  counters.count(settings, base::ServiceId("none"),
                 base::ClientAccountId("acme"),
                 base::ResultCode::UnknownService, milliseconds(0));
  auto text = base::renderMetrics();
  auto has = [&](const std::string &line) {
    return text.find(line) != std::string::npos;
  };

  SECTION("a listed client account has its own counters") {
    REQUIRE(has(
        R"(mill_client_account_requests_total{client_account="acme",code="0",)"));
    REQUIRE(has(
        R"(mill_client_account_requests_total{client_account="acme",code="3002",)"));
    REQUIRE(has(R"(mill_client_account_seconds_total{client_account="acme",)"));
  }
  SECTION("unlisted client accounts share one label") {
    REQUIRE(has(R"(client_account="other",code="0",service="press-orders"})"));
    REQUIRE_FALSE(has(R"(client_account="7")"));
  }
  SECTION("a service that is not in force gets no label of its own") {
    REQUIRE(has(R"(client_account="other",code="2004",service="unknown"})"));
    REQUIRE_FALSE(has(R"(service="none")"));
  }
}
