// Tests which requests are refused after targets ended under them.
#include "dispatch/RequestQuarantine.h"

#include <catch2/catch.hpp>

using namespace magnoliamill;
using namespace magnoliamill::dispatch;
using namespace std::chrono_literals;

namespace {

const base::MonoTime Start{1h};
constexpr std::uint64_t Ending = 17;
constexpr std::uint64_t Other = 18;

} // namespace

TEST_CASE("A request is refused once three targets have ended under it") {
  RequestQuarantine quarantine;
  CHECK(quarantine.isEmpty());
  CHECK(quarantine.add({Ending, "t-1", Start}, Start));
  CHECK(quarantine.mayRetry(Ending, Start));
  CHECK(quarantine.add({Ending, "t-2", Start}, Start));
  CHECK_FALSE(quarantine.endOf(Ending, Start));
  CHECK_FALSE(quarantine.mayRetry(Ending, Start));

  SECTION("the same target does not count twice") {
    CHECK_FALSE(quarantine.add({Ending, "t-2", Start + 1s}, Start + 1s));
    CHECK_FALSE(quarantine.endOf(Ending, Start + 1s));
  }
  SECTION("an answer of a target clears it") {
    CHECK(quarantine.clear(Ending));
    CHECK_FALSE(quarantine.clear(Ending));
    quarantine.add({Ending, "t-3", Start}, Start);
    CHECK_FALSE(quarantine.endOf(Ending, Start));
  }
  SECTION("crashes that are too old do not count") {
    const auto later = Start + RequestQuarantine::Lifetime;
    quarantine.add({Ending, "t-3", later}, later);
    CHECK_FALSE(quarantine.endOf(Ending, later));
    CHECK(quarantine.list(later).size() == 1);
    CHECK_FALSE(quarantine.add({Ending, "t-4", Start}, later));
  }
  SECTION("from the third on, until its crashes are too old") {
    CHECK(quarantine.add({Ending, "t-3", Start + 1s}, Start + 1s));
    const auto end = Start + 1s + RequestQuarantine::Lifetime;
    CHECK(quarantine.endOf(Ending, Start + 1s) == end);
    CHECK(quarantine.countRefused(Start + 1s) == 1);
    CHECK_FALSE(quarantine.endOf(Other, Start + 1s));
    CHECK(quarantine.mayRetry(Other, Start + 1s));
    CHECK_FALSE(quarantine.endOf(Ending, end));
    CHECK(quarantine.countRefused(end) == 0);

    SECTION("only it is listed as refused") {
      quarantine.add({Other, "t-3", Start + 1s}, Start + 1s);
      CHECK(quarantine.list(Start + 1s).size() == 4);
      CHECK(quarantine.listRefused(Start + 1s).size() == 3);
    }
  }
}

TEST_CASE("The memory of requests under which targets ended is bounded") {
  RequestQuarantine quarantine;
  const auto count = 2 * RequestQuarantine::MaxRequests;
  for (std::size_t n = 0; n < count; ++n) {
    const auto now = Start + n * 1ms;
    quarantine.add({n, "t-1", now}, now);
  }
  const auto kept = quarantine.list(Start + count * 1ms);
  CHECK(kept.size() == RequestQuarantine::MaxRequests);
  CHECK(kept.front().Content == count - RequestQuarantine::MaxRequests);
}
