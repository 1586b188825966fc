// The schema of /teams/TEAM/services/SERVICE.
#pragma once

#include "settings/View.h"
#include "settings/internal/JsonReader.h"

namespace magnoliamill::settings::internal {

/// Reads all fields but name and team.
void readServiceFields(ObjectReader &reader, ServiceView &service,
                       Faults &faults);

} // namespace magnoliamill::settings::internal
