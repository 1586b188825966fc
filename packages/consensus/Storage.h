// Where a replica keeps its log, vote and term.
#pragma once

#include "base/Result.h"
#include "consensus/ReplicaCore.h"

#include <filesystem>
#include <memory>

namespace magnoliamill::consensus {

/// Used from one thread (the storage duty). Implementations: a folder on disk,
/// and memory for replicas on VMs without a disk.
class Storage {
public:
  virtual ~Storage() = default;
  /// Returns only after the request is synced (file and folder).
  virtual base::Result<void> write(const PersistRequest &request) = 0;
  /// Writes a snapshot of the state machine and cuts the log below it.
  virtual base::Result<void>
  writeSnapshot(const PersistRequest::Snapshot &snapshot) = 0;
};

struct OpenedStorage {
  std::unique_ptr<Storage> Store;
  DurableState Restored;
  /// True when the folder was empty: the replica has no memory of any vote.
  bool IsNew = false;
  /// Counts the lives of the folder: a new folder gets a new incarnation.
  std::uint64_t Incarnation = 0;
};

// A founding replica of a new group first writes a snapshot with index 0 that
// holds the start membership, and puts the same into Restored.Members; all
// others start with an empty membership and are added as learners.

/// Opens or creates the folder. A torn tail is cut; damage before the end is
/// LogDamaged or SnapshotDamaged and nothing is changed.
/// \p NewIncarnation is used when the folder is new.
base::Result<OpenedStorage> openDiskStorage(const std::filesystem::path &folder,
                                            std::uint64_t NewIncarnation);

/// Storage of a replica without a disk: it keeps nothing.
OpenedStorage openMemoryStorage(std::uint64_t NewIncarnation);

} // namespace magnoliamill::consensus
