// Tests what the storage restores after crashes and from damaged files.
#include "consensus/Storage.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <sstream>
#include <sys/resource.h>
#include <unistd.h>

using namespace magnoliamill;
using namespace magnoliamill::consensus;
namespace fs = std::filesystem;

namespace {

/// A folder that is removed at the end of the test.
class TestFolder {
public:
  TestFolder() {
    static std::atomic<int> Count{0};
    Path = fs::temp_directory_path() /
           ("mill-storage-" + std::to_string(::getpid()) + "-" +
            std::to_string(++Count));
    fs::remove_all(Path);
  }
  ~TestFolder() { fs::remove_all(Path); }
  TestFolder(const TestFolder &) = delete;
  TestFolder &operator=(const TestFolder &) = delete;

  fs::path Path;
};

std::string readFile(const fs::path &path) {
  std::ifstream in(path, std::ios::binary);
  std::stringstream out;
  out << in.rdbuf();
  return out.str();
}

void writeFile(const fs::path &path, const std::string &content) {
  std::ofstream(path, std::ios::binary | std::ios::trunc) << content;
}

PersistRequest makeRequest(TermNumber term, LogIndex first, LogIndex last) {
  PersistRequest request;
  request.Term = term;
  request.VotedFor = ReplicaId{base::VmId("a"), 4};
  for (LogIndex n = first; n <= last; ++n)
    request.Append.push_back(
        {n, term, EntryKind::Command, "command " + std::to_string(n)});
  return request;
}

/// While it exists, no file of this process grows beyond \p size bytes.
class FullDisk {
public:
  explicit FullDisk(std::uintmax_t size) {
    std::signal(SIGXFSZ, SIG_IGN);
    ::getrlimit(RLIMIT_FSIZE, &Former);
    const rlimit limit{size, Former.rlim_max};
    ::setrlimit(RLIMIT_FSIZE, &limit);
  }
  ~FullDisk() { ::setrlimit(RLIMIT_FSIZE, &Former); }
  FullDisk(const FullDisk &) = delete;
  FullDisk &operator=(const FullDisk &) = delete;

private:
  rlimit Former{};
};

base::ResultCode codeOf(const fs::path &folder) {
  const auto opened = openDiskStorage(folder, 9);
  return opened ? base::ResultCode::Ok : opened.error().Code;
}

} // namespace

TEST_CASE("Storage on disk", "[consensus]") {
  TestFolder folder;
  const fs::path log = folder.Path / "log";
  const auto reopen = [&] { return openDiskStorage(folder.Path, 9).value(); };

  SECTION("is new once, and keeps its incarnation") {
    REQUIRE(reopen().IsNew);
    const OpenedStorage again = openDiskStorage(folder.Path, 33).value();
    REQUIRE_FALSE(again.IsNew);
    REQUIRE(again.Incarnation == 9);
    REQUIRE(codeOf(folder.Path) == base::ResultCode::StorageFailed);
  }

  std::vector<std::uint64_t> ends;
  {
    OpenedStorage store = reopen();
    for (LogIndex n = 1; n <= 5; ++n) {
      ends.push_back(fs::file_size(log));
      REQUIRE(store.Store->write(makeRequest(n, 2 * n - 1, 2 * n)));
    }
    ends.push_back(fs::file_size(log));
  }

  SECTION("restores term, vote and entries") {
    const DurableState state = reopen().Restored;
    REQUIRE(state.Term == 5);
    REQUIRE(state.VotedFor == ReplicaId{base::VmId("a"), 4});
    REQUIRE(state.Entries.size() == 10);
    REQUIRE(state.Entries.back() == makeRequest(5, 10, 10).Append[0]);
  }
  SECTION("truncates a torn tail at every byte and accepts new writes") {
    const std::string whole = readFile(log);
    for (std::size_t size = ends[0]; size < whole.size(); ++size) {
      writeFile(log, whole.substr(0, size));
      const auto frames = static_cast<std::size_t>(
          std::upper_bound(ends.begin(), ends.end(), size) - ends.begin() - 1);
      {
        OpenedStorage store = reopen();
        REQUIRE(store.Restored.Entries.size() == 2 * frames);
        const LogIndex next = 2 * frames + 1;
        REQUIRE(store.Store->write(makeRequest(7, next, next)));
      }
      REQUIRE(reopen().Restored.Entries.size() == 2 * frames + 1);
    }
  }
  SECTION("truncates a tail that was never written to the disk") {
    std::string content = readFile(log);
    content.replace(ends[4], content.size() - ends[4], content.size() - ends[4],
                    '\0');
    writeFile(log, content);
    REQUIRE(reopen().Restored.Entries.size() == 8);
  }
  SECTION("refuses a flipped byte anywhere and changes nothing") {
    const std::string whole = readFile(log);
    for (std::size_t at = 0; at < whole.size(); ++at) {
      std::string content = whole;
      content[at] = static_cast<char>(content[at] ^ 0x10);
      writeFile(log, content);
      REQUIRE(codeOf(folder.Path) == base::ResultCode::LogDamaged);
      REQUIRE(readFile(log) == content);
    }
  }
  SECTION("refuses a missing log") {
    fs::remove(log);
    REQUIRE(codeOf(folder.Path) == base::ResultCode::LogDamaged);
    REQUIRE_FALSE(fs::exists(log));
  }
  SECTION("truncates by a record") {
    PersistRequest request = makeRequest(6, 8, 8);
    request.TruncateAfter = 7;
    REQUIRE(reopen().Store->write(request));
    const auto entries = reopen().Restored.Entries;
    REQUIRE(entries.size() == 8);
    REQUIRE(entries.back().Term == 6);
  }
  SECTION("stores a snapshot and drops the entries that it covers") {
    const std::string old = readFile(log);
    const Membership members{{{base::VmId("a"), 4}}, {}};
    REQUIRE(reopen().Store->writeSnapshot({6, 3, members, "state"}));
    {
      OpenedStorage store = reopen();
      REQUIRE(store.Restored.SnapshotIndex == 6);
      REQUIRE(store.Restored.SnapshotData == "state");
      REQUIRE(store.Restored.Members == members);
      REQUIRE(store.Restored.Term == 5);
      REQUIRE(store.Restored.Entries.size() == 4);
      REQUIRE(store.Store->write(makeRequest(8, 11, 11)));
    }
    REQUIRE(reopen().Restored.Entries.size() == 5);

    SECTION("also after a crash before the log was rewritten") {
      writeFile(log, old);
      REQUIRE(reopen().Restored.Entries.size() == 4);
      REQUIRE(fs::file_size(log) < old.size());
    }
    SECTION("and refuses a damaged snapshot") {
      const fs::path path = folder.Path / "snapshot";
      const std::string whole = readFile(path);
      for (std::size_t at = 0; at < whole.size(); ++at) {
        std::string content = whole;
        content[at] = static_cast<char>(content[at] ^ 0x10);
        writeFile(path, content);
        REQUIRE(codeOf(folder.Path) == base::ResultCode::SnapshotDamaged);
      }
      writeFile(path, whole.substr(0, whole.size() - 1));
      REQUIRE(codeOf(folder.Path) == base::ResultCode::SnapshotDamaged);
    }
  }
  SECTION("replaces a log that contradicts the leader's snapshot") {
    const std::string old = readFile(log);
    PersistRequest request = makeRequest(9, 21, 21);
    request.TruncateAfter = 20;
    request.InstallSnapshot = PersistRequest::Snapshot{20, 8, {}, "other"};
    REQUIRE(reopen().Store->write(request));
    REQUIRE(reopen().Restored.Entries.size() == 1);

    SECTION("and a crash between the two files leaves only the snapshot") {
      writeFile(log, old);
      {
        OpenedStorage store = reopen();
        REQUIRE(store.Restored.Entries.empty());
        REQUIRE(store.Store->write(makeRequest(9, 21, 22)));
      }
      REQUIRE(reopen().Restored.Entries.size() == 2);
    }
  }
}

