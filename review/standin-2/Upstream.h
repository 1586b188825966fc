// An upstream as PROTOCOL.md describes it: heartbeats, held keys, requests.
#pragma once

#include "Fleet.h"

#include <atomic>

namespace standin {

struct UpstreamConfig {
  std::string Id;
  std::string Service;
  std::string Zone;
  bool IsKeyed = false;
  std::chrono::milliseconds Work{50};
};

class Upstream {
public:
  Upstream(UpstreamConfig config, Fleet &fleet, Record &record);
  ~Upstream();
  Upstream(const Upstream &) = delete;
  Upstream &operator=(const Upstream &) = delete;

  const UpstreamConfig &config() const { return Config; }
  /// Reports "draining" until that is acknowledged, goes on serving for
  /// drain_ms and a little longer, signs off and exits. Returns whether the
  /// report was acknowledged within \p limit.
  bool leave(std::chrono::seconds limit);
  /// The body of a heartbeat. \p zone and \p ahead are those of another writer,
  /// which knows what the upstream says of itself.
  std::string composeHeartbeat(const std::string &zone, std::uint64_t ahead);
  /// Signs off first, sends no more heartbeats and goes on serving. Returns
  /// whether that was acknowledged within \p limit.
  bool signOffFirst(std::chrono::seconds limit);
  /// Ends it after it has signed off.
  void exit() { IsEnding = true; }
  /// The network holds the heartbeat \p number back until deliverLate(); the
  /// upstream gives that call up after a second.
  void holdBack(std::uint64_t number) { HeldBack = number; }
  /// The heartbeat that was held back arrives at \p core. Returns whether there
  /// was one.
  bool deliverLate(std::size_t core);
  /// Returns right after a heartbeat was answered.
  void waitForAnswer();
  /// The core that acted as the leader by the last answer; empty before.
  std::string leader();
  /// Which of all keys it holds, by its own clock.
  std::vector<bool> listKeys();
  bool isUp() const { return !IsEnding; }
  std::size_t countKeys();
  bool holds(std::uint32_t key);
  bool hasBeenAcknowledged() const { return IsKnown; }

private:
  struct Range {
    std::uint64_t First, Last, Fence;
  };

  void accept();
  void serve(Socket socket);
  std::string answer(const Message &request);
  void beat();
  bool sendHeartbeat();
  void applyGrants(const Value &answer, Time sent);

  UpstreamConfig Config;
  Fleet &System;
  Record &Out;
  Socket Listener;
  std::uint16_t Port = 0;
  std::uint64_t Born = 0;
  std::size_t NextCore = 0;
  std::atomic<bool> IsDraining{false};
  std::atomic<bool> IsDrainAcknowledged{false};
  std::atomic<bool> IsKnown{false};
  std::atomic<bool> IsEnding{false};
  std::atomic<bool> IsSilent{false};
  std::atomic<std::uint64_t> HeldBack{0};
  std::mutex Mutex;
  std::uint64_t Sequence = 0;
  std::uint64_t Beats = 0;
  std::string LateBody;
  Time LateSince;
  std::atomic<std::uint64_t> Answers{0};
  std::string Leader;
  std::vector<Range> Held;
  std::vector<Range> Released;
  Time HoldEnd;
  std::thread Acceptor;
  std::thread Heart;
  std::mutex ServersMutex;
  std::vector<std::thread> Servers;
};

} // namespace standin
