// Files made of frames with checksums. A frame is appended by one call and
// synced before the next one, so only the last frame of a file can be
// incomplete.
//
// Frame: payload length (8 bytes), checksum of the length (8), checksum of the
// payload (8), payload. Both checksums are seeded with the frame's position.
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
  /// True if there is damage that a crash during a write cannot explain.
  bool IsDamaged = false;
};

/// Splits the content of a file into frames. An invalid last frame counts as
/// torn if the file ends within it or if a sector of it was never written.
ScannedFile scanFrames(std::string_view content);

base::Result<std::string> readWholeFile(const std::filesystem::path &path);

/// Replaces the file \p path atomically: writes and syncs a temporary file in
/// the same folder, renames it and syncs the folder. After StorageFull the file
/// is as it was.
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

/// StorageFull if errno says that the disk has no room, otherwise
/// StorageFailed; with \p what, \p path and the text of errno.
base::Error describeErrno(std::string_view what,
                          const std::filesystem::path &path);

} // namespace magnoliamill::consensus::internal
