// A target client whose calls go to a scripted target.
#pragma once

#include "Support.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string_view>

namespace magnoliamill::gateway::tests {

/// A call of a target with a token and a key; only GET is idempotent.
inline TargetCall makeCall(const TargetAddress &address, const char *method) {
  TargetCall call;
  call.Address = address;
  call.Request.Id = base::RequestId("r-1");
  call.Request.Service = base::ServiceId("orders");
  call.Request.ClientAccount = base::ClientAccountId("acme");
  call.Request.Key = "job-7";
  call.Request.Method = method;
  call.Request.Target = "/jobs/7";
  call.Request.Headers = {{"X-Kept", "yes"}};
  call.Token = base::Token{4, 17};
  call.Slot = 12;
  call.Deadline = base::readMonotonic() + std::chrono::seconds(5);
  call.Idempotent = std::string_view(method) == "GET";
  return call;
}

/// A target client with one scripted target.
struct Fixture {
  explicit Fixture(ScriptedServer::Script script,
                   base::Duration idle = std::chrono::seconds(10))
      : Server(std::move(script)) {
    TargetClientConfig config;
    config.MaxIdleForNonIdempotent = idle;
    Client.emplace(Runner.EventLoop, config);
  }
  AnswerCollector start(TargetCall call, bool confirm = true) {
    AnswerCollector answer;
    Runner.run([&] {
      Cancel = Client->call(std::move(call), answer.makeSink(confirm),
                            answer.makeDone());
    });
    return answer;
  }
  AnswerCollector run(TargetCall call) {
    AnswerCollector answer = start(std::move(call));
    REQUIRE(answer.awaitDone());
    // End follows done in the same iteration of the event loop.
    Runner.run([] {});
    CHECK(answer.countDone() == 1);
    return answer;
  }
  AnswerCollector run(const char *method) {
    return run(makeCall(Server.address(), method));
  }

  ScriptedServer Server;
  ScopedEventLoop Runner;
  std::optional<TargetClient> Client;
  protocol::CancelHook Cancel;
};

} // namespace magnoliamill::gateway::tests
