// Tests which updates a subscriber from another core is sent.
#include "fleet/RecentUpdates.h"

#include <catch2/catch.hpp>
#include <string>

using namespace magnoliamill;
using namespace magnoliamill::fleet;
using namespace std::chrono_literals;

namespace {

constexpr base::Duration MaxAge = 500ms;
constexpr base::MonoTime Start{1h};

/// Removes one target, whose id is the number.
ViewUpdate makeUpdate(ViewVersion version) {
  ViewUpdate update;
  update.Version = version;
  update.GoneTargets = {{std::to_string(version.Number), 1}};
  return update;
}

void add(RecentUpdates &recent, const ViewUpdate &update,
         base::MonoTime now = Start) {
  recent.add(update, encodeShared(update), now);
}

/// The numbers of the updates that follow \p known.
std::optional<std::vector<std::uint64_t>>
listNumbers(RecentUpdates &recent, ViewVersion known,
            base::MonoTime now = Start) {
  const auto frames = recent.listAfter(known, now, MaxAge);
  if (!frames)
    return std::nullopt;
  std::vector<std::uint64_t> numbers;
  for (const auto &frame : *frames)
    numbers.push_back(
        std::get<ViewUpdate>(decodeFrame(frame->Bytes).value()).Version.Number);
  return numbers;
}

} // namespace

TEST_CASE("A subscriber that has missed some updates is sent these only") {
  using Numbers = std::vector<std::uint64_t>;
  RecentUpdates recent;
  ViewUpdate whole;
  whole.Version = {3, 1};
  whole.IsWhole = true;
  add(recent, whole);
  for (std::uint64_t n = 2; n <= 6; ++n)
    add(recent, makeUpdate({3, n}));

  CHECK(listNumbers(recent, {3, 4}) == Numbers{5, 6});
  CHECK(listNumbers(recent, {3, 1}) == Numbers{2, 3, 4, 5, 6});
  CHECK(listNumbers(recent, {3, 6}) == Numbers{});

  SECTION("or nothing if they are not all kept") {
    CHECK_FALSE(listNumbers(recent, {3, 0}));
    CHECK_FALSE(listNumbers(recent, {}));
    for (std::uint64_t n = 7; n <= 6 + RecentUpdates::MaxUpdates; ++n)
      add(recent, makeUpdate({3, n}));
    CHECK_FALSE(listNumbers(recent, {3, 5}));
    CHECK(listNumbers(recent, {3, 6})->size() == RecentUpdates::MaxUpdates);
  }
  SECTION("or nothing if it has another leader's view or a later one") {
    CHECK_FALSE(listNumbers(recent, {2, 4}));
    CHECK_FALSE(listNumbers(recent, {3, 7}));
    whole.Version = {4, 1};
    add(recent, whole);
    CHECK_FALSE(listNumbers(recent, {3, 6}));
    CHECK(listNumbers(recent, {4, 1}) == Numbers{});
  }
  SECTION("or nothing if they are large") {
    auto large = makeUpdate({3, 7});
    large.GoneTargets.resize(RecentUpdates::MaxParts + 1);
    add(recent, large);
    CHECK_FALSE(listNumbers(recent, {3, 6}));
    add(recent, makeUpdate({3, 8}));
    CHECK(listNumbers(recent, {3, 7}) == Numbers{8});
  }
  SECTION("with the times that are left then") {
    auto update = makeUpdate({3, 7});
    Target target;
    target.WarmUntil = base::readMonotonic() + 1h;
    update.Targets = {target};
    add(recent, update);
    const auto first = recent.listAfter({3, 6}, Start, MaxAge);
    const auto soon = recent.listAfter({3, 6}, Start + MaxAge / 2, MaxAge);
    const auto later = recent.listAfter({3, 6}, Start + MaxAge, MaxAge);
    CHECK(soon->front() == first->front());
    CHECK(later->front() != first->front());
  }
}
