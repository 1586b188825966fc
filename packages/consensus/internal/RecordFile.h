// Files made of checked frames. A frame is written by one call and synced
// before the next one, so only the last frame of a file can be unsynced.
//
// Frame: payload length (8 bytes), checksum of the header (8), checksum of the
// payload (8), payload. The frame's position goes into both checksums.
#pragma once

#include "base/Result.h"

#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliamill::consensus::internal {

/// The frame for \p payload at byte \p position of its file.
std::string makeFrame(std::string_view payload, std::uint64_t position);

struct ScannedFile {
  std::vector<std::string> Payloads;
  /// Where the intact part ends.
  std::uint64_t IntactSize = 0;
  /// True when an unsynced last frame follows the intact part.
  bool HasTornTail = false;
  /// True when something is wrong that a crash while writing cannot explain.
  bool IsDamaged = false;
};

/// Splits the content of a file into frames. A bad last frame counts as torn if
/// the file ends within it or if a sector of it was never written.
ScannedFile scanFrames(std::string_view content);

base::Result<std::string> readWholeFile(const std::filesystem::path &path);

/// Makes \p content the file \p path: written beside it, synced, renamed, and
/// the folder synced.
base::Result<void> replaceFile(const std::filesystem::path &path,
                               std::string_view content);

base::Result<void> syncFolder(const std::filesystem::path &folder);

/// An open file descriptor.
class FileHandle {
public:
  FileHandle() = default;
  explicit FileHandle(int descriptor) : Descriptor(descriptor) {}
  FileHandle(FileHandle &&other) noexcept;
  FileHandle &operator=(FileHandle &&other) noexcept;
  ~FileHandle();

  int get() const { return Descriptor; }
  bool isOpen() const { return Descriptor >= 0; }
  base::Result<void> writeAll(std::string_view bytes) const;
  base::Result<void> sync() const;

private:
  int Descriptor = -1;
};

/// StorageFailed with the text of errno.
base::Error describeErrno(std::string_view what,
                          const std::filesystem::path &path);

} // namespace magnoliamill::consensus::internal
