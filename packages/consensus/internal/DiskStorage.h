// Storage in a folder. Files:
//   incarnation  written last when the folder is created
//   snapshot     replaced as a whole: a head frame and a data frame
//   log          frames of records; replaced as a whole when a snapshot cuts it
// Truncation is a record of its own, so nothing in a log is ever overwritten.
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
    /// True when the snapshot made records of the file void.
    bool IsOutdated = false;
  };
  base::Result<LoadedLog> readLog(DurableState &state) const;
  base::Result<void> openLog(std::uint64_t IntactSize);
  base::Result<void> appendFrame(const PersistRequest &request);
  base::Result<void> installSnapshot(const PersistRequest &request);
  base::Result<void> replaceLog(const DurableState &state);
  base::Result<void> checkUsable() const;
  std::filesystem::path pathOf(std::string_view name) const {
    return Folder / name;
  }

  std::filesystem::path Folder;
  // Held as long as the storage is open: one process per folder.
  FileHandle Lock;
  FileHandle Log;
  std::uint64_t LogSize = 0;
  // What the log says last.
  TermNumber Term = 0;
  std::optional<ReplicaId> VotedFor;
  // After a failed write or sync nobody knows what is on the disk.
  bool HasFailed = false;
};

} // namespace magnoliamill::consensus::internal