TEST_CASE("Storage in memory keeps nothing", "[consensus]") {
  const OpenedStorage store = openMemoryStorage(12);
  REQUIRE(store.IsNew);
  REQUIRE(store.Incarnation == 12);
  REQUIRE(store.Store->write(makeRequest(1, 1, 1)));
}

TEST_CASE("A disk that was full refuses all later writes, or a torn frame is "
          "followed by another",
          "[consensus]") {
  TestFolder folder;
  const fs::path log = folder.Path / "log";
  auto opened = openDiskStorage(folder.Path, 9).value();
  REQUIRE(opened.Store->write(makeRequest(1, 1, 2)));
  const auto size = fs::file_size(log);
  const auto request = makeRequest(1, 3, 4);
  const auto refuse = [&](std::uintmax_t room) {
    const FullDisk full(room);
    const auto written = opened.Store->write(request);
    REQUIRE_FALSE(written);
    CHECK(written.error().Code == base::ResultCode::StorageFull);
  };
  const auto CheckReopened = [&](LogIndex last) {
    opened = {};
    opened = openDiskStorage(folder.Path, 9).value();
    const auto &state = opened.Restored;
    CHECK(state.SnapshotIndex + state.Entries.size() == last);
  };

  SECTION("at every byte of a frame") {
    refuse(size);
    REQUIRE(opened.Store->write(request));
    const auto frame = fs::file_size(log) - size;
    LogIndex last = 4;
    for (std::uintmax_t n = 0; n < frame; ++n) {
      const auto next = makeRequest(1, last + 1, last + 2);
      const auto before = fs::file_size(log);
      {
        const FullDisk full(before + n);
        REQUIRE_FALSE(opened.Store->write(next));
        REQUIRE_FALSE(opened.Store->write(next));
      }
      REQUIRE(opened.Store->write(next));
      last += 2;
    }
    CheckReopened(last);
  }
  SECTION("and the process ends before there is room again") {
    refuse(size + 30);
    CheckReopened(2);
    REQUIRE(opened.Store->write(request));
    CheckReopened(4);
  }
  SECTION("while a snapshot is written") {
    PersistRequest::Snapshot snapshot{2, 1, {}, std::string(4096, 's')};
    {
      const FullDisk full(size + 30);
      REQUIRE_FALSE(opened.Store->writeSnapshot(snapshot));
      CHECK_FALSE(fs::exists(folder.Path / "snapshot.tmp"));
    }
    REQUIRE(opened.Store->writeSnapshot(snapshot));
    REQUIRE(opened.Store->write(request));
    CheckReopened(4);
    CHECK(opened.Restored.SnapshotIndex == 2);
  }
  SECTION("while the log is replaced after a snapshot") {
    const auto large = makeRequest(1, 3, 200);
    REQUIRE(opened.Store->write(large));
    PersistRequest::Snapshot snapshot{2, 1, {}, "s"};
    {
      const FullDisk full(size + 100);
      REQUIRE_FALSE(opened.Store->writeSnapshot(snapshot));
      REQUIRE_FALSE(opened.Store->writeSnapshot(snapshot));
    }
    REQUIRE(opened.Store->writeSnapshot(snapshot));
    REQUIRE(opened.Store->write(makeRequest(1, 201, 202)));
    CheckReopened(202);
  }
}
