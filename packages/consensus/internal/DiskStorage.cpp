// Storage in a folder on disk, and storage that stores nothing.
#include "consensus/internal/DiskStorage.h"

#include "consensus/internal/LogRecords.h"

#include <cerrno>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace magnoliamill::consensus::internal {

namespace {

constexpr std::string_view IncarnationFile = "incarnation";
constexpr std::string_view SnapshotFile = "snapshot";
constexpr std::string_view LogFile = "log";

/// The first frame of each file names the kind of file and the format version.
std::string makeFileHeader(std::string_view name) {
  return makeFrame("magnoliamill " + std::string(name) + " 1", 0);
}

void addFrame(std::string &content, std::string_view payload) {
  content += makeFrame(payload, content.size());
}

bool hasFileHeader(const ScannedFile &file, std::string_view name) {
  return !file.Payloads.empty() &&
         file.Payloads[0] == "magnoliamill " + std::string(name) + " 1";
}

auto failDamaged(base::ResultCode code, const std::filesystem::path &path) {
  return base::fail(code, path.string() +
                              " is damaged; nothing was changed. Move the "
                              "folder away to start as a new replica");
}

/// Drops the entries that the snapshot covers. Later entries are kept only if
/// the log contains the last entry of the snapshot or starts right after it.
/// Otherwise they are left over from a crash between the writes of the two
/// files and are dropped too. Returns false if entries are missing between the
/// snapshot and the log.
bool trimToSnapshot(DurableState &state) {
  auto &entries = state.Entries;
  if (entries.empty())
    return true;
  const LogIndex first = entries.front().Index;
  if (first > state.SnapshotIndex)
    return first == state.SnapshotIndex + 1;
  const LogIndex offset = state.SnapshotIndex - first;
  const bool same =
      offset < entries.size() && entries[offset].Term == state.SnapshotTerm;
  const auto end =
      same ? entries.begin() + static_cast<std::ptrdiff_t>(offset) + 1
           : entries.end();
  entries.erase(entries.begin(), end);
  return true;
}

} // namespace

base::Result<OpenedStorage>
DiskStorage::open(const std::filesystem::path &folder,
                  std::uint64_t NewIncarnation) {
  std::error_code ec;
  std::filesystem::create_directories(folder, ec);
  if (ec)
    return base::fail(base::ResultCode::StorageFailed,
                      "cannot create " + folder.string() + ": " + ec.message());
  std::unique_ptr<DiskStorage> store(new DiskStorage(folder));
  if (auto locked = store->lock(); !locked)
    return base::fail(locked.error());
  OpenedStorage out;
  out.IsNew = !std::filesystem::exists(store->pathOf(IncarnationFile));
  auto number =
      out.IsNew ? store->create(NewIncarnation) : store->readIncarnation();
  if (!number)
    return base::fail(number.error());
  out.Incarnation = number.value();
  if (auto read = store->readSnapshot(out.Restored); !read)
    return base::fail(read.error());
  const auto loaded = store->readLog(out.Restored);
  if (!loaded)
    return base::fail(loaded.error());
  // After a crash between the writes of the snapshot and the log, the log is
  // rewritten now, because new entries would not follow its old ones.
  auto opened = loaded.value().IsOutdated
                    ? store->replaceLog(out.Restored)
                    : store->openLog(loaded.value().IntactSize);
  if (!opened)
    return base::fail(opened.error());
  store->Term = out.Restored.Term;
  store->VotedFor = out.Restored.VotedFor;
  out.Store = std::move(store);
  return out;
}

