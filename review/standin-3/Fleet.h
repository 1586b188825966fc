// The project's cores and entries as processes with the command of the deploy
// file and settings as its templates write them, in a folder of their own.
#pragma once

#include "Http.h"
#include "Record.h"
#include "Value.h"

#include <atomic>
#include <filesystem>
#include <map>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

constexpr std::size_t CoreCount = 3;
constexpr std::size_t EntryCount = 2;

class Fleet {
public:
  /// \p program is the path of the daemon; \p folder is created and removed.
  Fleet(std::string program, std::filesystem::path folder, Record &record);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  bool hasStarted() const { return IsStarted; }
  std::vector<Address> controls() const;
  Address client(std::size_t entry) const;
  /// An address for an upstream; \p n counts from 0.
  Address upstream(std::size_t n) const;
  static std::string zoneOf(std::size_t n) { return n % 2 ? "gc-b" : "gc-a"; }
  /// Calls the cores in turn until one answers with \p wanted.
  bool order(const std::string &method, const std::string &target,
             const Value &body, int wanted) const;
  bool isReady(std::size_t entry) const;
  /// How often each process has ended by itself.
  std::map<std::string, int> ends();

private:
  struct Process {
    pid_t Pid = 0;
    int Ends = 0;
    Clock::time_point NextStart;
  };

  std::string host(std::size_t n) const;
  bool choosePort();
  void write(const std::string &name, const std::string &fields) const;
  void writeSettings(bool first) const;
  pid_t start(const std::string &name) const;
  void supervise();

  std::string Program;
  std::filesystem::path Folder;
  Record &Log;
  int Net = 0;
  std::uint16_t Port = 0;
  bool IsStarted = false;
  std::atomic<bool> IsStopping{false};
  std::mutex Mutex;
  std::map<std::string, Process> Processes;
  std::thread Supervisor;
};

} // namespace review
