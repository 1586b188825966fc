// The state as one JSON text.
#pragma once

#include "base/Result.h"
#include "settings/internal/SettingsState.h"

#include <string>
#include <string_view>

namespace magnoliamill::settings::internal {

/// Equal states give equal texts.
std::string writeSnapshot(const SettingsState &state);

/// Fails with SnapshotDamaged when anything in \p text does not fit.
base::Result<SettingsState> readSnapshot(std::string_view text,
                                         StateLimits limits);

} // namespace magnoliamill::settings::internal
