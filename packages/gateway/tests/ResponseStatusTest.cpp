// Guards against what a target in trouble sends with a status that no response
// has being taken for its answer.
#include "TargetClientFixture.h"
#include "gateway/HealthCheck.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <future>

using namespace magnoliamill;
using namespace magnoliamill::gateway;
using namespace magnoliamill::gateway::tests;

namespace {

using Peer = ScriptedServer::Peer;
using base::ResultCode;

/// Responses by the status line that follows the version.
const std::vector<std::string> NotFinal = {
    "000",      "000 OK",   "001 Low",      "099 Low",
    "600 High", "999 High", "101 Switching"};

std::string respond(const std::string &status) {
  return "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\nok";
}

std::optional<protocol::AnswerHead> checkHealth(const std::string &response) {
  ScriptedServer target([&](Peer &peer, std::size_t) {
    peer.readRequest();
    peer.send(response);
    peer.awaitClose();
  });
  ScopedEventLoop runner;
  std::promise<std::optional<protocol::AnswerHead>> answer;
  runner.run([&] {
    requestHealth(runner.EventLoop.context(), target.address(), "/h",
                  std::chrono::seconds(1),
                  [&](std::optional<protocol::AnswerHead> head) {
                    answer.set_value(std::move(head));
                  });
  });
  return answer.get_future().get();
}

} // namespace

TEST_CASE("A status that no response has is passed on as an answer") {
  for (const auto &status : NotFinal) {
    DYNAMIC_SECTION(status) {
      Fixture fixture([&](Peer &peer, std::size_t) {
        while (!peer.readRequest().empty())
          peer.send(respond(status));
      });
      const auto answer = fixture.run("POST");
      CHECK(answer.status() == 0);
      CHECK(answer.outcome().Status == 0);
      CHECK_FALSE(answer.outcome().Answered);
      // The target may have run it.
      CHECK(answer.outcome().MayHaveRun);
      CHECK(answer.outcome().Code == ResultCode::TargetProtocol);
      CHECK(fixture.Server.countConnections() == 1);
    }
  }
}

TEST_CASE("A refusal with a status that no response has counts as not run") {
  Fixture fixture([](Peer &peer, std::size_t) {
    peer.readRequest();
    peer.send("HTTP/1.1 600 High\r\nMill-Not-Run: 1\r\n"
              "Content-Length: 0\r\n\r\n");
  });
  const auto answer = fixture.run("POST");
  CHECK(answer.outcome().MayHaveRun);
  CHECK(answer.outcome().Code == ResultCode::TargetProtocol);
}

TEST_CASE("An interim response without a final one is taken for the answer") {
  Fixture fixture([](Peer &peer, std::size_t) {
    peer.readRequest();
    peer.send("HTTP/1.1 102 Processing\r\n\r\n");
    peer.close();
  });
  const auto answer = fixture.run("POST");
  CHECK(answer.status() == 0);
  CHECK_FALSE(answer.outcome().Answered);
  CHECK(answer.outcome().MayHaveRun);
  CHECK(answer.outcome().Code == ResultCode::TargetReset);
}

TEST_CASE("A health check takes a status that no response has for an answer") {
  for (const auto &status : NotFinal) {
    INFO(status);
    CHECK_FALSE(checkHealth(respond(status)));
  }
  const auto head =
      checkHealth("HTTP/1.1 102 Processing\r\n\r\n" + respond("204 None"));
  REQUIRE(head);
  CHECK(head->Status == 204);
}

TEST_CASE("The gateway passes on a status that no response has") {
  // Another VM, of an earlier build, may send one.
  GatewayConfig config;
  config.Host = "127.0.0.1";
  GatewayHandlers handlers;
  handlers.OnRequest = [](const protocol::ForwardRequest &,
                          const protocol::AnswerSink &sink) {
    sink.Head({600, {}, 2, {}});
    sink.Chunk("ok", [] {});
    sink.End();
    return protocol::CancelHook();
  };
  ScopedEventLoop runner;
  HttpGateway gateway(runner.EventLoop, std::move(config), std::move(handlers));
  REQUIRE(gateway.start());
  RawClient client(gateway.port());
  client.send("GET /s/a/ HTTP/1.1\r\n\r\n");
  const auto answer = client.readAnswer();
  CHECK(answer.find(" 502 ") != std::string::npos);
  CHECK(answer.find("Mill-Outcome: unknown") != std::string::npos);
}
