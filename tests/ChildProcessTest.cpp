// Tests the control that tests have over the daemons that they start.
#include "cluster/LocalCluster.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <fmt/format.h>
#include <fstream>

using namespace magnoliamill::tests;

namespace {

/// The state of each thread of \p process as one letter, T when it is stopped.
std::string threadStates(pid_t process) {
  std::string states;
  for (const auto &thread : std::filesystem::directory_iterator(
           fmt::format("/proc/{}/task", process))) {
    std::ifstream file(thread.path() / "stat");
    std::string stat;
    std::getline(file, stat);
    // The state follows the name, which is in parentheses.
    states += stat.at(stat.rfind(')') + 2);
  }
  return states;
}

} // namespace

TEST_CASE("A thread of a frozen VM runs on", "[settings-faults]") {
  LocalCluster cluster("frozen-vm", 23190, {{"a1", "dc-a", true}});
  cluster.bootstrap();
  auto &vm = cluster.vm("a1");
  constexpr int Rounds = 100;
  for (int round = 0; round < Rounds; ++round) {
    vm.freeze();
    auto states = threadStates(vm.id());
    CHECK(states == std::string(states.size(), 'T'));
    vm.signal(SIGCONT);
  }
  waitUntil("a1 is ready again", [&] { return cluster.isReady("a1"); });

  SECTION("it is frozen twice") {
    vm.freeze();
    vm.freeze();
    CHECK(vm.isRunning());
  }

  SECTION("it was killed before") {
    vm.signal(SIGKILL);
    vm.freeze();
    CHECK(vm.wait() == 128 + SIGKILL);
  }
}
