// Encodes and decodes snapshots of the replicated state.
#pragma once

#include "base/Result.h"
#include "consensus/Types.h"
#include "keyspace/KeyTable.h"
#include "routing/ConfigStore.h"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace magnoliamill::fleet::internal {

struct SnapshotParts {
  routing::ConfigStore Config;
  keyspace::KeyTable Keys;
  std::map<keyspace::TargetInstance, consensus::LogIndex> Departures;
  /// Data centres that are evacuated.
  std::set<std::string> Evacuations;
};

std::string encodeSnapshot(const SnapshotParts &parts);
/// Error: SnapshotDamaged when \p bytes are malformed.
base::Result<SnapshotParts> decodeSnapshot(std::string_view bytes);

} // namespace magnoliamill::fleet::internal
