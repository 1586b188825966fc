// Stores a replica's log, term and vote, on disk or not at all.
#pragma once

#include "base/Result.h"
#include "consensus/ReplicaCore.h"

#include <filesystem>
#include <memory>

namespace magnoliamill::consensus {

/// Used from one thread (the storage duty). Implementations: a folder on disk,
/// and one that stores nothing, for replicas on VMs without a disk.
class Storage {
public:
  virtual ~Storage() = default;
  /// Returns only after the request is synced (file and folder). Fails with
  /// StorageFull if the disk has no room: the same request must be written
  /// again before any other. Fails with StorageFailed otherwise; on disk, every
  /// later write then fails too.
  virtual base::Result<void> write(const PersistRequest &request) = 0;
  /// Writes a snapshot of the state machine and drops the log entries that it
  /// covers.
  virtual base::Result<void>
  writeSnapshot(const PersistRequest::Snapshot &snapshot) = 0;
};

struct OpenedStorage {
  std::unique_ptr<Storage> Store;
  DurableState Restored;
  /// True when the folder was new, so that earlier votes are not known.
  bool IsNew = false;
  /// The incarnation stored in the folder; a new folder gets a new one.
  std::uint64_t Incarnation = 0;
};

// An initial replica of a new group first writes a snapshot with index 0 that
// holds the initial membership, and sets Restored.Members to the same. All
// other replicas start with an empty membership and are added as learners.

/// Opens or creates the folder. An incompletely written frame at the end of the
/// log is truncated. Any other damage fails with LogDamaged or SnapshotDamaged
/// and leaves the files unchanged; I/O errors fail with StorageFailed or
/// StorageFull.
/// \p NewIncarnation is used when the folder is new.
base::Result<OpenedStorage> openDiskStorage(const std::filesystem::path &folder,
                                            std::uint64_t NewIncarnation);

/// Storage of a replica without a disk, which stores nothing.
OpenedStorage openMemoryStorage(std::uint64_t NewIncarnation);

} // namespace magnoliamill::consensus
