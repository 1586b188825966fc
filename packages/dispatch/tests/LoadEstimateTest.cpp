// Tests the estimate of a target's load from its reports.
#include "dispatch/LoadEstimate.h"

#include <catch2/catch.hpp>

using namespace magnoliamill;
using namespace magnoliamill::dispatch;
using namespace std::chrono_literals;

namespace {
const base::MonoTime Start{1h};
}

TEST_CASE("A target without a recent report counts as loaded or slow") {
  LoadEstimate load;
  CHECK(load.present(3, Start) == 3);
  CHECK(load.speed(Start) == 1);
  load.onReport({2, 6, 2, 300}, 1, Start);
  CHECK(load.present(1, Start) == 8);
  CHECK(load.isKnown(Start + LoadEstimate::MaxAge - 1ms));
  const auto later = Start + LoadEstimate::MaxAge;
  CHECK_FALSE(load.isKnown(later));
  CHECK(load.present(1, later) == 1);
  CHECK(load.speed(later) == 1);
}

TEST_CASE("A report is not corrected by what was sent and answered since") {
  LoadEstimate load;
  load.onReport({2, 2, 2, 100}, 4, Start);
  CHECK(load.present(4, Start) == 4);
  CHECK(load.present(6, Start) == 6);
  CHECK(load.present(0, Start) == 0);
}

TEST_CASE("A slowdown is taken as lasting, or as over at once") {
  LoadEstimate load;
  for (int n = 0; n < 50; ++n)
    load.onReport({0, 0, 2, 100}, 0, Start);
  load.onReport({0, 0, 2, 300}, 0, Start);
  const auto now = load.answerTime(200ms, 0, 2, Start);
  CHECK(now > 300ms);
  CHECK(now < 600ms);
  CHECK(load.answerTime(200ms, 0, 2, Start + 400ms) < now);
  // Work that outlasts the slowdown loses no more than a bounded time.
  CHECK(load.answerTime(5s, 0, 2, Start) < 5s + LoadEstimate::SlownessFade);
}
