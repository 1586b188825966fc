// Test helpers: the links of one VM with configurable handlers, waiting for
// conditions, and a sink that records an answer.
#pragma once

#include "peer/PeerLinks.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace magnoliamill::peer::tests {

/// Polls \p condition for up to 20 s, which is long enough on a busy machine.
inline bool waitFor(const std::function<bool()> &condition) {
  auto end = base::readMonotonic() + std::chrono::seconds(20);
  while (base::readMonotonic() < end) {
    if (condition())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return condition();
}

/// A VM on loopback; the system chooses its port.
class PeerNode {
public:
  explicit PeerNode(const std::string &vm, PeerHandlers handlers = {},
                    std::function<void(PeerConfig &)> adjust = {})
      : Links(makeConfig(vm, adjust), std::move(handlers)), Vm(vm) {}

  PeerAddress address() const { return {Vm, "127.0.0.1", Links.listenPort()}; }
  PeerAddress addressThrough(std::uint16_t port) const {
    return {Vm, "127.0.0.1", port};
  }
  /// Waits until the link to \p peer is up.
  bool connect(const PeerAddress &peer) {
    Links.setPeers({peer});
    return waitFor([&] { return Links.isAlive(peer.Vm); });
  }

  PeerLinks Links;
  const base::VmId Vm;

private:
  static PeerConfig
  makeConfig(const std::string &vm,
             const std::function<void(PeerConfig &)> &adjust) {
    PeerConfig config;
    config.Self = {base::VmId(vm), "127.0.0.1", 0};
    if (adjust)
      adjust(config);
    return config;
  }
};

/// Records one answer. Requests each next chunk immediately, unless reading is
/// paused.
class RecordedAnswer {
public:
  protocol::AnswerSink makeSink() {
    return {[this](auto head) { note([&] { Head = std::move(head); }); },
            [this](auto chunk, auto more) {
              std::function<void()> now;
              note([&] {
                Body += chunk;
                (IsReading ? now : Held) = std::move(more);
              });
              if (now)
                now();
            },
            [this] { note([&] { ++Ends; }); },
            [this](auto failure) {
              note([&] {
                ++Ends;
                Failure = std::move(failure);
              });
            }};
  }
  bool waitForEnd() {
    std::unique_lock lock(Mutex);
    return Changed.wait_for(lock, std::chrono::seconds(60),
                            [this] { return Ends > 0; });
  }
  bool waitForBytes(std::size_t n) {
    std::unique_lock lock(Mutex);
    return Changed.wait_for(lock, std::chrono::seconds(20),
                            [&] { return Body.size() >= n; });
  }
  /// Pauses or resumes requesting chunks.
  void setReading(bool reading) {
    std::function<void()> held;
    note([&] {
      IsReading = reading;
      held.swap(Held);
    });
    if (held && reading)
      held();
  }
  base::ResultCode code() {
    std::lock_guard lock(Mutex);
    return Failure ? Failure->Code : base::ResultCode::Ok;
  }
  std::size_t size() {
    std::lock_guard lock(Mutex);
    return Body.size();
  }

  std::optional<protocol::AnswerHead> Head;
  std::optional<protocol::RequestFailure> Failure;
  std::string Body;
  int Ends = 0;

private:
  void note(const std::function<void()> &change) {
    std::lock_guard lock(Mutex);
    change();
    Changed.notify_all();
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  bool IsReading = true;
  std::function<void()> Held;
};

inline protocol::ForwardRequest makeRequest(std::string body = "ping") {
  protocol::ForwardRequest request;
  request.Id = base::RequestId("r-1");
  request.Service = base::ServiceId("press-orders");
  request.Method = "POST";
  request.Target = "/jobs/7";
  request.Headers = {{"Content-Type", "text/plain"}};
  request.Body = std::move(body);
  request.DeadlineMs = 30000;
  return request;
}

} // namespace magnoliamill::peer::tests
