// Orders replicas by data centre and then, stably, by liveness.
#include "node/ReplicaOrder.h"

#include <algorithm>

namespace magnoliamill::node {

std::vector<base::VmId>
orderReplicas(const std::vector<settings::VmView> &replicas,
              const base::DataCentreId &own,
              const std::function<bool(const base::VmId &)> &alive) {
  std::vector<base::VmId> near;
  std::vector<base::VmId> ordered;
  for (const auto &vm : replicas)
    (vm.DataCentre == own ? near : ordered).push_back(vm.Id);
  ordered.insert(ordered.begin(), near.begin(), near.end());
  std::stable_partition(ordered.begin(), ordered.end(), alive);
  return ordered;
}

} // namespace magnoliamill::node
