// A heartbeat of an upstream arrives late, at a new leader, after the upstream
// has signed off: its keys are given to others while it holds them.
#include "../standin-2/Upstream.h"

#include <algorithm>
#include <iostream>

using namespace standin;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t AllKeys = 65536;
constexpr std::size_t Upstreams = 6;
/// The second heartbeat of the upstream that joins.
constexpr std::uint64_t LateNumber = 2;
/// From the start of that upstream to the planned stop of the leader.
constexpr auto TimeToStop = 5s;
/// RULES.md: "hold the same keys for over half a second".
constexpr auto Allowed = 500ms;
constexpr auto DrainTime = 2500ms;

std::unique_ptr<Upstream> start(Fleet &fleet, Record &record, std::size_t i) {
  UpstreamConfig upstream;
  upstream.Id = "i-7f3a91c" + std::to_string(i);
  upstream.Service = "press-orders";
  upstream.Zone = fleet.zone(i);
  upstream.IsKeyed = true;
  upstream.Work = 120ms;
  return std::make_unique<Upstream>(upstream, fleet, record);
}

bool waitForKeys(std::vector<std::unique_ptr<Upstream>> &upstreams) {
  for (int n = 0; n < 200; ++n) {
    std::this_thread::sleep_for(100ms);
    std::size_t keys = 0;
    for (const auto &upstream : upstreams)
      keys += upstream->countKeys();
    if (keys == AllKeys)
      return true;
  }
  return false;
}

/// Watches which keys the leaving upstream and another one hold at once.
class Watch {
public:
  explicit Watch(std::vector<std::unique_ptr<Upstream>> &upstreams)
      : All(upstreams), Since(AllKeys), Longest(AllKeys) {}

  void look() {
    const Upstream &leaving = *All.back();
    const auto mine = All.back()->listKeys();
    std::vector<bool> others(AllKeys);
    for (std::size_t i = 0; i + 1 < All.size(); ++i) {
      const auto keys = All[i]->listKeys();
      for (std::size_t key = 0; key < AllKeys; ++key)
        others[key] = others[key] || keys[key];
    }
    const auto now = Clock::now();
    for (std::size_t key = 0; key < AllKeys; ++key) {
      if (!mine[key] || !others[key] || !leaving.isUp()) {
        Since[key] = {};
        continue;
      }
      if (Since[key] == Time{})
        Since[key] = now;
      Longest[key] = std::max(Longest[key], now - Since[key]);
    }
  }
  std::size_t countLongerThan(Clock::duration time) const {
    return static_cast<std::size_t>(std::count_if(
        Longest.begin(), Longest.end(), [time](auto it) { return it > time; }));
  }
  std::chrono::milliseconds longest() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        *std::max_element(Longest.begin(), Longest.end()));
  }

private:
  std::vector<std::unique_ptr<Upstream>> &All;
  std::vector<Time> Since;
  std::vector<Clock::duration> Longest;
};

int run(const std::string &program, const std::string &folder,
        const std::string &recorded, bool trouble) {
  Record record(recorded);
  FleetConfig config;
  config.Program = program;
  config.Folder = folder;
  Fleet fleet(std::move(config), record);
  const auto accepted = fleet.callControl(
      "PATCH", "/v1/config",
      makeChange({makeRoute("r-status", 1, "press.example", "/status/", "safe",
                            800, 300, "press-orders"),
                  makeService("press-orders", 1, true), makeLimits(1)}),
      20s);
  if (!accepted || accepted->status() != 200 || !fleet.waitUntilReady(20s))
    return 2;
  std::vector<std::unique_ptr<Upstream>> upstreams;
  for (std::size_t i = 0; i < Upstreams; ++i)
    upstreams.push_back(start(fleet, record, i));
  if (!waitForKeys(upstreams))
    return 2;
  std::this_thread::sleep_for(4s);

  // One more joins and gets keys of the others.
  upstreams.push_back(start(fleet, record, Upstreams));
  Upstream &joining = *upstreams.back();
  joining.holdBack(LateNumber);
  std::this_thread::sleep_for(TimeToStop);
  joining.waitForAnswer();
  const auto former = fleet.coreAt(joining.leader());
  if (joining.countKeys() == 0 || former >= fleet.countCores())
    return 2;
  record.write("the joining upstream holds " +
               std::to_string(joining.countKeys()) + " keys");
  // It leaves right after a planned stop of the leader, instead of its next
  // heartbeat.
  fleet.stopCore(former);
  std::this_thread::sleep_for(300ms);
  if (!joining.signOffFirst(4s))
    return 2;
  std::thread late([&] {
    std::this_thread::sleep_for(200ms);
    if (trouble)
      joining.deliverLate((former + 1) % fleet.countCores());
  });
  Watch watch(upstreams);
  const auto end = Clock::now() + DrainTime;
  while (Clock::now() < end) {
    watch.look();
    std::this_thread::sleep_for(10ms);
  }
  late.join();
  joining.exit();
  record.write("the leaving upstream exits");
  const auto keys = watch.countLongerThan(Allowed);
  const std::string result =
      std::to_string(keys) +
      " keys were held by two upstreams for over 500 ms, the longest time is " +
      std::to_string(watch.longest().count()) + " ms";
  record.write(result);
  std::cout << result << "\n";
  return keys > 0 ? 1 : 0;
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
