// The system's own processes with settings as deploy/entry.json and
// deploy/core.json give them, and the platform that restarts those that end.
#pragma once

#include "Http.h"
#include "Record.h"
#include "Value.h"

#include <filesystem>
#include <map>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace standin {

/// The figures are those of the site bec-gateway.
struct FleetConfig {
  std::string Program;
  std::filesystem::path Folder;
  std::vector<std::string> Zones = {"gc-a", "gc-b", "gc-c", "gc-d"};
  std::size_t Cores = 4;
  std::size_t Entries = 2;
  int EntryMemoryMb = 260;
};

class Fleet {
public:
  Fleet(FleetConfig config, Record &record);
  /// Kills all processes that are left.
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  std::size_t countCores() const { return Config.Cores; }
  const std::string &zone(std::size_t i) const {
    return Config.Zones[i % Config.Zones.size()];
  }
  Address control(std::size_t core) const {
    return {coreHost(core), ControlPort};
  }
  Address front(std::size_t entry) const { return {entryHost(entry), Front}; }
  Address ready(std::size_t entry) const { return {entryHost(entry), Ready}; }

  /// A call by the operator, or by an upstream, to one core after the other
  /// until one answers with a status below 500.
  std::optional<Message> callControl(const std::string &method,
                                     const std::string &path,
                                     const std::string &body,
                                     std::chrono::seconds limit);
  bool waitUntilReady(std::chrono::seconds limit);
  /// Sends SIGTERM to a core; it is started again once it has ended.
  void stopCore(std::size_t core);
  /// The core with this control address.
  std::size_t coreAt(const std::string &address) const;
  /// How often processes have ended by themselves, by the name of the process.
  std::map<std::string, int> ends() const;

private:
  struct Process {
    pid_t Pid = -1;
    Time RestartAt;
    bool IsStopped = false;
  };

  std::string coreHost(std::size_t i) const;
  std::string entryHost(std::size_t i) const;
  bool choosePorts();
  void startCore(std::size_t i, bool first);
  void startEntry(std::size_t i);
  void start(const std::string &name, const std::string &settings);
  /// Restarts processes that have ended, after a short delay.
  void watch();

  FleetConfig Config;
  Record &Out;
  int Net = 0;
  std::uint16_t Link = 0;
  std::uint16_t ControlPort = 0;
  std::uint16_t Front = 0;
  std::uint16_t Ready = 0;
  mutable std::mutex Mutex;
  std::map<std::string, Process> Processes;
  std::map<std::string, int> Ends;
  bool IsStopping = false;
  std::thread Watcher;
};

/// Items of configuration, as PROTOCOL.md lays them out.
Value makeRoute(const std::string &name, std::uint64_t version,
                const std::string &host, const std::string &prefix,
                const std::string &type, int timeout, int objective,
                const std::string &service);
Value makeService(const std::string &name, std::uint64_t version, bool sharded);
Value makeLimits(std::uint64_t version);
/// The body of the call that sets \p items.
std::string makeChange(std::vector<Value> items);

} // namespace standin
