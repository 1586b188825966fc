// Storage in a folder with these files:
//   incarnation  written last when the folder is created
//   snapshot     a header frame and a data frame; always replaced as a whole
//   log          frames of records; appended to, and replaced as a whole when a
//                snapshot covers its first entries
// Truncation is a record of its own, so a log file is never overwritten in
// place.
#pragma once

#include "consensus/Storage.h"
#include "consensus/internal/RecordFile.h"

namespace magnoliamill::consensus::internal {

class DiskStorage : public Storage {
public:
  static base::Result<OpenedStorage> open(const std::filesystem::path &folder,
                                          std::uint64_t NewIncarnation);

  base::Result<void> write(const PersistRequest &request) override;
  base::Result<void>
  writeSnapshot(const PersistRequest::Snapshot &snapshot) override;

private:
  explicit DiskStorage(std::filesystem::path folder)
      : Folder(std::move(folder)) {}

  base::Result<void> lock();
  base::Result<std::uint64_t> create(std::uint64_t Incarnation);
  base::Result<std::uint64_t> readIncarnation() const;
  base::Result<void> readSnapshot(DurableState &state) const;
  struct LoadedLog {
    std::uint64_t IntactSize = 0;
    /// True when the file has entries that the snapshot covers or contradicts.
    bool IsOutdated = false;
  };
  base::Result<LoadedLog> readLog(DurableState &state) const;
  base::Result<void> openLog(std::uint64_t IntactSize);
  base::Result<void> appendFrame(const PersistRequest &request);
  base::Result<void> installSnapshot(const PersistRequest &request);
  base::Result<void> replaceLog(const DurableState &state);
  /// Removes what a write that was refused has left behind the intact frames.
  base::Result<void> cutTail();
  /// Refuses all later writes unless the disk was full.
  base::Result<void> noteFailure(base::Result<void> failure);
  base::Result<void> checkUsable() const;
  std::filesystem::path pathOf(std::string_view name) const {
    return Folder / name;
  }

  std::filesystem::path Folder;
  // Locked while the storage is open, so that one process uses the folder.
  FileHandle Lock;
  FileHandle Log;
  std::uint64_t LogSize = 0;
  // The term and vote that were last written.
  TermNumber Term = 0;
  std::optional<ReplicaId> VotedFor;
  // True if bytes may follow the first LogSize ones, a part of a frame.
  bool MayHaveTail = false;
  // After a failed write or sync the contents of the disk are unknown, unless
  // it was refused for lack of room.
  bool HasFailed = false;
};

} // namespace magnoliamill::consensus::internal
