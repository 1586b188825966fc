// Orders the settings replicas to which a VM sends its calls and fetches.
#pragma once

#include "base/Ids.h"
#include "settings/View.h"

#include <functional>
#include <vector>

namespace magnoliamill::node {

/// Returns the ids of \p replicas in the order in which a VM of the data centre
/// \p own tries them: live before other ones, and among equals those of the own
/// data centre first. Otherwise the order is kept.
std::vector<base::VmId>
orderReplicas(const std::vector<settings::VmView> &replicas,
              const base::DataCentreId &own,
              const std::function<bool(const base::VmId &)> &alive);

} // namespace magnoliamill::node
