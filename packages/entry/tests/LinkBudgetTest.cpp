// What the link has promised.
#include "entry/LinkBudget.h"

#include <catch2/catch.hpp>

using namespace magnoliamill;
using namespace magnoliamill::entry;
using namespace std::chrono_literals;

TEST_CASE("Promised answers fill the link and drain with time") {
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

  SECTION("an answer that does not come frees its part") {
    const double bytes = link.reserve("download", start + 3s);
    CHECK(link.backlog(start + 3s) > 150ms);
    link.release(bytes);
    CHECK(link.backlog(start + 3s) == 0ms);
  }
}

TEST_CASE("A link without a limit never fills") {
  LinkBudget link(0);
  link.recordSize("download", 90'000);
  link.reserve("download", base::MonoTime(1h));
  CHECK(link.backlog(base::MonoTime(1h)) == 0ms);
  CHECK(link.expectedTime("download") == 0ms);
}

TEST_CASE("Twice the load of a link: what is admitted comes in time") {
  // Downloads of 90 kB, 14 a second over a link that carries 7.
  LinkBudget link(625'000);
  for (int n = 0; n < 100; ++n)
    link.recordSize("download", 90'000);
  base::MonoTime now{1h};
  base::MonoTime free = now;
  const base::Duration objective = 1500ms;
  int admitted = 0;
  for (int n = 0; n < 14 * 20; ++n) {
    now += base::Duration(1s) / 14;
    if (link.backlog(now) > objective / 3)
      continue;
    ++admitted;
    link.reserve("download", now);
    // The link itself: one answer after the other.
    free = std::max(free, now) + base::Duration(144ms);
    CHECK(free - now < objective);
  }
  CHECK(admitted > 14 * 20 * 4 / 10);
}
