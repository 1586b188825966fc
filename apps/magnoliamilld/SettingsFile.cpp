// Reads the settings file and its modification time, size and inode.
#include "SettingsFile.h"

#include <fstream>
#include <iterator>
#include <sys/stat.h>

namespace magnoliamill {

FileStamp readFileStamp(const std::string &path) {
  struct stat info {};
  if (::stat(path.c_str(), &info) != 0)
    return {};
  constexpr std::int64_t NsPerSecond = 1'000'000'000;
  return {info.st_mtim.tv_sec * NsPerSecond + info.st_mtim.tv_nsec,
          info.st_size, info.st_ino};
}

std::optional<std::string> readSettingsFile(const std::string &path) {
  std::ifstream in(path, std::ios::binary);
  if (!in)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(in), {});
}

} // namespace magnoliamill
