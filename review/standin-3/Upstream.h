// A sound upstream: it sends heartbeats, holds the keys that their answers
// grant for as long as they say, and runs requests for these keys.
#pragma once

#include "Http.h"
#include "Record.h"
#include "Value.h"

#include <array>
#include <atomic>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

constexpr std::uint32_t KeyCount = 65536;
constexpr std::chrono::milliseconds HeartbeatInterval{870};

struct UpstreamConfig {
  std::string Id;
  std::string Service;
  std::string Zone;
  Address At;
  std::vector<Address> Cores;
};

class Upstream {
public:
  Upstream(UpstreamConfig config, Record &record);
  ~Upstream();
  Upstream(const Upstream &) = delete;
  Upstream &operator=(const Upstream &) = delete;

  const UpstreamConfig &config() const { return Config; }
  std::int64_t born() const { return Born; }
  std::int64_t sequence() const { return Sequence; }
  /// The fences of the keys held now; 0 for a key that isn't held.
  std::array<std::int64_t, KeyCount> holds();
  std::size_t countHeld();
  int countRuns() const { return Runs; }

private:
  void sendHeartbeats();
  /// Returns false unless a core has acknowledged the heartbeat.
  bool sendHeartbeat();
  Value describe();
  void applyGrants(const Value &answer, Clock::time_point sent);
  void dropExpired();
  void acceptConnections();
  void serve(Socket connection);
  std::string answer(const HttpMessage &request);

  UpstreamConfig Config;
  Record &Log;
  std::int64_t Born;
  std::atomic<std::int64_t> Sequence{0};
  std::size_t NextCore = 0;
  std::optional<Address> NextAddress;
  std::atomic<int> Runs{0};
  std::atomic<bool> IsStopping{false};
  std::mutex Mutex;
  std::array<std::int64_t, KeyCount> Fences{};
  std::array<std::int64_t, KeyCount> SeenFences{};
  std::array<int, KeyCount> Running{};
  std::vector<std::pair<std::uint32_t, std::uint32_t>> Released;
  Clock::time_point HoldEnd;
  bool IsReleasing = false;
  Socket Listener;
  std::list<std::thread> Threads;
  std::thread Acceptor;
  std::thread Beater;
};

} // namespace review
