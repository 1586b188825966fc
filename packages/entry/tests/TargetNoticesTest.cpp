// Tests what the notices of targets allow, also when they overlap.
#include "entry/TargetNotices.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

using namespace magnoliamill;
using namespace magnoliamill::entry;
using namespace std::chrono_literals;

namespace {

const base::MonoTime Start{1h};
constexpr base::Duration DrainTime = 2s;
const keyspace::TargetInstance First{"t-1", 1};
const keyspace::TargetInstance Next{"t-1", 2};

} // namespace

TEST_CASE("A target that leaves gets requests until its drain time is over") {
  TargetNotices notices(DrainTime);
  CHECK(notices.isOpen(First, Start));
  CHECK(notices.onLeaving(First, Start));
  CHECK(notices.isLeaving(First));
  CHECK(notices.isOpen(First, Start + DrainTime / 2));
  CHECK_FALSE(notices.isOpen(First, Start + DrainTime));
  CHECK(notices.opensAt(First, Start + DrainTime) == base::MonoTime::max());

  SECTION("later notices don't extend the drain time") {
    CHECK_FALSE(notices.onLeaving(First, Start + DrainTime / 2));
    CHECK_FALSE(notices.isOpen(First, Start + DrainTime));
  }
  SECTION("it never gets requests again") {
    CHECK_FALSE(notices.isOpen(First, Start + 24h));
  }
  SECTION("its next instance does") {
    CHECK_FALSE(notices.isLeaving(Next));
    CHECK(notices.isOpen(Next, Start + DrainTime));
  }
  SECTION("a pause that ends before the drain time interrupts the requests") {
    CHECK(notices.onPause(First, 500ms, Start));
    CHECK_FALSE(notices.isOpen(First, Start + 499ms));
    CHECK(notices.opensAt(First, Start) == Start + 500ms);
    CHECK(notices.isOpen(First, Start + 500ms));
    CHECK_FALSE(notices.isOpen(First, Start + DrainTime));
  }
  SECTION("a pause that outlasts the drain time ends them") {
    notices.onPause(First, 3s, Start);
    CHECK(notices.opensAt(First, Start) == base::MonoTime::max());
    CHECK_FALSE(notices.isOpen(First, Start + 3s));
  }
  SECTION("a pause after the drain time changes nothing") {
    CHECK_FALSE(notices.onPause(First, 1s, Start + DrainTime));
    CHECK_FALSE(notices.isOpen(First, Start + DrainTime + 1s));
  }
}

TEST_CASE("A target that asked for a pause gets no requests until its end") {
  TargetNotices notices(DrainTime);
  CHECK(notices.onPause(First, 1s, Start));
  CHECK_FALSE(notices.isLeaving(First));
  CHECK_FALSE(notices.isOpen(First, Start));
  CHECK_FALSE(notices.isOpen(First, Start + 999ms));
  CHECK(notices.opensAt(First, Start) == Start + 1s);
  CHECK(notices.isOpen(First, Start + 1s));

  SECTION("a renewed pause extends it") {
    CHECK(notices.onPause(First, 1s, Start + 900ms));
    CHECK_FALSE(notices.isOpen(First, Start + 1s));
    CHECK(notices.isOpen(First, Start + 1900ms));
  }
  SECTION("a shorter pause does not end it") {
    CHECK_FALSE(notices.onPause(First, 100ms, Start + 100ms));
    CHECK_FALSE(notices.isOpen(First, Start + 999ms));
  }
  SECTION("its next instance gets requests at once") {
    CHECK(notices.isOpen(Next, Start));
  }
  SECTION("it says during the pause that it leaves") {
    CHECK(notices.onLeaving(First, Start + 500ms));
    CHECK_FALSE(notices.isOpen(First, Start + 999ms));
    CHECK(notices.isOpen(First, Start + 1s));
    CHECK_FALSE(notices.isOpen(First, Start + 500ms + DrainTime));
  }
}

TEST_CASE("Notices of targets that are gone don't accumulate") {
  TargetNotices notices(DrainTime);
  const auto instance = [](std::uint64_t number) {
    return keyspace::TargetInstance{"t", number};
  };
  SECTION("pauses that are over are forgotten first") {
    notices.onLeaving(First, Start);
    for (std::uint64_t n = 1; n < TargetNotices::MaxTargets; ++n)
      notices.onPause(instance(n), 1s, Start + 1s);
    notices.onLeaving(Next, Start + 3s);
    CHECK(notices.size() == 2);
    CHECK(notices.isLeaving(First));
  }
  SECTION("the oldest notice is forgotten if all are in force") {
    for (std::uint64_t n = 0; n <= TargetNotices::MaxTargets; ++n)
      notices.onLeaving(instance(n), Start + n * 1ms);
    CHECK(notices.size() == TargetNotices::MaxTargets);
    CHECK_FALSE(notices.isLeaving(instance(0)));
    CHECK(notices.isLeaving(instance(1)));
    CHECK(notices.isLeaving(instance(TargetNotices::MaxTargets)));
  }
}

TEST_CASE("A target's rate is known until an answer names none") {
  TargetNotices notices(DrainTime);
  CHECK_FALSE(notices.onRateLimit(First, std::nullopt, 1, Start));
  CHECK(notices.onRateLimit(First, 6.5, 1, Start));
  CHECK(notices.rateLimit(First) == 6.5);
  CHECK_FALSE(notices.rateLimit(Next));
  CHECK_FALSE(notices.onRateLimit(First, 6.5, 1, Start + 1s));
  CHECK(notices.onRateLimit(First, 3.0, 1, Start + 1s));
  CHECK(notices.rateLimit(First) == 3.0);
  CHECK(notices.onRateLimit(First, std::nullopt, 1, Start + 2s));
  CHECK_FALSE(notices.rateLimit(First));
}

TEST_CASE("VMs without permits share the rate of a target") {
  constexpr double RateLimit = 5;
  constexpr std::ptrdiff_t MostAllowed = 35; // 1.5 times the limit, and 5
  for (const std::uint32_t count : {10U, 200U}) {
    std::vector<TargetNotices> vms;
    for (std::uint32_t vm = 0; vm < count; ++vm) {
      vms.emplace_back(DrainTime, vm);
      vms.back().onRateLimit(First, RateLimit, count, Start);
    }
    std::vector<base::MonoTime> sent;
    for (auto now = Start; now < Start + 100s; now += 20ms)
      for (auto &vm : vms)
        if (vm.opensWithoutPermit(First, now) <= now) {
          vm.onSentWithoutPermit(First, now);
          sent.push_back(now);
        }
    INFO(count << " VMs");
    CHECK(static_cast<double>(sent.size()) >= 0.9 * RateLimit * 100);
    std::ptrdiff_t most = 0;
    for (auto it = sent.begin(); it != sent.end(); ++it)
      most = std::max(most, std::ranges::lower_bound(sent, *it + 4s) - it);
    CHECK(most <= MostAllowed);
    CHECK(vms.front().isOpen(First, Start));
  }
}
