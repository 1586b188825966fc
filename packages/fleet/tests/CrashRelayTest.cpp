// Tests what cores pass on about requests under which targets ended.
#include "fleet/CrashRelay.h"

#include "fleet/Frame.h"

#include <catch2/catch.hpp>
#include <deque>
#include <utility>
#include <vector>

using namespace magnoliamill;
using namespace magnoliamill::fleet;
using dispatch::CrashReport;
using namespace std::chrono_literals;

namespace {

const base::MonoTime Start{1h};
constexpr std::uint64_t Ending = 17;

CrashReport reportOf(const std::string &target) {
  return {{{Ending, target, 0ms}}, {}};
}

} // namespace

TEST_CASE("Cores tell entries which requests to refuse") {
  CrashRelay relay;
  CHECK(relay.merge(reportOf("t-1"), CrashRelay::Source::Entry, Start)
            .ForCores.Crashes.size() == 1);
  auto news = relay.merge(reportOf("t-2"), CrashRelay::Source::Entry, Start);
  CHECK(news.ForCores.Crashes.size() == 1);
  CHECK(news.ForEntries.empty());
  CHECK(relay.describeForEntry(Start).empty());

  SECTION("a known crash is not passed on again") {
    news = relay.merge(reportOf("t-2"), CrashRelay::Source::Entry, Start + 1s);
    CHECK(news.ForCores.empty());
    CHECK(news.ForEntries.empty());
  }
  SECTION("at the third target, with all three") {
    news = relay.merge(reportOf("t-3"), CrashRelay::Source::Entry, Start);
    CHECK(news.ForCores.Crashes.size() == 1);
    CHECK(news.ForEntries.Crashes.size() == 3);
    CHECK(relay.merge(reportOf("t-4"), CrashRelay::Source::Entry, Start)
              .ForCores.empty());

    SECTION("an entry that connects later learns it, with the age") {
      const auto report = relay.describeForEntry(Start + 5s);
      REQUIRE(report.Crashes.size() == 3);
      CHECK(report.Crashes.front().Age == 5s);
      dispatch::RequestQuarantine quarantine;
      mergeReport(report, Start + 5s, quarantine);
      CHECK(quarantine.endOf(Ending, Start + 5s) ==
            Start + dispatch::RequestQuarantine::Lifetime);
    }
    SECTION("an answered request is cleared everywhere, once") {
      const CrashReport cleared{{}, {Ending}};
      news = relay.merge(cleared, CrashRelay::Source::Entry, Start + 1s);
      CHECK(news.ForCores.Cleared.size() == 1);
      CHECK(news.ForEntries.Cleared.size() == 1);
      CHECK(relay.merge(cleared, CrashRelay::Source::Entry, Start + 1s)
                .ForCores.empty());
      CHECK(relay.describeForEntry(Start + 1s).empty());
    }
  }
  SECTION("a core that connects gets all crashes") {
    CHECK(relay.describeForCore(Start).Crashes.size() == 2);
  }
}

TEST_CASE("A crash and its clearing do not chase each other between cores") {
  std::vector<CrashRelay> cores(4);
  std::deque<std::pair<std::size_t, CrashReport>> sent;
  std::size_t passed = 0;
  const auto take = [&](std::size_t core, const CrashReport &report,
                        CrashRelay::Source source) {
    const auto news = cores[core].merge(report, source, Start);
    if (!news.ForCores.empty())
      for (std::size_t to = 0; to < cores.size(); ++to)
        if (to != core)
          sent.emplace_back(to, news.ForCores);
  };
  take(0, reportOf("t-1"), CrashRelay::Source::Entry);
  take(0, {{}, {Ending}}, CrashRelay::Source::Entry);
  for (; !sent.empty() && passed < 1000; ++passed) {
    const auto [to, report] = std::move(sent.front());
    sent.pop_front();
    take(to, report, CrashRelay::Source::Core);
  }
  CHECK(sent.empty());
  CHECK(passed == 2 * (cores.size() - 1));
  for (const auto &core : cores)
    CHECK(core.describeForCore(Start).empty());
}

TEST_CASE("Reports on crashes survive their encoding") {
  const CrashReport report{{{Ending, "t-1 5", 250ms}}, {3, 4}};
  const auto decoded = decodeFrame(encodeFrame(report));
  REQUIRE(decoded);
  const auto &copy = std::get<CrashReport>(decoded.value());
  REQUIRE(copy.Crashes.size() == 1);
  CHECK(copy.Crashes[0].Content == Ending);
  CHECK(copy.Crashes[0].Target == "t-1 5");
  CHECK(copy.Crashes[0].Age == 250ms);
  CHECK(copy.Cleared == report.Cleared);
}

TEST_CASE("What an answer says about its target survives its encoding") {
  const auto copy = [](const std::optional<TargetNotice> &notice) {
    const PermitEnd end{7, admission::PermitUse::Answered, 5ms, notice};
    return std::get<PermitEnd>(decodeFrame(encodeFrame(end)).value()).Notice;
  };
  CHECK_FALSE(copy(std::nullopt));
  REQUIRE(copy(TargetNotice{}));
  CHECK_FALSE(copy(TargetNotice{})->RateLimit);
  CHECK(copy(TargetNotice{6.5})->RateLimit == 6.5);
  CHECK_FALSE(decodeFrame(encodeFrame(
      PermitEnd{7, admission::PermitUse::Answered, 5ms, TargetNotice{-1.0}})));
}
