// Tests of the base module: result codes, tokens, hash, event loop, metrics.
#include "base/EventLoopThread.h"
#include "base/Hash.h"
#include "base/Metrics.h"
#include "base/Token.h"
#include "base/Utf8.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <future>
#include <prometheus/counter.h>
#include <vector>

using namespace magnoliamill::base;

TEST_CASE("Result codes", "[base]") {
  SECTION("are in ascending order, unique and described") {
    auto all = allResultCodes();
    REQUIRE(std::ranges::is_sorted(all, std::ranges::less_equal{},
                                   &ResultCodeInfo::Code));
    for (const auto &info : all)
      REQUIRE_FALSE(info.Meaning.empty());
  }
  SECTION("are found by number") {
    REQUIRE(nameOf(ResultCode::VersionConflict) == "VersionConflict");
    REQUIRE(nameOf(static_cast<ResultCode>(65000)) == "Unknown");
  }
}

TEST_CASE("Fencing tokens", "[base]") {
  SECTION("are ordered by epoch, then by index") {
    REQUIRE(Token{1, 900} < Token{2, 1});
    REQUIRE(Token{2, 1} < Token{2, 2});
  }
  SECTION("round-trip through text") {
    REQUIRE(parseToken(formatToken({7, 42})).value() == Token{7, 42});
  }
  SECTION("are rejected when malformed") {
    for (const char *text : {"", "7", "7.", ".4", "7.4x", "-1.2", "7.4.2"})
      REQUIRE_FALSE(parseToken(text).has_value());
  }
}

TEST_CASE("Keys are spread evenly over slots", "[base]") {
  constexpr std::uint32_t Slots = 16;
  std::vector<int> hits(Slots);
  for (int i = 0; i < 16000; ++i)
    ++hits[slotOfKey(ServiceId("barnstock"), "barn-" + std::to_string(i),
                     Slots)];
  // 1000 keys per slot are expected; 190 is about six standard deviations.
  REQUIRE(std::ranges::all_of(hits, [](int n) { return n > 810 && n < 1190; }));
}

TEST_CASE("A full task ring refuses tasks and counts them", "[base]") {
  TaskRing ring(2, [] {});
  int ran = 0;
  REQUIRE(ring.tryPost([&] { ++ran; }));
  REQUIRE(ring.tryPost([&] { ++ran; }));
  REQUIRE_FALSE(ring.tryPost([&] { ++ran; }));
  REQUIRE(ring.countRefused() == 1);
  ring.runPending();
  REQUIRE(ran == 2);
}

TEST_CASE("A task ring runs a bounded number of tasks per wake-up", "[base]") {
  int wakes = 0;
  TaskRing ring(1024, [&wakes] { ++wakes; });
  std::size_t ran = 0;
  for (std::size_t n = 0; n < TaskRing::MaxTasksPerWake + 1; ++n)
    REQUIRE(ring.tryPost([&ran] { ++ran; }));
  REQUIRE(wakes == 1);
  ring.runPending();
  REQUIRE(ran == TaskRing::MaxTasksPerWake);
  REQUIRE(wakes == 2);
  ring.runPending();
  REQUIRE(ran == TaskRing::MaxTasksPerWake + 1);
}

TEST_CASE("An event loop thread runs posted tasks in order", "[base]") {
  EventLoopThread thread("test", 64);
  thread.start();
  std::vector<int> seen;
  std::promise<void> done;
  for (int i = 0; i < 10; ++i)
    REQUIRE(thread.tryPost([&seen, i] { seen.push_back(i); }));
  REQUIRE(thread.tryPost([&done] { done.set_value(); }));
  done.get_future().wait();
  thread.stop();
  REQUIRE(seen == std::vector<int>{0, 1, 2, 3, 4, 5, 6, 7, 8, 9});
}

TEST_CASE("Text that is not UTF-8 is found and repaired", "[base]") {
  for (const char *good :
       {"", "a", "\xC3\xA9", "\xE2\x82\xAC", "\xED\x9F\xBF", "\xEE\x80\x80",
        "\xF0\x90\x80\x80", "\xF4\x8F\xBF\xBF"}) {
    CHECK(isUtf8(good));
    CHECK(repairUtf8(good) == good);
  }
  for (const char *bad :
       {"\x80", "a\xFF", "\xC3", "\xC3(", "\xC0\xAF", "\xC1\xBF",
        "\xE0\x9F\xBF", "\xED\xA0\x80", "\xF0\x8F\xBF\xBF", "\xF4\x90\x80\x80",
        "\xF5\x80\x80\x80", "\xE2\x82", "\xF0\x90\x80"}) {
    CHECK_FALSE(isUtf8(bad));
    CHECK(isUtf8(repairUtf8(bad)));
  }
  CHECK(repairUtf8("a\xFFz") == "a\xEF\xBF\xBDz");
}

TEST_CASE("Metrics are rendered as text", "[base]") {
  counter("mill_test_total", "A counter of the test.", {{"kind", "a"}})
      .Increment(3);
  REQUIRE(renderMetrics().find("mill_test_total{kind=\"a\"} 3") !=
          std::string::npos);
}
