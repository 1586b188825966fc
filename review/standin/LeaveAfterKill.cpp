// Case: an upstream leaves just after all processes of the core were killed; a
// heartbeat that it had sent before arrives late.
#include "Harness.h"

#include <algorithm>
#include <array>
#include <iostream>

using namespace review;

namespace {

constexpr std::int64_t DrainMs = 2000;
constexpr std::int64_t ContactMs = 3000;
/// "A heartbeat may arrive seconds late."
constexpr std::int64_t LateMs = 1000;
/// "It continues serving for drain_ms after the acknowledgement and a little
/// longer (at times many seconds)."
constexpr std::int64_t ServesMs = 8000;

void sendRequests(const Deployment &fleet, Record &record, int entry,
                  const std::atomic<bool> &end) {
  for (int i = 0; !end; ++i) {
    const auto attempt = "c" + std::to_string(entry) + "-" + std::to_string(i);
    const auto answer =
        call(Deployment::entryHost(entry), fleet.clientPort(), "POST",
             "/haul/x", requestHeaders(attempt, 0, 1500), "load", 2000);
    record.line("client: " + attempt + " status " +
                std::to_string(answer.Status) + " " + answer.Body);
    pause(30);
  }
}

int runCase(const std::string &folder) {
  Record record(folder);
  Deployment fleet({3, 2}, record);
  const Json items = {
      makeService("haul", "00000001", false),
      makeRoute("r-haul", "00000001", "/haul/", "unsafe", "haul", 1500),
      makeLimits("00000001", 67108864)};
  if (sendItems(fleet, record, items) != 200)
    return ExitNotRun;
  UpstreamOptions options{"i-a", "haul"};
  options.IsKeyed = false;
  Upstream a(options, fleet, record);
  options.Id = "i-b";
  const Upstream b(options, fleet, record);
  if (!fleet.waitUntilReady(20000))
    return ExitNotRun;
  std::atomic<bool> end{false};
  std::array<std::thread, 2> clients;
  for (int i = 0; i < 2; ++i)
    clients.at(static_cast<std::size_t>(i)) =
        std::thread([&, i] { sendRequests(fleet, record, i, end); });
  pause(5000);
  a.stopHeartbeats();
  pause(100);
  const auto late = a.takeHeartbeat();
  record.line("upstream i-a sends a heartbeat that will arrive late");
  if (hasTrouble()) {
    for (int i = 0; i < 3; ++i)
      fleet.kill("core" + std::to_string(i));
    for (int i = 0; i < 3; ++i)
      fleet.startCore(i, false);
  }
  const auto restarted = now();
  const auto left = a.leave(10000);
  if (left >= 0) {
    pause(LateMs);
    const auto answer =
        call(Deployment::coreHost(0), fleet.controlPort(), "PUT",
             "/v1/instances/" + a.id(),
             {{"Host", "control"}, {"Content-Type", "application/cbor"}}, late,
             1000);
    record.line("the late heartbeat of i-a arrives, status " +
                std::to_string(answer.Status));
    pause(ServesMs - LateMs);
  }
  end = true;
  for (auto &client : clients)
    client.join();
  if (left < 0)
    return ExitNotRun;
  const auto bound = std::max(left + DrainMs, restarted + ContactMs);
  const auto times = a.runTimes();
  const auto before =
      std::ranges::count_if(times, [&](std::int64_t at) { return at < left; });
  const auto broken =
      std::ranges::count_if(times, [&](std::int64_t at) { return at > bound; });
  const std::string result =
      "i-a ran " + std::to_string(before) + " requests before it left and " +
      std::to_string(broken) + " later than drain_ms after the " +
      "acknowledgement, with the core stable for contact_ms (allowed: 0)";
  record.line(result);
  std::cout << result << "\n";
  if (before == 0)
    return ExitNotRun;
  return broken > 0 ? ExitBroken : ExitHeld;
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
