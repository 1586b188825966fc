// Writes and scans frames with checksums, and replaces files atomically.
#include "consensus/internal/RecordFile.h"

#include "base/Hash.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace magnoliamill::consensus::internal {

namespace {

constexpr std::size_t FrameHeaderBytes = 24;
/// The smallest unit that a disk writes atomically.
constexpr std::size_t SectorBytes = 512;
/// A shorter run of zero bytes may be part of a payload.
constexpr std::size_t MinUnwrittenBytes = 16;

void putNumber(std::string &out, std::uint64_t number) {
  for (int shift = 0; shift < 64; shift += 8)
    out.push_back(static_cast<char>(number >> shift & 0xFF));
}

std::uint64_t getNumber(std::string_view bytes, std::size_t at) {
  std::uint64_t out = 0;
  for (std::size_t n = 8; n > 0; --n)
    out = out << 8 | static_cast<unsigned char>(bytes[at + n - 1]);
  return out;
}

/// True if all bytes of [begin, end) within one sector are zero: the file grew,
/// but this part of it was never written to the disk.
bool hasUnwrittenSector(std::string_view content, std::size_t begin,
                        std::size_t end) {
  for (std::size_t at = begin; at < end;) {
    const std::size_t next =
        std::min(end, (at / SectorBytes + 1) * SectorBytes);
    const std::string_view part = content.substr(at, next - at);
    if (part.size() >= std::min(MinUnwrittenBytes, end - begin) &&
        part.find_first_not_of('\0') == std::string_view::npos)
      return true;
    at = next;
  }
  return false;
}

} // namespace

std::string makeFrame(std::string_view payload, std::uint64_t position) {
  std::string out;
  out.reserve(FrameHeaderBytes + payload.size());
  putNumber(out, payload.size());
  putNumber(out, base::hash64(out, position));
  putNumber(out, base::hash64(payload, position));
  out += payload;
  return out;
}

ScannedFile scanFrames(std::string_view content) {
  ScannedFile out;
  while (out.IntactSize < content.size()) {
    const std::size_t at = out.IntactSize;
    const std::size_t left = content.size() - at;
    if (left < FrameHeaderBytes) {
      out.HasTornTail = true;
      return out;
    }
    const std::uint64_t length = getNumber(content, at);
    if (base::hash64(content.substr(at, 8), at) != getNumber(content, at + 8)) {
      // The length cannot be trusted, so this counts as a torn frame only if
      // the rest of the file is all zero or has an unwritten sector too.
      const std::size_t sector =
          std::min(content.size(), (at / SectorBytes + 1) * SectorBytes);
      out.HasTornTail =
          hasUnwrittenSector(content, at, at + FrameHeaderBytes) &&
          (content.substr(at).find_first_not_of('\0') ==
               std::string_view::npos ||
           hasUnwrittenSector(content, sector, content.size()));
      out.IsDamaged = !out.HasTornTail;
      return out;
    }
    if (left - FrameHeaderBytes < length) {
      out.HasTornTail = true;
      return out;
    }
    const std::size_t end = at + FrameHeaderBytes + length;
    const auto payload = content.substr(at + FrameHeaderBytes, length);
    if (base::hash64(payload, at) != getNumber(content, at + 16)) {
      out.HasTornTail =
          end == content.size() && hasUnwrittenSector(content, at, end);
      out.IsDamaged = !out.HasTornTail;
      return out;
    }
    out.Payloads.emplace_back(payload);
    out.IntactSize = end;
  }
  return out;
}

base::Error describeErrno(std::string_view what,
                          const std::filesystem::path &path) {
  const int number = errno;
  const bool IsFull = number == ENOSPC || number == EDQUOT || number == EFBIG;
  return {
      IsFull ? base::ResultCode::StorageFull : base::ResultCode::StorageFailed,
      std::string(what) + " " + path.string() + ": " + std::strerror(number)};
}

base::Result<std::string> readWholeFile(const std::filesystem::path &path) {
  const FileHandle file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (!file.isOpen())
    return base::fail(describeErrno("cannot open", path));
  std::string out;
  std::vector<char> buf(std::size_t{256} * 1024);
  while (true) {
    const ssize_t n = ::read(file.get(), buf.data(), buf.size());
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0)
      return base::fail(describeErrno("cannot read", path));
    if (n == 0)
      return out;
    out.append(buf.data(), static_cast<std::size_t>(n));
  }
}

namespace {

base::Result<void> writeNewFile(const std::filesystem::path &path,
                                std::string_view content) {
  const FileHandle file(
      ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
  if (!file.isOpen())
    return base::fail(describeErrno("cannot create", path));
  if (auto written = file.writeAll(content); !written)
    return written;
  return file.sync();
}

} // namespace

base::Result<void> replaceFile(const std::filesystem::path &path,
                               std::string_view content) {
  std::filesystem::path temp = path;
  temp += ".tmp";
  if (auto written = writeNewFile(temp, content); !written) {
    // A part of a file would use the room that others need.
    ::unlink(temp.c_str());
    return written;
  }
  if (::rename(temp.c_str(), path.c_str()) != 0)
    return base::fail(describeErrno("cannot rename to", path));
  // From here on the file is replaced, so the call may not be repeated.
  if (auto synced = syncFolder(path.parent_path()); !synced)
    return base::fail(base::ResultCode::StorageFailed, synced.error().Message);
  return base::ok();
}

base::Result<void> syncFolder(const std::filesystem::path &folder) {
  const FileHandle handle(
      ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!handle.isOpen())
    return base::fail(describeErrno("cannot open folder", folder));
  return handle.sync();
}

FileHandle::FileHandle(FileHandle &&other) noexcept
    : Descriptor(std::exchange(other.Descriptor, -1)) {}

FileHandle &FileHandle::operator=(FileHandle &&other) noexcept {
  std::swap(Descriptor, other.Descriptor);
  return *this;
}

FileHandle::~FileHandle() {
  if (Descriptor >= 0)
    ::close(Descriptor);
}

base::Result<void> FileHandle::writeAll(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t n = ::write(Descriptor, bytes.data(), bytes.size());
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0)
      return base::fail(describeErrno("cannot write", "file"));
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return base::ok();
}

base::Result<void> FileHandle::sync() const {
  if (::fsync(Descriptor) != 0)
    return base::fail(describeErrno("cannot sync", "file"));
  return base::ok();
}

} // namespace magnoliamill::consensus::internal
