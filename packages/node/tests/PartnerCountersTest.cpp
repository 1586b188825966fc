// Counters per partner.
#include "node/PartnerCounters.h"
#include "base/Metrics.h"

#include <catch2/catch.hpp>

using namespace magnoliamill;
using std::chrono::milliseconds;

TEST_CASE("Requests are counted per partner", "[node]") {
  settings::View settings;
  const base::ServiceId orders("press-orders");
  settings.Services[orders].PartnerWeights[base::PartnerId("acme")] = 2;
  node::PartnerCounters counters;
  counters.count(settings, orders, base::PartnerId("acme"),
                 base::ResultCode::Ok, milliseconds(250));
  counters.count(settings, orders, base::PartnerId("acme"),
                 base::ResultCode::NotRunQueueFull, milliseconds(250));
  for (int i = 0; i < 100; ++i)
    counters.count(settings, orders, base::PartnerId(std::to_string(i)),
                   base::ResultCode::Ok, milliseconds(1));
  counters.count(settings, base::ServiceId("none"), base::PartnerId("acme"),
                 base::ResultCode::UnknownService, milliseconds(0));
  auto text = base::renderMetrics();
  auto has = [&](const std::string &line) {
    return text.find(line) != std::string::npos;
  };

  SECTION("a listed partner has its own ends by code and its time") {
    REQUIRE(has(R"(mill_partner_requests_total{code="0",partner="acme",)"));
    REQUIRE(has(R"(mill_partner_requests_total{code="3002",partner="acme",)"));
    REQUIRE(has(R"(mill_partner_seconds_total{partner="acme",)"));
  }
  SECTION("names that callers make up share one label") {
    REQUIRE(has(R"(code="0",partner="other",service="press-orders"})"));
    REQUIRE_FALSE(has(R"(partner="7")"));
  }
  SECTION("a service that is not in force makes no label of its own") {
    REQUIRE(has(R"(code="2004",partner="other",service="unknown"})"));
    REQUIRE_FALSE(has(R"(service="none")"));
  }
}
