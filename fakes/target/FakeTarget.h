// A fake target: announces itself, serves requests under grants, reports health
// and load, and leaves gracefully.
#pragma once

#include "base/EventLoopThread.h"
#include "fakes/target/Announcer.h"
#include "fakes/target/Behaviour.h"
#include "fakes/target/GrantTable.h"
#include "fakes/target/LoadHistory.h"
#include "fakes/target/RunLog.h"
#include "gateway/HttpServer.h"
#include "gateway/TargetClient.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

namespace magnoliamill::fakes {

struct FakeTargetConfig {
  std::string Name = "target";
  std::string Service = "service";
  std::string DataCentre = "dc";
  std::string Host = "127.0.0.1";
  /// 0 selects any free port.
  std::uint16_t Port = 0;
  std::vector<gateway::TargetAddress> Entries;
  std::int64_t Slots = 3;
  std::string RecordPath;
  Behaviour InitialBehaviour;
};

/// All methods run on the event loop's thread, except start(), the getters,
/// leave() and close().
class FakeTarget : public std::enable_shared_from_this<FakeTarget> {
public:
  FakeTarget(base::EventLoopThread &loop, FakeTargetConfig config);

  base::Result<void> start();
  std::uint16_t port() const { return Server->port(); }
  const std::string &instance() const { return Instance; }
  /// Leaves the system: announces that it is leaving, serves requests until it
  /// is idle and holds no grants (10 s at most), then calls \p done. Safe from
  /// any thread.
  void leave(std::function<void()> done);
  /// Stops immediately. Safe from any thread.
  void close();

private:
  using HttpCall = gateway::HttpCall;
  using AnswerSink = protocol::AnswerSink;
  /// A request that is running.
  struct ActiveRun;

  protocol::CancelHook handle(HttpCall call, const AnswerSink &sink);
  void handleControl(const HttpCall &call, const AnswerSink &sink);
  void answerLoad(const AnswerSink &sink);
  void answerHealth(const AnswerSink &sink);
  protocol::CancelHook serve(const HttpCall &call, const AnswerSink &sink);
  /// Answers a request that must not run and returns true; returns false when
  /// the request may run.
  bool tryRefuse(const HttpCall &call, base::Duration time,
                 const AnswerSink &sink);
  base::Duration chooseServiceTime();
  void startRun(const std::shared_ptr<ActiveRun> &run, base::Duration time);
  void cancelRun(const std::shared_ptr<ActiveRun> &run);
  void finishRun(const std::shared_ptr<ActiveRun> &run);
  void sendAnswer(const ActiveRun &run);
  void changeRunning(std::int64_t by);
  std::string composeAnnouncement() const;
  void checkLeaveDone();

  base::EventLoopThread &EventLoop;
  FakeTargetConfig Config;
  Behaviour CurrentBehaviour;
  std::string Instance;
  std::shared_ptr<gateway::HttpServer> Server;
  gateway::TargetClient Client;
  std::shared_ptr<Announcer> Announcing;
  RunLog Log;
  GrantTable Grants;
  LoadHistory History;
  std::mt19937_64 Random;
  base::MonoTime StartedAt;
  base::MonoTime LastRequestAt;
  std::int64_t Running = 0;
  std::int64_t MostRunning = 0;
  std::uint64_t Runs = 0;
  std::uint64_t Refusals = 0;
  std::uint64_t SlotViolations = 0;
  bool IsLeaving = false;
  base::MonoTime LeaveStartedAt;
  boost::asio::steady_timer LeaveTimer;
  std::function<void()> OnLeft;
};

} // namespace magnoliamill::fakes
