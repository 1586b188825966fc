// Tests the transfers that are planned by the load of single stripes.
#include "keyspace/StripePlanner.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>

using namespace magnoliamill::keyspace;
using namespace std::chrono_literals;

namespace {

/// Targets with 2 slots and stripes of their own. Work takes 160 ms, so that a
/// target of speed 1 can serve 12.5 requests a second.
struct Service {
  Service() {
    Loads.MinCertain = 1;
    Loads.WorkTime = 160ms;
  }
  void add(double speed, const std::vector<float> &loads) {
    LoadCandidate target;
    target.Target = {2 * speed, static_cast<std::uint32_t>(loads.size()),
                     KeyCount, 0ms};
    for (const float load : loads) {
      target.Movable.push_back(
          static_cast<std::uint32_t>(Loads.ByStripe.size()));
      target.Load += load;
      Loads.ByStripe.push_back({load, 0});
    }
    Targets.push_back(std::move(target));
  }
  LoadPlan plan(std::size_t most = 1000) const {
    return planLoadTransfers(Targets, Loads, most);
  }

  std::vector<LoadCandidate> Targets;
  StripeLoads Loads;
};

std::vector<float> withOrdinary(std::vector<float> loads) {
  loads.resize(loads.size() + 100, 0.04F);
  return loads;
}

} // namespace

TEST_CASE("A busy stripe moves from a slow target to a fast one") {
  Service service;
  service.add(0.6, withOrdinary({10}));
  service.add(1.0, withOrdinary({}));
  service.add(1.4, withOrdinary({}));
  CHECK(service.plan().Transfers == std::vector<StripeTransfer>{{0, 0, 2}});

  // Noise must not interrupt keys.
  SECTION("but not if the measured load may be chance") {
    service.Targets[0].Variance = 25;
    CHECK(service.plan().Overloaded.empty());
    CHECK(service.plan().Transfers.empty());
  }
  SECTION("the least busy one that suffices is moved") {
    service.Targets.clear();
    service.Loads.ByStripe.clear();
    service.add(1.0, withOrdinary({5, 4, 1}));
    service.add(1.0, withOrdinary({}));
    service.add(1.0, withOrdinary({}));
    CHECK(service.plan().Transfers == std::vector<StripeTransfer>{{1, 0, 1}});
  }
}

// Many transfers for keys that are busy for a short time cost more than they
// gain.
TEST_CASE("Ordinary stripes move only if the overload lasts") {
  Service service;
  service.add(1.4, withOrdinary({15}));
  service.add(1.0, withOrdinary({}));
  service.add(1.0, withOrdinary({}));
  CHECK(service.plan().Overloaded.size() == 1);
  CHECK(service.plan().Transfers.empty());

  service.Targets[0].IsLasting = true;
  const auto transfers = service.plan().Transfers;
  CHECK(transfers.size() >= 50);
  std::map<std::uint32_t, int> taken;
  for (const auto &transfer : transfers) {
    CHECK(transfer.Stripe != 0);
    ++taken[transfer.To];
  }
  CHECK(taken.size() == 2);
  CHECK(service.plan(7).Transfers.size() == 7);
}

TEST_CASE("A fast target makes room for a stripe that a slow one can't bear") {
  Service service;
  service.add(0.6, withOrdinary({12}));
  service.add(1.4, withOrdinary({}));
  service.add(1.0, withOrdinary({}));
  service.Targets[0].IsLasting = true;
  const auto transfers = service.plan().Transfers;
  REQUIRE(transfers.size() > 1);
  CHECK(transfers.back() == StripeTransfer{0, 0, 1});
  for (std::size_t i = 0; i + 1 < transfers.size(); ++i)
    CHECK(transfers[i].From == 1);
}

// A receiver that becomes overloaded has to give the stripes away again.
TEST_CASE("Targets that get stripes stay below what they can serve") {
  rc::check([] {
    Service service;
    const auto size = *rc::gen::inRange(2, 8);
    for (int i = 0; i < size; ++i) {
      std::vector<float> loads;
      for (int n = *rc::gen::inRange(0, 4); n > 0; --n)
        loads.push_back(static_cast<float>(*rc::gen::inRange(1, 20)));
      service.add(*rc::gen::element(0.6, 1.0, 1.4), withOrdinary(loads));
      service.Targets.back().IsLasting = *rc::gen::arbitrary<bool>();
    }
    double total = 0;
    std::map<std::uint32_t, double> loads;
    double weights = 0;
    for (std::uint32_t i = 0; i < service.Targets.size(); ++i) {
      total += loads[i] = service.Targets[i].Load;
      weights += service.Targets[i].Target.Weight;
    }
    const auto plan = service.plan();
    for (const auto &transfer : plan.Transfers) {
      const double load = service.Loads.ByStripe[transfer.Stripe].PerSecond;
      RC_ASSERT(transfer.From != transfer.To);
      loads[transfer.From] -= load;
      loads[transfer.To] += load;
    }
    for (const auto &transfer : plan.Transfers) {
      const double weight = service.Targets[transfer.To].Target.Weight;
      RC_ASSERT(loads[transfer.To] <=
                std::max(weight / 0.16, 1.3 * total * weight / weights) * 0.95);
    }
  });
}

TEST_CASE("The rule by count doesn't undo transfers by load") {
  std::vector<LoadCandidate> targets(10);
  for (auto &target : targets)
    target = {{1, 109, KeyCount, 0ms}, 10, 0, false, {}};
  targets[0].Target.Count = 20;
  SECTION("a target with few busy stripes gets no others") {
    CHECK(planTransfers(countByLoad(targets, 1000), 1000).empty());
  }
  SECTION("a target without load gets stripes, such as a new one") {
    targets[0].Load = 1;
    CHECK(planTransfers(countByLoad(targets, 1000), 1000).size() >= 70);
  }
  SECTION("a target with many stripes keeps them while it has little load") {
    targets[1].Target.Count = 180;
    CHECK(planTransfers(countByLoad(targets, 1000), 1000).empty());
    targets[1].Load = 20;
    CHECK_FALSE(planTransfers(countByLoad(targets, 1000), 1000).empty());
  }
  SECTION("row limits apply whatever the load") {
    targets[1].Target.Limit = 104;
    CHECK(planTransfers(countByLoad(targets, 1000), 1000).size() == 5);
  }
}
