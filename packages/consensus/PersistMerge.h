// Merges write requests that wait for the storage, so that one sync serves all
// of them.
#pragma once

#include "consensus/ReplicaCore.h"

namespace magnoliamill::consensus {

/// Adds \p later to \p earlier, which is not being written yet; the result has
/// the effect of both in turn, and the number of the later one. Returns false,
/// and changes nothing, if one of them installs a snapshot.
bool mergePersistRequests(PersistRequest &earlier, const PersistRequest &later);

} // namespace magnoliamill::consensus
