// Plays VMs that stop in series under load and checks what callers get.
#include "dispatch/StopAdmission.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <queue>
#include <random>
#include <vector>

using namespace magnoliamill;
using namespace magnoliamill::dispatch;
using namespace std::chrono_literals;

namespace {

const base::MonoTime Start{1h};
constexpr base::Duration Grace = 6s;
/// When the load balancer has noticed that a VM is not ready.
constexpr base::Duration DetectionTime = 2s;
/// From the exit of a VM until it gets connections again.
constexpr base::Duration RestartTime = 1s;
constexpr base::Duration ReturnTime = 50ms;
constexpr int MaxAttempts = 3;

struct Load {
  std::size_t VmCount = 40;
  /// Time between the stops of two VMs.
  base::Duration StopInterval = 250ms;
  base::Duration RouteTimeout = 4s;
  base::Duration MeanWork = 350ms;
  int RequestsPerSecond = 1000;
  base::Duration Length = 16s;
};

struct Outcome {
  int Served = 0;
  /// Ended by the route's timeout, with an unknown outcome.
  int TimedOut = 0;
  /// Refused at the last attempt.
  int Refused = 0;
  /// Cut off by the exit of the VM.
  int Lost = 0;
  int Refusals = 0;
};

struct Vm {
  base::MonoTime StopsAt;
  StopAdmission Admission;

  bool isStopping(base::MonoTime now) const {
    return now >= StopsAt && now < StopsAt + Grace;
  }
  /// Whether clients with an open connection reach the VM.
  bool isUp(base::MonoTime now) const {
    return now < StopsAt || isStopping(now) ||
           now >= StopsAt + Grace + RestartTime;
  }
  /// Whether the load balancer sends new connections to the VM.
  bool isInRotation(base::MonoTime now) const {
    return now < StopsAt + DetectionTime ||
           now >= StopsAt + Grace + RestartTime;
  }
};

/// Whether \p vm admits a request at \p now that ends by \p deadline.
using Policy = std::function<bool(const Vm &vm, base::MonoTime now,
                                  base::MonoTime deadline)>;

struct Attempt {
  base::MonoTime At;
  int Number = 1;
  bool operator<(const Attempt &other) const { return At > other.At; }
};

class Simulation {
public:
  Simulation(Load load, Policy policy)
      : Settings(load), Admits(std::move(policy)) {
    for (std::size_t i = 0; i < load.VmCount; ++i) {
      Vm vm;
      vm.StopsAt = Start + 1s + load.StopInterval * static_cast<int>(i);
      vm.Admission.begin(vm.StopsAt, Grace);
      Vms.push_back(vm);
    }
  }

  Outcome run() {
    const base::Duration interval =
        base::Duration(1s) / Settings.RequestsPerSecond;
    for (auto at = Start; at < Start + Settings.Length; at += interval)
      Attempts.push({at});
    while (!Attempts.empty()) {
      const auto attempt = Attempts.top();
      Attempts.pop();
      send(attempt);
    }
    return Result;
  }

private:
  /// First attempts use an open connection, later ones a new connection.
  const Vm &choose(const Attempt &attempt) {
    std::vector<const Vm *> candidates;
    for (const auto &vm : Vms)
      if (attempt.Number == 1 ? vm.isUp(attempt.At)
                              : vm.isInRotation(attempt.At))
        candidates.push_back(&vm);
    // A load balancer without ready VMs uses all of them.
    if (candidates.empty())
      for (const auto &vm : Vms)
        candidates.push_back(&vm);
    return *candidates[std::uniform_int_distribution<std::size_t>(
        0, candidates.size() - 1)(Random)];
  }

  /// One request in a hundred goes to a slow target.
  base::Duration drawWork() {
    std::lognormal_distribution<double> spread(-0.32, 0.8);
    const double slow =
        std::uniform_int_distribution<int>(0, 99)(Random) == 0 ? 8.0 : 1.0;
    return std::chrono::duration_cast<base::Duration>(Settings.MeanWork *
                                                      spread(Random) * slow);
  }

  void send(const Attempt &attempt) {
    const Vm &vm = choose(attempt);
    const auto deadline = attempt.At + Settings.RouteTimeout;
    if (vm.isStopping(attempt.At) && !Admits(vm, attempt.At, deadline)) {
      ++Result.Refusals;
      if (attempt.Number < MaxAttempts)
        Attempts.push({attempt.At + ReturnTime, attempt.Number + 1});
      else
        ++Result.Refused;
      return;
    }
    const auto end = std::min(attempt.At + drawWork(), deadline);
    if (vm.isStopping(attempt.At) && end > vm.Admission.endsAt())
      ++Result.Lost;
    else if (end == deadline)
      ++Result.TimedOut;
    else
      ++Result.Served;
  }

  Load Settings;
  Policy Admits;
  std::vector<Vm> Vms;
  std::priority_queue<Attempt> Attempts;
  std::mt19937_64 Random{20261204};
  Outcome Result;
};

Outcome play(const Load &load, Policy policy) {
  return Simulation(load, std::move(policy)).run();
}

bool admitIfCertain(const Vm &vm, base::MonoTime, base::MonoTime deadline) {
  return vm.Admission.admits(deadline, base::Duration::zero());
}
bool refuseAll(const Vm &, base::MonoTime, base::MonoTime) { return false; }
bool admitEarly(const Vm &vm, base::MonoTime now, base::MonoTime) {
  return now < vm.StopsAt + Grace * 60 / 100;
}

} // namespace

TEST_CASE("A VM that stops admits what ends before it exits") {
  StopAdmission admission;
  CHECK(admission.admits(Start + 1h, 1h));
  admission.begin(Start, Grace);

  SECTION("an answer that is due long before the exit") {
    CHECK(admission.admits(Start + 4s, 0s));
  }
  SECTION("a deadline after the exit") {
    CHECK_FALSE(admission.admits(Start + Grace, 0s));
  }
  SECTION("a deadline before the exit, but a long delivery") {
    CHECK(admission.admits(Start + 4s, 1s));
    CHECK_FALSE(admission.admits(Start + 4s, 2s));
  }
}

TEST_CASE("Callers of VMs that stop in series") {
  SECTION("no request is lost, and fewer are refused than if all were") {
    const Load load;
    const auto certain = play(load, admitIfCertain);
    const auto none = play(load, refuseAll);
    CHECK(play(load, admitEarly).Lost > 0);
    CHECK(certain.Lost == 0);
    CHECK(certain.Served >= none.Served);
    CHECK(certain.Refusals < none.Refusals);
    // At most one caller in a thousand is refused to the end.
    CHECK(certain.Refused * 1000 <= load.RequestsPerSecond * 16);
  }
  SECTION("all VMs stop within two seconds: short requests are still served") {
    Load load;
    load.StopInterval = 50ms;
    load.RouteTimeout = 1s;
    load.MeanWork = 100ms;
    load.Length = 5s;
    const auto certain = play(load, admitIfCertain);
    const auto none = play(load, refuseAll);
    CHECK(certain.Lost == 0);
    CHECK(certain.Refused == 0);
    CHECK(none.Refused > 0);
    CHECK(certain.Served > none.Served);
  }
}
