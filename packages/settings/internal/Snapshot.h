// Serializes the state as JSON.
#pragma once

#include "base/Result.h"
#include "settings/internal/SettingsState.h"

#include <string>
#include <string_view>

namespace magnoliamill::settings::internal {

/// Equal states yield equal texts.
std::string writeSnapshot(const SettingsState &state);

/// Fails with SnapshotDamaged when \p text is malformed or any value is
/// invalid.
base::Result<SettingsState> readSnapshot(std::string_view text,
                                         StateLimits limits);

} // namespace magnoliamill::settings::internal
