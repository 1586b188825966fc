// Reads the daemon's settings file and detects changes to it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace magnoliamill {

/// Identifies one state of a file, so that a change can be detected.
struct FileStamp {
  std::int64_t ModifiedNs = 0;
  std::int64_t Size = 0;
  std::uint64_t Inode = 0;
  bool operator==(const FileStamp &) const = default;
};

/// Returns an all-zero stamp when the file cannot be examined.
FileStamp readFileStamp(const std::string &path);
/// Returns the whole content, or nothing when the file cannot be opened.
std::optional<std::string> readSettingsFile(const std::string &path);

} // namespace magnoliamill
