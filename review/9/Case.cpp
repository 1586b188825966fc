// A configuration with a text that is not UTF-8 is accepted; from then on no
// core returns a configuration that can be read.
#include "../standin-2/Upstream.h"

#include <iostream>

using namespace standin;
using namespace std::chrono_literals;

namespace {

/// RULES.md: the operator asks "repeatedly for at least contact_ms".
constexpr auto ReadTime = 4s;

/// The number of items that the core returns; not set if nothing can be read.
std::optional<std::size_t> readItems(Fleet &fleet, std::size_t core,
                                     Record &record) {
  const auto answer = call(fleet.control(core), "GET", "/v1/config", "", 1s);
  if (!answer || answer->status() != 200) {
    record.write("operator reads from core " + std::to_string(core) +
                 ": no answer");
    return std::nullopt;
  }
  const auto value = decode(answer->Body);
  const Value *items = value ? value->find("resources") : nullptr;
  record.write("operator reads from core " + std::to_string(core) + ": " +
               std::to_string(answer->Body.size()) + " bytes, " +
               answer->field("content-type") + ", " +
               (items
                    ? std::to_string(items->Items.size()) + " items"
                    : "unreadable, begins with " + answer->Body.substr(0, 24)));
  return items ? std::optional(items->Items.size()) : std::nullopt;
}

int run(const std::string &program, const std::string &folder,
        const std::string &recorded, bool trouble) {
  Record record(recorded);
  FleetConfig config;
  config.Program = program;
  config.Folder = folder;
  Fleet fleet(std::move(config), record);
  const auto change = [&](std::vector<Value> items) {
    const auto answer = fleet.callControl("PATCH", "/v1/config",
                                          makeChange(std::move(items)), 20s);
    const int status = answer ? answer->status() : 0;
    record.write("operator sends a change, answer " + std::to_string(status));
    return status;
  };
  if (change({makeRoute("r-stock", 1, "vault.example", "/stock/", "safe", 400,
                        150, "art-vault"),
              makeService("art-vault", 1, false), makeLimits(1)}) != 200 ||
      !fleet.waitUntilReady(20s))
    return 2;
  std::this_thread::sleep_for(4s);
  for (std::size_t i = 0; i < fleet.countCores(); ++i)
    if (readItems(fleet, i, record) != 3)
      return 2;

  bool accepted = false;
  if (trouble) {
    record.write("the next change has a host with the byte FF");
    accepted = change({makeRoute("r-proof", 2, "vault\xFF.example", "/proof/",
                                 "safe", 400, 150, "art-vault")}) == 200;
  }
  // A valid change, which has to be read back whatever became of the other.
  if (change({makeRoute("r-stock", 3, "vault.example", "/stock/", "safe", 380,
                        150, "art-vault")}) != 200)
    return 2;
  int readable = 0;
  int reads = 0;
  const auto end = Clock::now() + ReadTime;
  while (Clock::now() < end) {
    for (std::size_t i = 0; i < fleet.countCores(); ++i, ++reads)
      readable += readItems(fleet, i, record) ? 1 : 0;
    std::this_thread::sleep_for(300ms);
  }
  std::cout << (accepted ? "an invalid configuration was acknowledged, "
                         : "no invalid configuration was acknowledged, ")
            << readable << " of " << reads
            << " answers with the configuration could be read\n";
  return accepted || readable == 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 5)
    return 2;
  try {
    return run(argv[1], argv[2], argv[3], std::string(argv[4]) != "0");
  } catch (const std::exception &error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
