// A target as the platform's pages describe it: sends heartbeats, holds what
// the answers grant, runs requests on keys that it holds, and records what ran.
#pragma once

#include "base/EventLoopThread.h"
#include "gateway/HttpServer.h"
#include "gateway/TargetClient.h"
#include "keyspace/Types.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace magnoliamill::fakes {

struct FakeUpstreamConfig {
  std::string Id;
  std::string Service;
  std::string Host = "127.0.0.1";
  std::uint16_t Port = 0;
  /// Cores' addresses for heartbeats.
  std::vector<gateway::TargetAddress> Cores;
  /// Between heartbeats; tests set the daemons' interval to the same.
  base::Duration Interval = std::chrono::milliseconds(300);
};

/// Runs on a duty of its own. The getters may be called from any thread.
class FakeUpstream {
public:
  explicit FakeUpstream(FakeUpstreamConfig config);
  ~FakeUpstream();

  /// Reports itself as leaving from the next heartbeat on.
  void drain();
  /// True once a heartbeat that said so was acknowledged.
  bool isDrainAcknowledged() const;
  /// Falls silent: no heartbeats, no answers.
  void crash();

  /// How often each client attempt was run.
  std::map<std::string, int> runs() const;
  /// Keys held at present.
  std::size_t countKeys() const;
  std::vector<keyspace::HeldRange> holds() const;

private:
  using HttpCall = gateway::HttpCall;

  protocol::CancelHook serve(const HttpCall &call,
                             const protocol::AnswerSink &sink);
  void sendHeartbeat();
  void scheduleHeartbeat(base::Duration delay);
  std::string composeHeartbeat();
  void applyGrants(const std::string &answer, base::MonoTime sent);
  bool holdsKey(std::uint32_t key) const;

  FakeUpstreamConfig Config;
  base::EventLoopThread EventLoop;
  std::unique_ptr<gateway::TargetClient> Client;
  std::shared_ptr<gateway::HttpServer> Server;
  boost::asio::steady_timer Timer;
  std::uint64_t StartedAtMs = 0;
  std::uint64_t Sequence = 0;
  std::size_t NextCore = 0;
  bool IsCrashed = false;

  mutable std::mutex Mutex;
  std::vector<keyspace::HeldRange> Held;
  std::vector<keyspace::KeyRange> Released;
  base::MonoTime HoldExpiresAt;
  std::map<std::string, int> Runs;
  bool IsDraining = false;
  bool DrainAcknowledged = false;
};

} // namespace magnoliamill::fakes
