// Real daemons and fake targets on loopback, for tests that kill and freeze
// them. Waits are on conditions.
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
  /// Address on loopback that it listens at for peers and connects from.
  std::string PeerHost = "127.0.0.1";
};

struct TargetPlan {
  std::string Name;
  std::string Service;
  std::string DataCentre;
  std::vector<std::string> Flags;
};

/// One run of a request as a target recorded it.
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
  /// 0 when the target did not live to its end.
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
  /// Where the other VMs reach \p vm from now on; call before bootstrap. Lets a
  /// relay stand between.
  void setAdvertisedPeerPort(const std::string &vm, std::uint16_t port);
  std::uint16_t peerPort(const std::string &vm) const;
  std::filesystem::path folder() const { return Folder; }
  std::filesystem::path dataFolder(const std::string &vm) const;

  /// Creates the team "roads" and sets values in its subtree; path behind
  /// /teams/roads. Returns the HTTP answer.
  void createTeam();
  HttpAnswer set(const std::string &vm, const std::string &path,
                 const std::string &value, std::uint64_t expected,
                 const std::string &change);
  HttpAnswer get(const std::string &vm, const std::string &path);
  HttpAnswer api(const std::string &vm, const std::string &path);

  HttpAnswer
  request(const std::string &vm, const std::string &method,
          const std::string &service, const std::string &path,
          const HttpHeaders &headers,
          std::chrono::milliseconds limit = std::chrono::seconds(10));
  /// What all targets ran so far.
  std::vector<RunRecord> runs() const;
  /// The VM that leads the data centre's group ("data_centre_group") or the
  /// settings group ("settings_group"), empty when none is known.
  std::string leaderOf(const std::string &group, const std::string &asked);

  static const std::string AdminToken;
  static const std::string TeamToken;

private:
  struct Ports {
    std::uint16_t Peer = 0;
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

/// Polls until \p condition holds; throws with \p what after \p limit.
void waitUntil(const std::string &what, const std::function<bool()> &condition,
               std::chrono::milliseconds limit = std::chrono::seconds(30));

} // namespace magnoliamill::tests
