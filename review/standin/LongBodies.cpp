// Case: two clients send long requests at the same time, within the limits.
#include "Harness.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>
#include <sstream>

using namespace review;

namespace {

/// Below max_body_bytes of the limits in force, 64 MiB.
constexpr std::size_t LongBytes = 60'000'000;
/// limits.memory_mb of a front machine of the site.
constexpr std::int64_t MemoryMb = 260;
/// "on a tenth of the machines in use (two at least) ... three times".
constexpr int Entries = 2;
constexpr int AllowedEnds = 2;

/// Resident memory in MiB.
std::int64_t readMemory(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(file, line);)
    if (line.starts_with("VmRSS:")) {
      std::istringstream text(line.substr(6));
      std::int64_t kib = 0;
      text >> kib;
      return kib / 1024;
    }
  return 0;
}

struct Watch {
  std::array<int, Entries> Ends{};
  std::int64_t Most = 0;
};

/// The platform's part: "A process that uses more than `memory_mb` is killed."
/// Looks until \p done is set; returns true if it killed the process.
bool guardMemory(Deployment &fleet, Record &record, int entry, Watch &watch,
                 const std::atomic<int> &running) {
  const std::string name = "entry" + std::to_string(entry);
  while (running > 0) {
    const auto used = readMemory(fleet.pidOf(name));
    watch.Most = std::max(watch.Most, used);
    if (used <= MemoryMb) {
      pause(2);
      continue;
    }
    record.line("platform: " + name + " uses " + std::to_string(used) +
                " MiB of " + std::to_string(MemoryMb));
    fleet.kill(name);
    return true;
  }
  return false;
}

int runCase(const std::string &folder) {
  Record record(folder);
  Deployment fleet({3, Entries}, record);
  if (!sendFirstConfig(fleet, record))
    return ExitNotRun;
  const Upstream a({"i-a", "barn"}, fleet, record);
  const Upstream b({"i-b", "barn"}, fleet, record);
  if (!fleet.waitUntilReady(20000) || !waitUntilHeld({&a, &b}, 20000))
    return ExitNotRun;
  const std::string body(LongBytes, 'x');
  Watch watch;
  int answered = 0;
  for (int round = 0; round < 3; ++round) {
    for (int entry = 0; entry < Entries; ++entry) {
      std::atomic<int> running{2};
      std::atomic<int> good{0};
      const auto send = [&](int client) {
        const auto attempt = "long-" + std::to_string(round) +
                             std::to_string(entry) + std::to_string(client);
        const auto answer = call(
            Deployment::entryHost(entry), fleet.clientPort(), "POST", "/book/x",
            requestHeaders(attempt, static_cast<std::uint32_t>(client) * 40000,
                           1500),
            body, 5000);
        record.line("client: " + attempt + " status " +
                    std::to_string(answer.Status));
        good += answer.Status == 200 ? 1 : 0;
        --running;
      };
      // Without the disruption one client follows the other.
      std::thread both([&] {
        if (hasTrouble()) {
          std::thread other([&] { send(1); });
          send(0);
          other.join();
        } else {
          send(0);
          send(1);
        }
      });
      const bool killed = guardMemory(fleet, record, entry, watch, running);
      both.join();
      answered += good;
      if (!killed)
        continue;
      ++watch.Ends.at(static_cast<std::size_t>(entry));
      pause(500);
      fleet.startEntry(entry);
      if (!fleet.waitUntilReady(20000))
        return ExitNotRun;
      pause(500);
    }
  }
  const int least = std::ranges::min(watch.Ends);
  const std::string result =
      "most memory of an entry " + std::to_string(watch.Most) + " MiB of " +
      std::to_string(MemoryMb) + "; killed for it: entry0 " +
      std::to_string(watch.Ends[0]) + " times, entry1 " +
      std::to_string(watch.Ends[1]) + " times (allowed: 2); " +
      std::to_string(answered) + " of 12 requests answered";
  record.line(result);
  std::cout << result << "\n";
  return least > AllowedEnds ? ExitBroken : ExitHeld;
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
