// Encodes and decodes the contents of the frames of the log file and of the
// snapshot file.
#pragma once

#include "consensus/ReplicaCore.h"

#include <string>
#include <string_view>

namespace magnoliamill::consensus::internal {

/// Appends the records of \p request (without its snapshot) to \p out.
void encodeRecords(const PersistRequest &request, std::string &out);

/// Applies the records of one frame to \p state. Returns false if a record is
/// malformed or does not follow the last entry.
bool applyRecords(std::string_view frame, DurableState &state);

std::string encodeSnapshotHeader(const PersistRequest::Snapshot &snapshot);
bool decodeSnapshotHeader(std::string_view text, DurableState &state);

} // namespace magnoliamill::consensus::internal