base::Result<void> DiskStorage::lock() {
  Lock = FileHandle(::open(Folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!Lock.isOpen() || ::flock(Lock.get(), LOCK_EX | LOCK_NB) != 0)
    return base::fail(describeErrno("cannot lock", Folder));
  return base::ok();
}

base::Result<std::uint64_t> DiskStorage::create(std::uint64_t Incarnation) {
  // A crash during the creation of the folder leaves at most an empty log.
  const auto log = pathOf(LogFile);
  if (std::filesystem::exists(pathOf(SnapshotFile)))
    return failDamaged(base::ResultCode::SnapshotDamaged,
                       pathOf(IncarnationFile));
  if (std::filesystem::exists(log)) {
    const auto content = readWholeFile(log);
    if (!content || content.value() != makeFileHeader(LogFile))
      return failDamaged(base::ResultCode::LogDamaged, pathOf(IncarnationFile));
  }
  if (auto made = replaceFile(log, makeFileHeader(LogFile)); !made)
    return base::fail(made.error());
  std::string content = makeFileHeader(IncarnationFile);
  addFrame(content, std::to_string(Incarnation));
  if (auto made = replaceFile(pathOf(IncarnationFile), content); !made)
    return base::fail(made.error());
  if (auto synced =
          syncFolder(Folder.parent_path().empty() ? std::filesystem::path(".")
                                                  : Folder.parent_path());
      !synced)
    return base::fail(synced.error());
  return Incarnation;
}

base::Result<std::uint64_t> DiskStorage::readIncarnation() const {
  const auto path = pathOf(IncarnationFile);
  const auto content = readWholeFile(path);
  if (!content)
    return base::fail(content.error());
  const ScannedFile file = scanFrames(content.value());
  if (file.IsDamaged || file.HasTornTail || file.Payloads.size() != 2 ||
      !hasFileHeader(file, IncarnationFile))
    return failDamaged(base::ResultCode::LogDamaged, path);
  return std::stoull(file.Payloads[1]);
}

base::Result<void> DiskStorage::readSnapshot(DurableState &state) const {
  const auto path = pathOf(SnapshotFile);
  if (!std::filesystem::exists(path))
    return base::ok();
  const auto content = readWholeFile(path);
  if (!content)
    return base::fail(content.error());
  ScannedFile file = scanFrames(content.value());
  // The file was synced before it was renamed, so even its last frame must be
  // complete.
  if (file.IsDamaged || file.HasTornTail || file.Payloads.size() != 3 ||
      !hasFileHeader(file, SnapshotFile) ||
      !decodeSnapshotHeader(file.Payloads[1], state))
    return failDamaged(base::ResultCode::SnapshotDamaged, path);
  state.SnapshotData = std::move(file.Payloads[2]);
  return base::ok();
}

base::Result<DiskStorage::LoadedLog>
DiskStorage::readLog(DurableState &state) const {
  const auto path = pathOf(LogFile);
  const auto content = readWholeFile(path);
  if (!content)
    return failDamaged(base::ResultCode::LogDamaged, path);
  const ScannedFile file = scanFrames(content.value());
  if (file.IsDamaged || !hasFileHeader(file, LogFile))
    return failDamaged(base::ResultCode::LogDamaged, path);
  for (std::size_t n = 1; n < file.Payloads.size(); ++n)
    if (!applyRecords(file.Payloads[n], state))
      return failDamaged(base::ResultCode::LogDamaged, path);
  const std::size_t count = state.Entries.size();
  if (!trimToSnapshot(state))
    return failDamaged(base::ResultCode::LogDamaged, path);
  return LoadedLog{file.IntactSize, state.Entries.size() != count};
}

base::Result<void> DiskStorage::openLog(std::uint64_t IntactSize) {
  const auto path = pathOf(LogFile);
  Log = FileHandle(::open(path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC));
  if (!Log.isOpen())
    return base::fail(describeErrno("cannot open", path));
  struct stat info = {};
  if (::fstat(Log.get(), &info) != 0)
    return base::fail(describeErrno("cannot stat", path));
  LogSize = IntactSize;
  MayHaveTail = false;
  if (static_cast<std::uint64_t>(info.st_size) == IntactSize)
    return base::ok();
  if (::ftruncate(Log.get(), static_cast<off_t>(IntactSize)) != 0)
    return base::fail(describeErrno("cannot cut", path));
  return Log.sync();
}

base::Result<void> DiskStorage::write(const PersistRequest &request) {
  if (auto usable = checkUsable(); !usable)
    return usable;
  const bool empty = request.Term == Term && request.VotedFor == VotedFor &&
                     !request.TruncateAfter && request.Append.empty() &&
                     !request.InstallSnapshot;
  if (empty)
    return base::ok();
  if (auto cut = cutTail(); !cut)
    return cut;
  auto done =
      request.InstallSnapshot ? installSnapshot(request) : appendFrame(request);
  if (!done)
    return noteFailure(std::move(done));
  Term = request.Term;
  VotedFor = request.VotedFor;
  return done;
}

base::Result<void>
DiskStorage::writeSnapshot(const PersistRequest::Snapshot &snapshot) {
  PersistRequest request;
  request.Term = Term;
  request.VotedFor = VotedFor;
  request.InstallSnapshot = snapshot;
  return write(request);
}

base::Result<void> DiskStorage::appendFrame(const PersistRequest &request) {
  std::string records;
  encodeRecords(request, records);
  const std::string frame = makeFrame(records, LogSize);
  MayHaveTail = true;
  if (auto written = Log.writeAll(frame); !written)
    return written;
  if (auto synced = Log.sync(); !synced)
    return synced;
  LogSize += frame.size();
  MayHaveTail = false;
  return base::ok();
}

base::Result<void> DiskStorage::cutTail() {
  if (!MayHaveTail)
    return base::ok();
  if (::ftruncate(Log.get(), static_cast<off_t>(LogSize)) != 0)
    return noteFailure(
        base::fail(describeErrno("cannot cut", pathOf(LogFile))));
  // Synced before the next frame is written: after a power loss, a mixture of
  // the two could not be told from damage.
  if (auto synced = Log.sync(); !synced)
    return noteFailure(std::move(synced));
  MayHaveTail = false;
  return base::ok();
}

base::Result<void> DiskStorage::noteFailure(base::Result<void> failure) {
  HasFailed = failure.error().Code != base::ResultCode::StorageFull;
  return failure;
}

base::Result<void> DiskStorage::installSnapshot(const PersistRequest &request) {
  const auto &snapshot = *request.InstallSnapshot;
  std::string content = makeFileHeader(SnapshotFile);
  addFrame(content, encodeSnapshotHeader(snapshot));
  addFrame(content, snapshot.Data);
  // The snapshot is written before the log: after a crash in between, readLog
  // drops the entries that the snapshot covers or contradicts.
  if (auto made = replaceFile(pathOf(SnapshotFile), content); !made)
    return made;
  DurableState state;
  state.SnapshotIndex = snapshot.Index;
  state.SnapshotTerm = snapshot.Term;
  if (auto read = readLog(state); !read)
    return base::fail(read.error());
  std::string records;
  encodeRecords(request, records);
  if (!applyRecords(records, state) || !trimToSnapshot(state))
    return base::fail(base::ResultCode::StorageFailed,
                      "a write request does not match the log");
  return replaceLog(state);
}

base::Result<void> DiskStorage::replaceLog(const DurableState &state) {
  PersistRequest whole;
  whole.Term = state.Term;
  whole.VotedFor = state.VotedFor;
  whole.Append = state.Entries;
  std::string records;
  encodeRecords(whole, records);
  std::string content = makeFileHeader(LogFile);
  addFrame(content, records);
  if (auto made = replaceFile(pathOf(LogFile), content); !made)
    return made;
  return openLog(content.size());
}

base::Result<void> DiskStorage::checkUsable() const {
  if (HasFailed)
    return base::fail(base::ResultCode::StorageFailed,
                      "an earlier write failed; restart the process");
  return base::ok();
}

} // namespace magnoliamill::consensus::internal

namespace magnoliamill::consensus {

namespace {

class MemoryStorage : public Storage {
public:
  base::Result<void> write(const PersistRequest &) override {
    return base::ok();
  }
  base::Result<void> writeSnapshot(const PersistRequest::Snapshot &) override {
    return base::ok();
  }
};

} // namespace

base::Result<OpenedStorage> openDiskStorage(const std::filesystem::path &folder,
                                            std::uint64_t NewIncarnation) {
  return internal::DiskStorage::open(folder, NewIncarnation);
}

OpenedStorage openMemoryStorage(std::uint64_t NewIncarnation) {
  OpenedStorage out;
  out.Store = std::make_unique<MemoryStorage>();
  out.IsNew = true;
  out.Incarnation = NewIncarnation;
  return out;
}

} // namespace magnoliamill::consensus
