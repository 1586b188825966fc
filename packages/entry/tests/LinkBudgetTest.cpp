// Tests the reservation of link bandwidth for answers.
#include "entry/LinkBudget.h"

#include <catch2/catch.hpp>

using namespace magnoliamill;
using namespace magnoliamill::entry;
using namespace std::chrono_literals;

TEST_CASE("Reserved answers fill the link, which drains over time") {
  // 5 Mbit/s.
  LinkBudget link(625'000);
  const base::MonoTime start{1h};
  for (int n = 0; n < 100; ++n)
    link.recordSize("download", 90'000);
  link.recordSize("status", 400);
  CHECK(link.expectedTime("download") > 150ms);
  CHECK(link.expectedTime("status") < 1ms);

  CHECK(link.backlog(start) == 0ms);
  for (int n = 0; n < 6; ++n)
    link.reserve("download", start);
  CHECK(link.backlog(start) > 1s);
  CHECK(link.backlog(start + 500ms) > 500ms);
  CHECK(link.backlog(start + 2s) == 0ms);

  SECTION("releasing an answer that was not sent frees its bytes") {
    const double bytes = link.reserve("download", start + 3s);
    CHECK(link.backlog(start + 3s) > 150ms);
    link.release(bytes);
    CHECK(link.backlog(start + 3s) == 0ms);
  }
  SECTION("large answers wait for the paced share of the link") {
    link.reserve("download", start + 3s);
    CHECK(link.largeBacklog(start + 3s) > 250ms);
    CHECK(link.backlog(start + 3s) < 200ms);
    link.reserve("status", start + 5s);
    CHECK(link.largeBacklog(start + 5s) == 0ms);
  }
}

TEST_CASE("A link without a limit has no backlog") {
  LinkBudget link(0);
  link.recordSize("download", 90'000);
  link.reserve("download", base::MonoTime(1h));
  CHECK(link.backlog(base::MonoTime(1h)) == 0ms);
  CHECK(link.expectedTime("download") == 0ms);
}

TEST_CASE("At twice the link's capacity, admitted answers arrive in time") {
  // 14 downloads of 90 kB per second over a link with capacity for 7, of which
  // large answers get the paced share.
  constexpr base::Duration TransferTime = 144ms;
  constexpr double Capacity = 7 * LinkPacer::PacedShare;
  LinkBudget link(625'000);
  for (int n = 0; n < 100; ++n)
    link.recordSize("download", 90'000);
  base::MonoTime now{1h};
  base::MonoTime free = now;
  const base::Duration objective = 1500ms;
  int admitted = 0;
  for (int n = 0; n < 14 * 20; ++n) {
    now += base::Duration(1s) / 14;
    if (link.largeBacklog(now) > objective / 3)
      continue;
    ++admitted;
    link.reserve("download", now);
    // Simulates the link, which sends one answer after the other.
    free = std::max(free, now) + std::chrono::duration_cast<base::Duration>(
                                     TransferTime / LinkPacer::PacedShare);
    CHECK(free - now < objective);
  }
  CHECK(admitted > Capacity * 20 * 8 / 10);
}
