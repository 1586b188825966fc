// A cluster of real daemons and fake targets on loopback, for tests that kill
// and freeze them.
#pragma once

#include "cluster/ChildProcess.h"
#include "cluster/HttpCall.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace magnoliamill::tests {

struct VmPlan {
  std::string Name;
  std::string DataCentre;
  bool HasDisk = false;
  /// Loopback address on which the VM listens for peers and from which it
  /// connects to them.
  std::string PeerHost = "127.0.0.1";
};

struct TargetPlan {
  std::string Name;
  std::string Service;
  std::string DataCentre;
  std::vector<std::string> Flags;
};

/// One execution of a request as recorded by a target.
struct RunRecord {
  std::string Request;
  std::string Key;
  /// The fencing token that the request carried.
  std::string Token;
  std::string Instance;
  std::string Name;
  std::string Path;
  std::string IdempotencyKey;
  /// CLOCK_MONOTONIC, comparable between the processes of one machine.
  std::int64_t StartUs = 0;
  /// 0 when the target ended before the run did, or the run is still going on.
  std::int64_t EndUs = 0;
};

class LocalCluster {
public:
  /// Peer and HTTP ports are taken from \p port on, two for each VM.
  LocalCluster(std::string name, std::uint16_t port, std::vector<VmPlan> vms);
  ~LocalCluster();

  /// Starts all VMs for the first time and waits until they are ready.
  void bootstrap();
  void startVm(const std::string &vm, bool bootstrap = false);
  void startTarget(const TargetPlan &plan);
  ChildProcess &vm(const std::string &name) { return *Processes.at(name); }
  ChildProcess &target(const std::string &name) { return *Processes.at(name); }
  bool isReady(const std::string &vm);
  std::uint16_t httpPort(const std::string &vm) const;
  /// Sets the peer port at which the other VMs reach \p vm, for example that of
  /// a relay. Call before bootstrap.
  void setAdvertisedPeerPort(const std::string &vm, std::uint16_t port);
  std::uint16_t peerPort(const std::string &vm) const;
  /// Holds the settings files, logs and run records.
  std::filesystem::path folder() const { return Folder; }
  std::filesystem::path dataFolder(const std::string &vm) const;

  /// Creates the team "roads" and waits until it is in force on all VMs.
  void createTeam();
  /// Sets a value in the team's subtree if its version is \p expected; \p path
  /// is relative to /teams/roads and \p change is the change id.
  HttpResponse set(const std::string &vm, const std::string &path,
                   const std::string &value, std::uint64_t expected,
                   const std::string &change);
  /// Reads a value of the team's subtree as administrator.
  HttpResponse get(const std::string &vm, const std::string &path);
  /// GET of /v1 + \p path as administrator, with a time limit of 2 s.
  HttpResponse api(const std::string &vm, const std::string &path);

  HttpResponse
  request(const std::string &vm, const std::string &method,
          const std::string &service, const std::string &path,
          const HttpHeaders &headers,
          std::chrono::milliseconds limit = std::chrono::seconds(10));
  /// All runs that the targets have recorded so far.
  std::vector<RunRecord> runs() const;
  /// The VM that leads the data centre's group ("data_centre_group") or the
  /// settings group ("settings_group") according to the VM \p asked, empty when
  /// none is known.
  std::string leaderOf(const std::string &group, const std::string &asked);

  static const std::string AdminToken;
  static const std::string TeamToken;

private:
  struct Ports {
    std::uint16_t Peer = 0;
    // Peer port that the settings of all VMs name.
    std::uint16_t AdvertisedPeer = 0;
    std::uint16_t Http = 0;
  };
  void writeSettings(const VmPlan &vm) const;
  const VmPlan &plan(const std::string &vm) const;

  std::filesystem::path Folder;
  std::vector<VmPlan> Vms;
  std::map<std::string, Ports> PortsOf;
  std::map<std::string, std::unique_ptr<ChildProcess>> Processes;
};

/// Polls \p condition until it holds; throws std::runtime_error that names
/// \p what after \p limit.
void waitUntil(const std::string &what, const std::function<bool()> &condition,
               std::chrono::milliseconds limit = std::chrono::seconds(30));

} // namespace magnoliamill::tests
