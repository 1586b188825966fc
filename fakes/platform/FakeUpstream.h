// A fake target that follows the platform's protocol: it sends heartbeats,
// holds the keys granted in the answers, runs requests on these keys and counts
// the runs.
#pragma once

#include "base/EventLoopThread.h"
#include "gateway/HttpServer.h"
#include "gateway/TargetClient.h"
#include "keyspace/Types.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace magnoliamill::fakes {

struct FakeUpstreamConfig {
  std::string Id;
  std::string Service;
  std::string Host = "127.0.0.1";
  std::uint16_t Port = 0;
  /// Addresses of the core VMs that receive heartbeats.
  std::vector<gateway::TargetAddress> Cores;
  /// Time between heartbeats; tests configure the daemons with the same
  /// interval.
  base::Duration Interval = std::chrono::milliseconds(300);
  /// How long a request runs.
  base::Duration WorkTime{};
  /// Size of the answers; they begin with the id. 0: the id alone.
  std::size_t AnswerBytes = 0;
  /// Requests for this key get a body without end.
  std::optional<std::uint32_t> EndlessKey = std::nullopt;
  /// Requests for this path, too.
  std::string EndlessPath{};
  /// A request for this path ends the target as soon as it runs.
  std::string EndingPath{};
};

/// Runs on its own event loop thread. The public methods may be called from any
/// thread.
class FakeUpstream {
public:
  explicit FakeUpstream(FakeUpstreamConfig config);
  ~FakeUpstream();

  /// Reports the state "draining" from the next heartbeat on.
  void drain();
  /// True once a heartbeat with the state "draining" was acknowledged.
  bool isDrainAcknowledged() const;
  /// Simulates a crash: sends no more heartbeats and answers no more requests.
  void crash();

  /// Names in its answers the requests per second that it takes from all VMs
  /// together, or none from now on. It serves the others, too.
  void limitRate(std::optional<double> limit);
  /// When each request arrived, also those that were refused.
  std::vector<base::MonoTime> arrivals() const;

  /// True once a request has ended the target: its connections and its listener
  /// are closed, and it sends no more heartbeats.
  bool hasEnded() const;

  /// Number of runs by attempt id.
  std::map<std::string, int> runs() const;
  /// Number of keys held now.
  std::size_t countKeys() const;
  /// Key ranges held now; empty once the hold has expired.
  std::vector<keyspace::HeldRange> holds() const;

private:
  using HttpCall = gateway::HttpCall;

  protocol::CancelHook serve(const HttpCall &call,
                             const protocol::AnswerSink &sink);
  void end();
  void finishRun(const protocol::AnswerSink &sink, const std::string &attempt);
  /// The headers of each answer to \p attempt.
  std::vector<protocol::HttpHeader>
  answerHeaders(const std::string &attempt) const;
  void answerEndlessly(const protocol::AnswerSink &sink,
                       const std::string &attempt);
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
  std::vector<base::MonoTime> Arrivals;
  std::optional<double> RateLimit;
  bool IsDraining = false;
  bool DrainAcknowledged = false;
  bool HasEnded = false;
};

} // namespace magnoliamill::fakes
