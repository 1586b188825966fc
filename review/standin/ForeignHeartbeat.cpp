// Case: a heartbeat of another writer, with a service that isn't named here,
// for the address of a running upstream.
#include "Harness.h"

#include <array>
#include <iostream>

using namespace review;

namespace {

constexpr std::int64_t WatchMs = 10000;
/// "Two upstreams that are up hold the same keys for over half a second".
constexpr std::int64_t AllowedMs = 500;

Json makeForeignHeartbeat(const Upstream &upstream) {
  return {{"address", upstream.address()},
          {"born", wallMs()},
          {"info",
           {{"service", "node-agent"},
            {"version", "v1"},
            {"zone", "mittelland-a"},
            {"slots", 1}}},
          {"status", {{"state", "ready"}, {"seq", 1}, {"warmup_left_ms", 0}}}};
}

/// Sends unsafe requests for all parts of the key range until \p end is set.
void sendRequests(const Deployment &fleet, Record &record, int entry,
                  const std::atomic<bool> &end) {
  for (std::uint32_t i = 0; !end; ++i) {
    const auto attempt = "c" + std::to_string(entry) + "-" + std::to_string(i);
    const auto key = i * 4099 % 65536;
    const auto answer =
        call(Deployment::entryHost(entry), fleet.clientPort(), "POST",
             "/book/x", requestHeaders(attempt, key, 1500), "load", 2000);
    record.line("client: " + attempt + " key " + std::to_string(key) +
                " status " + std::to_string(answer.Status));
    pause(40);
  }
}

int runCase(const std::string &folder) {
  Record record(folder);
  Deployment fleet({3, 2}, record);
  if (!sendFirstConfig(fleet, record))
    return ExitNotRun;
  const Upstream a({"i-a", "barn"}, fleet, record);
  const Upstream b({"i-b", "barn"}, fleet, record);
  const Upstream c({"i-c", "barn"}, fleet, record);
  const std::vector<const Upstream *> all{&a, &b, &c};
  if (!fleet.waitUntilReady(20000) || !waitUntilHeld(all, 20000))
    return ExitNotRun;
  std::atomic<bool> end{false};
  std::array<std::thread, 2> clients;
  for (int i = 0; i < 2; ++i)
    clients.at(static_cast<std::size_t>(i)) =
        std::thread([&, i] { sendRequests(fleet, record, i, end); });
  HoldWatch watch(all);
  const auto begin = now();
  bool sent = false;
  while (now() < begin + 3000 + WatchMs) {
    watch.look();
    if (!sent && hasTrouble() && now() > begin + 3000) {
      sent = true;
      record.line("keys with two holders before the foreign heartbeat: " +
                  std::to_string(watch.mostKeys()));
      const auto answer = fleet.control("PUT", "/v1/instances/agent-7",
                                        makeForeignHeartbeat(a), 0, 3000);
      record.line("another writer: heartbeat for the address of i-a, status " +
                  std::to_string(answer.Status));
    }
    pause(10);
  }
  end = true;
  for (auto &client : clients)
    client.join();
  const std::string result =
      std::to_string(watch.mostKeys()) + " keys had two holders, for up to " +
      std::to_string(watch.longestMs()) + " ms (allowed: 500 ms)";
  record.line(result);
  std::cout << result << "\n";
  return watch.longestMs() > AllowedMs ? ExitBroken : ExitHeld;
}

} // namespace

int main(int argc, char **argv) {
  try {
    return argc == 2 ? runCase(argv[1]) : ExitNotRun;
  } catch (const std::exception &error) {
    std::cerr << error.what() << "\n";
    return ExitNotRun;
  }
}
