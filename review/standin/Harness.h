// Stand-ins of the review: starts the programs of the deploy file as processes
// on loopback addresses, and plays the operator, upstreams and clients as the
// users' pages describe them. Blocking sockets, one thread for each
// conversation.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;

/// Results of a script.
constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitNotRun = 2;

/// Milliseconds since the start of the program.
std::int64_t now();
std::int64_t wallMs();
void pause(std::int64_t ms);
/// False if TROUBLE=0 is set: the case runs without its disruption.
bool hasTrouble();

/// record.txt: what was sent, answered and run.
class Record {
public:
  explicit Record(const std::string &folder);
  void line(const std::string &text);

private:
  std::mutex Mutex;
  std::ofstream File;
};

struct Message {
  /// Of an answer; 0 if there was none.
  int Status = 0;
  std::string Method;
  std::string Target;
  /// Names in lower case.
  std::map<std::string, std::string> Headers;
  std::string Body;
  std::string header(const std::string &name) const;
};

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// A TCP connection with time limits.
class Connection {
public:
  explicit Connection(int fd) : Fd(fd) {}
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  bool isOpen() const { return Fd >= 0; }
  bool write(const std::string &bytes) const;
  /// Reads a whole message; false if the connection ended or the time is over.
  bool readMessage(Message &message, std::int64_t limit);
  void close();
  /// Closes with a reset.
  void reset();
  int fd() const { return Fd; }

private:
  bool fill(std::int64_t until);

  int Fd;
  std::string Buffer;
};

int connectTo(const std::string &host, int port, std::int64_t limit);
std::string formatRequest(const std::string &method, const std::string &target,
                          const HeaderList &headers, const std::string &body);
/// One request on a connection of its own.
Message call(const std::string &host, int port, const std::string &method,
             const std::string &target, const HeaderList &headers,
             const std::string &body, std::int64_t limit);

struct DeploymentOptions {
  int Cores = 3;
  int Entries = 2;
};

/// The processes of a small deployment. The settings are what the templates of
/// the deploy file give with the values of the site that a case names.
class Deployment {
public:
  Deployment(const DeploymentOptions &options, Record &record);
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  void startCore(int i, bool first);
  void startEntry(int i);
  void signal(const std::string &name, int number);
  /// Sends SIGKILL and waits for the end.
  void kill(const std::string &name);
  /// True if the process has ended by itself; \p status is that of waitpid.
  bool hasEnded(const std::string &name, int &status);
  pid_t pidOf(const std::string &name) const { return Pids.at(name); }
  std::string logOf(const std::string &name) const;

  static std::string coreHost(int i);
  static std::string entryHost(int i);
  int controlPort() const { return BasePort + 1; }
  int clientPort() const { return BasePort + 2; }
  int readyPort() const { return BasePort + 3; }
  const DeploymentOptions &options() const { return Options; }
  bool isReady(int entry) const;
  bool waitUntilReady(std::int64_t limit) const;

  /// A call of the operator or of an upstream, with a CBOR body: tries the
  /// cores in turn, beginning with \p first, until one answers with neither
  /// 5xx nor 408 nor 429.
  Message control(const std::string &method, const std::string &path,
                  const Json &body, int first, std::int64_t limit) const;

private:
  void run(const std::string &name, const Json &settings);
  Json commonSettings(const std::string &name, const std::string &host) const;

  DeploymentOptions Options;
  Record &Log;
  std::string Folder;
  int BasePort = 0;
  std::map<std::string, pid_t> Pids;
};

Json makeRoute(const std::string &name, const std::string &version,
               const std::string &prefix, const std::string &type,
               const std::string &service, int timeout);
Json makeService(const std::string &name, const std::string &version,
                 bool keyed);
Json makeLimits(const std::string &version, std::int64_t bytes);

struct KeyRow {
  std::uint32_t First = 0;
  std::uint32_t Last = 0;
  std::uint64_t Fence = 0;
};

struct UpstreamOptions {
  std::string Id;
  std::string Service;
  std::string Host = "127.0.0.1";
  bool IsKeyed = true;
  std::int64_t WorkMs = 20;
  std::int64_t HeartbeatMs = 1500;
};

/// An upstream as PROTOCOL.md describes it: heartbeats, keys held under a
/// lease, requests run one at a time on a connection.
class Upstream {
public:
  Upstream(UpstreamOptions options, const Deployment &fleet, Record &record);
  ~Upstream();
  Upstream(const Upstream &) = delete;
  Upstream &operator=(const Upstream &) = delete;

  const std::string &id() const { return Options.Id; }
  std::string address() const;
  std::int64_t born() const { return Born; }
  /// What is held now; empty once the lease has run out.
  std::vector<KeyRow> holds() const;
  bool holdsKey(std::uint32_t key) const;
  /// Runs by attempt id.
  std::map<std::string, int> runs() const;
  /// Leaves without reporting "draining": sends DELETE until that is
  /// acknowledged, goes on serving, and sends no more heartbeats of its own.
  /// Returns the time of the acknowledgement; -1 if there was none.
  std::int64_t leave(std::int64_t limit);
  /// The heartbeat that was due, as bytes, without sending it.
  std::string takeHeartbeat();
  void stopHeartbeats() { IsSilent = true; }
  void resumeHeartbeats() { IsSilent = false; }
  /// When requests were run.
  std::vector<std::int64_t> runTimes() const;

private:
  void accept();
  void serve(int fd);
  void heartbeat();
  Json composeHeartbeat();
  void takeAnswer(const Message &answer, std::int64_t sent);

  UpstreamOptions Options;
  const Deployment &Fleet;
  Record &Log;
  int Listener = -1;
  int Port = 0;
  std::int64_t Born = 0;
  std::uint64_t Sequence = 0;
  int NextCore = 0;
  std::atomic<bool> IsEnding{false};
  std::atomic<bool> IsSilent{false};
  mutable std::mutex Mutex;
  std::vector<KeyRow> Held;
  std::vector<KeyRow> Released;
  std::int64_t HeldUntil = 0;
  std::map<std::string, int> Runs;
  std::vector<std::int64_t> RunTimes;
  std::vector<std::thread> Threads;
  std::vector<std::thread> Serving;
};

/// Sends the operator's first call: one keyed service and an unsafe route to
/// it, with the limits of PROTOCOL.md. False if it isn't acknowledged.
bool sendFirstConfig(const Deployment &fleet, Record &record);
/// Sends the items of a call; returns the status of the answer.
int sendItems(const Deployment &fleet, Record &record, const Json &items);
/// Waits until the upstreams together hold all keys.
bool waitUntilHeld(const std::vector<const Upstream *> &upstreams,
                   std::int64_t limit);
HeaderList requestHeaders(const std::string &attempt, std::uint32_t key,
                          int deadline);

/// How long keys have been held by more than one upstream.
class HoldWatch {
public:
  explicit HoldWatch(std::vector<const Upstream *> upstreams);
  /// To be called every few milliseconds.
  void look();
  /// The longest time for which two upstreams held the same key.
  std::int64_t longestMs() const { return Longest; }
  /// The most keys that two upstreams held at the same time.
  std::uint32_t mostKeys() const { return Most; }

private:
  std::vector<const Upstream *> Upstreams;
  /// For each key, since when it has two holders; -1 if it has not.
  std::vector<std::int64_t> Since;
  std::int64_t Longest = 0;
  std::uint32_t Most = 0;
};

} // namespace review
