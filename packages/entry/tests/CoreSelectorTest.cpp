// Tests which core an entry subscribes to.
#include "entry/CoreSelector.h"

#include <catch2/catch.hpp>

using namespace magnoliamill;
using namespace magnoliamill::entry;
using namespace std::chrono_literals;

TEST_CASE("An entry uses the core of its data centre while that is available") {
  const base::MonoTime start{1h};
  const std::vector<fleet::VmAddress> known{
      {"10.1.0.1", "dc-a"}, {"10.2.0.1", "dc-b"}, {"10.3.0.1", "dc-c"}};
  // The position of the core among the seeds must not affect the choice.
  const auto seed = GENERATE(0, 1, 2, 3);
  CoreSelector choice("dc-b", static_cast<std::uint64_t>(seed));
  choice.setSeeds({"10.1.0.1", "10.2.0.1", "10.3.0.1"});
  CHECK(choice.choose(known, start) == "10.2.0.1");

  SECTION("a core that stopped responding is avoided for a while") {
    choice.onFault("10.2.0.1", start);
    const auto next = choice.choose(known, start + 250ms);
    CHECK(next != "10.2.0.1");
    CHECK(choice.choose(known, start + 2s) == next);
    CHECK(choice.choose(known, start + CoreSelector::AvoidTime) == "10.2.0.1");
  }
  SECTION("if all cores failed, the one that failed first is used") {
    choice.onFault("10.2.0.1", start);
    choice.onFault("10.1.0.1", start + 1s);
    choice.onFault("10.3.0.1", start + 2s);
    CHECK(choice.choose(known, start + 3s) == "10.2.0.1");
  }
}

TEST_CASE("Entries of a data centre are distributed over its cores") {
  const std::vector<fleet::VmAddress> known{{"10.1.0.1", "dc-a"},
                                            {"10.2.0.1", "dc-b"},
                                            {"10.2.0.2", "dc-b"},
                                            {"10.3.0.1", "dc-c"}};
  std::map<std::string, int> count;
  std::map<std::string, int> next;
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    CoreSelector choice("dc-b", seed);
    const auto core = choice.choose(known, base::MonoTime(1h));
    ++count[core];
    choice.onFault("10.2.0.1", base::MonoTime(1h));
    choice.onFault("10.2.0.2", base::MonoTime(1h));
    ++next[choice.choose(known, base::MonoTime(1h))];
  }
  CHECK(count.size() == 2);
  CHECK(count["10.2.0.1"] > 30);
  CHECK(count["10.2.0.2"] > 30);
  // Those of a data centre without a core are distributed over the others.
  CHECK(next["10.1.0.1"] > 30);
  CHECK(next["10.3.0.1"] > 30);
}

TEST_CASE("Without a view, entries start with different seeds") {
  CoreSelector first("dc-a", 0);
  CoreSelector second("dc-a", 1);
  for (auto *choice : {&first, &second})
    choice->setSeeds({"10.1.0.1", "10.2.0.1"});
  CHECK(first.choose({}, base::MonoTime(1h)) == "10.1.0.1");
  CHECK(second.choose({}, base::MonoTime(1h)) == "10.2.0.1");
  CHECK(CoreSelector("dc-a", 0).choose({}, base::MonoTime(1h)).empty());
}
