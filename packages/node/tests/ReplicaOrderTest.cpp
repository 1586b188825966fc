// Tests which settings replica a VM tries first.
#include "node/ReplicaOrder.h"

#include <catch2/catch.hpp>
#include <set>

using namespace magnoliamill;
using namespace magnoliamill::node;

namespace {

settings::VmView makeVm(const char *id, const char *centre) {
  settings::VmView vm;
  vm.Id = base::VmId(id);
  vm.DataCentre = base::DataCentreId(centre);
  return vm;
}

std::vector<base::VmId> toIds(std::initializer_list<const char *> names) {
  std::vector<base::VmId> ids;
  for (const char *name : names)
    ids.emplace_back(name);
  return ids;
}

} // namespace

TEST_CASE("A VM fetches settings from a distant replica beside a near one",
          "[node]") {
  const std::vector<settings::VmView> replicas{
      makeVm("a1", "dc-a"), makeVm("b1", "dc-b"), makeVm("a2", "dc-a"),
      makeVm("b2", "dc-b")};
  std::set<base::VmId> silent;
  auto order = [&](const char *own) {
    return orderReplicas(
        replicas, base::DataCentreId(own),
        [&](const base::VmId &vm) { return !silent.contains(vm); });
  };

  SECTION("all replicas are alive") {
    CHECK(order("dc-a") == toIds({"a1", "a2", "b1", "b2"}));
    CHECK(order("dc-b") == toIds({"b1", "b2", "a1", "a2"}));

    SECTION("the near one is silent, and the other near one takes over") {
      silent.insert(base::VmId("b1"));
      CHECK(order("dc-b") == toIds({"b2", "a1", "a2", "b1"}));

      SECTION("all near ones are silent, and distant ones are tried first") {
        silent.insert(base::VmId("b2"));
        CHECK(order("dc-b") == toIds({"a1", "a2", "b1", "b2"}));
      }
    }
  }

  SECTION("the own data centre has no replica, and the order is kept") {
    CHECK(order("dc-c") == toIds({"a1", "b1", "a2", "b2"}));
  }

  SECTION("no replica is alive, as at the start, and near ones come first") {
    for (const auto &vm : replicas)
      silent.insert(vm.Id);
    CHECK(order("dc-b") == toIds({"b1", "b2", "a1", "a2"}));
  }
}
