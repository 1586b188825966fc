// Tests which entries a core lists to an entry.
#include "fleet/EntryDirectory.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <string>

using namespace magnoliamill;
using namespace magnoliamill::fleet;

namespace {

std::size_t countNear(const std::vector<VmAddress> &entries,
                      const std::string &centre) {
  return static_cast<std::size_t>(
      std::ranges::count(entries, centre, &VmAddress::DataCentre));
}

} // namespace

TEST_CASE("A core lists other entries to each entry") {
  constexpr std::size_t Links = 40;
  const std::array<char, Links> keys{};
  EntryDirectory directory;
  const auto put = [&](std::size_t link, std::size_t host,
                       const std::string &centre) {
    directory.put(&keys[link], {"10.0.0." + std::to_string(host), centre});
  };
  const VmAddress asker{"10.0.0.0", "dc-a"};

  SECTION("of the own data centre and of others") {
    for (std::size_t i = 0; i < 12; ++i)
      put(i, i, i % 2 == 0 ? "dc-a" : "dc-b");
    const auto listed = directory.listOthers(asker);
    CHECK(listed.size() == EntryDirectory::MaxListed);
    CHECK(countNear(listed, "dc-a") == EntryDirectory::MaxListedNear);
    CHECK(std::ranges::count(listed, asker) == 0);

    SECTION("the same ones each time") {
      CHECK(directory.listOthers(asker) == listed);
    }
  }
  SECTION("more of the own data centre if there are few others") {
    for (std::size_t i = 0; i < 12; ++i)
      put(i, i, i < 11 ? "dc-a" : "dc-b");
    const auto listed = directory.listOthers(asker);
    CHECK(listed.size() == EntryDirectory::MaxListed);
    CHECK(countNear(listed, "dc-b") == 1);
  }
  SECTION("once each, until its last link is closed") {
    put(0, 0, "dc-a");
    put(1, 1, "dc-b");
    put(2, 1, "dc-b");
    CHECK(directory.listOthers(asker).size() == 1);
    directory.remove(&keys[1]);
    CHECK(directory.listOthers(asker).size() == 1);
    directory.remove(&keys[2]);
    CHECK(directory.listOthers(asker).empty());
  }
  SECTION("each to about as many") {
    for (std::size_t i = 0; i < Links; ++i)
      put(i, i, "dc-" + std::to_string(i % 4));
    std::array<int, Links> counts{};
    for (std::size_t i = 0; i < Links; ++i)
      for (const auto &entry : directory.listOthers(
               {"10.0.0." + std::to_string(i), "dc-" + std::to_string(i % 4)}))
        ++counts[static_cast<std::size_t>(std::stoi(entry.Host.substr(7)))];
    CHECK(static_cast<std::size_t>(std::ranges::max(counts)) <=
          4 * EntryDirectory::MaxListed);
    CHECK(std::ranges::min(counts) >= 1);
  }
}
