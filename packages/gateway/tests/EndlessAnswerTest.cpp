// Tests that a target which never stops sending can't hold a call, or the
// memory of its caller, beyond stated limits.
#include "TargetClientFixture.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace magnoliamill;
using namespace magnoliamill::gateway;
using namespace magnoliamill::gateway::tests;
using namespace std::chrono_literals;

namespace {

using Peer = ScriptedServer::Peer;
using base::ResultCode;

/// Upper limit of what is read of an answer without passing it on.
constexpr std::size_t MaxUnusedBytes = 5u << 20;
constexpr base::Duration CallTimeout = 4s;
constexpr base::Duration EarlyEnd = 3s;

/// An answer that begins properly and never ends.
struct EndlessAnswer {
  const char *Title;
  std::string Start;
  /// Repeated until the connection is closed.
  std::string Rest;
};

const std::string ChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::vector<EndlessAnswer> answersWithoutEnd() {
  return {
      {"bytes without a line end", "", "xxxxx"},
      {"a status line", "HTTP/1.1 200 ", "reason "},
      {"header fields", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
      {"one header field", "HTTP/1.1 200 OK\r\nX-Field: ", "value"},
      {"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
      {"a chunk size", ChunkedHead, "0"},
      {"a chunk extension", ChunkedHead + "5;name=", "value"},
      {"extensions of small chunks", ChunkedHead,
       "1;name=" + std::string(4000, 'v') + "\r\nx\r\n"},
      {"trailer fields", ChunkedHead + "2\r\nok\r\n0\r\n",
       "X-Field: value\r\n"},
      {"one trailer field", ChunkedHead + "2\r\nok\r\n0\r\nX-Field: ", "value"},
  };
}

/// Runs one call whose target sends \p start and then \p rest without end.
class EndlessCall {
public:
  EndlessCall(const std::string &start, const std::string &rest)
      : Target([this, start, rest](Peer &peer, std::size_t) {
          peer.readRequest();
          peer.send(start);
          Accepted = peer.sendEndlessly(rest);
          HasEnded = true;
        }) {}

  AnswerCollector run(const char *method, TargetCall call) {
    const auto begin = base::readMonotonic();
    call.Deadline = begin + CallTimeout;
    call.Request.Method = method;
    auto answer = Target.run(std::move(call));
    Duration = base::readMonotonic() - begin;
    REQUIRE(waitFor([this] { return HasEnded.load(); }));
    return answer;
  }
  AnswerCollector run(const char *method) {
    return run(method, makeCall(Target.Server.address(), method));
  }
  TargetAddress address() const { return Target.Server.address(); }
  /// Bytes that were sent before the connection was closed.
  std::size_t acceptedBytes() const { return Accepted; }
  base::Duration duration() const { return Duration; }

private:
  std::atomic<std::size_t> Accepted{0};
  std::atomic<bool> HasEnded{false};
  base::Duration Duration{};
  Fixture Target;
};

/// Discards answers with the header "X-Stale".
AnswerKind classifyStale(const protocol::AnswerHead &head, bool) {
  for (const auto &header : head.Headers)
    if (header.Name == "X-Stale")
      return AnswerKind::Stale;
  return AnswerKind::Deliver;
}

} // namespace

TEST_CASE("Syntax without end fails the call, and its outcome is unknown") {
  for (const auto &form : answersWithoutEnd()) {
    for (const char *method : {"GET", "POST"}) {
      DYNAMIC_SECTION(form.Title << ", " << method) {
        EndlessCall call(form.Start, form.Rest);
        const auto answer = call.run(method);
        CHECK_FALSE(answer.outcome().Answered);
        CHECK(answer.outcome().MayHaveRun);
        CHECK(answer.outcome().Code == ResultCode::TargetProtocol);
        CHECK_FALSE(answer.isEnded());
        CHECK(call.duration() < EarlyEnd);
        CHECK(call.acceptedBytes() < MaxUnusedBytes + MaxSocketBufferBytes);
      }
    }
  }
}

TEST_CASE("A late answer without end is not discarded for ever") {
  SECTION("it does not stop: the outcome is unknown") {
    EndlessCall call("HTTP/1.1 200 OK\r\nX-Stale: 1\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n",
                     "5\r\nstale\r\n");
    auto request = makeCall(call.address(), "POST");
    request.Classify = classifyStale;
    const auto answer = call.run("POST", std::move(request));
    CHECK(answer.outcome().Code == ResultCode::TargetProtocol);
    CHECK(answer.outcome().MayHaveRun);
    CHECK(answer.outcome().Status == 0);
    CHECK(answer.status() == 0);
    CHECK(call.duration() < EarlyEnd);
    CHECK(call.acceptedBytes() < MaxUnusedBytes + MaxSocketBufferBytes);
  }
  SECTION("it stalls: the call ends by its deadline, not as truncated") {
    Fixture fixture([](Peer &peer, std::size_t) {
      peer.readRequest();
      peer.send("HTTP/1.1 200 OK\r\nX-Stale: 1\r\nContent-Length: 9\r\n\r\n");
      peer.awaitClose();
    });
    auto request = makeCall(fixture.Server.address(), "POST");
    request.Classify = classifyStale;
    request.Deadline = base::readMonotonic() + 100ms;
    const auto answer = fixture.run(std::move(request));
    CHECK(answer.outcome().Code == ResultCode::TargetTimeout);
    CHECK(answer.outcome().MayHaveRun);
  }
}

TEST_CASE("A refusal stays a refusal, whatever its body is") {
  const std::string head = "HTTP/1.1 503 Busy\r\nMill-Not-Run: 1\r\n"
                           "Retry-After: 3\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n";
  const auto check = [](const AnswerCollector &answer) {
    CHECK(answer.outcome().Code == ResultCode::NotRunTargetRefused);
    CHECK_FALSE(answer.outcome().MayHaveRun);
    CHECK(answer.outcome().RetryAfterMs == 3000);
    CHECK(answer.status() == 0);
  };
  SECTION("a body without end") {
    EndlessCall call(head, "4\r\nbusy\r\n");
    check(call.run("POST"));
    CHECK(call.duration() < EarlyEnd);
    CHECK(call.acceptedBytes() < MaxUnusedBytes + MaxSocketBufferBytes);
  }
  SECTION("a body that stalls") {
    Fixture fixture([&](Peer &peer, std::size_t) {
      peer.readRequest();
      peer.send(head);
      peer.awaitClose();
    });
    const auto begin = base::readMonotonic();
    check(fixture.run("POST"));
    CHECK(base::readMonotonic() - begin < EarlyEnd);
  }
  SECTION("a malformed body") {
    Fixture fixture([&](Peer &peer, std::size_t) {
      peer.readRequest();
      peer.send(head + "no chunk\r\n");
      peer.awaitClose();
    });
    check(fixture.run("POST"));
  }
}

TEST_CASE("Bytes after a complete answer end the connection") {
  Fixture fixture([](Peer &peer, std::size_t number) {
    while (!peer.readRequest().empty()) {
      peer.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      if (number == 1)
        peer.sendEndlessly("more");
    }
  });
  for (int n = 0; n < 2; ++n) {
    const auto answer = fixture.run("POST");
    CHECK(answer.outcome().Answered);
    CHECK(answer.body() == "ok");
    // The further bytes arrive about now.
    std::this_thread::sleep_for(50ms);
  }
  CHECK(fixture.Server.countConnections() == 2);
}
