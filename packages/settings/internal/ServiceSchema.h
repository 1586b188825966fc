// The schema of /teams/TEAM/services/SERVICE.
#pragma once

#include "settings/View.h"
#include "settings/internal/JsonReader.h"

namespace magnoliamill::settings::internal {

/// Reads all fields except the name and the team, which the path contains.
void readServiceFields(ObjectReader &reader, ServiceView &service,
                       Faults &faults);

} // namespace magnoliamill::settings::internal
