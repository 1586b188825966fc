// Tests of the target client: what is written, how often, and which answers are
// complete.
#include "TargetClientFixture.h"

#include <catch2/catch.hpp>
#include <future>

using namespace magnoliamill;
using namespace magnoliamill::gateway;
using namespace magnoliamill::gateway::tests;

namespace {

using Peer = ScriptedServer::Peer;
using base::ResultCode;

constexpr const char *OkAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Answers every request on a connection.
void answerAlways(Peer &peer, std::size_t) {
  while (!peer.readRequest().empty())
    peer.send(OkAnswer);
}

std::size_t countRequests(const std::string &bytes) {
  std::size_t count = 0;
  for (std::size_t at = 0;
       (at = bytes.find("Mill-Request-Id", at)) != std::string::npos; ++at)
    ++count;
  return count;
}

} // namespace

TEST_CASE("A call reaches the target with its token and key") {
  Fixture fixture(answerAlways);
  auto call = makeCall(fixture.Server.address(), "POST");
  call.Request.Body = "payload";
  const auto answer = fixture.run(std::move(call));
  CHECK(answer.status() == 200);
  CHECK(answer.body() == "ok");
  CHECK(answer.isEnded());
  CHECK(answer.outcome().Answered);
  CHECK(answer.outcome().MayHaveRun);
  const std::string bytes = fixture.Server.bytes();
  for (const char *line :
       {"POST /jobs/7 HTTP/1.1\r\n", "Mill-Token: 4.17\r\n",
        "Mill-Slot: 12\r\n", "Mill-Key: job-7\r\n", "Mill-Request-Id: r-1\r\n",
        "Mill-Client-Account: acme\r\n", "X-Kept: yes\r\n",
        "Mill-Deadline-Ms: 4", "Content-Length: 7\r\n\r\npayload"})
    CHECK(bytes.find(line) != std::string::npos);

  SECTION("and the next call reuses its connection") {
    CHECK(fixture.run("POST").outcome().Answered);
    CHECK(fixture.Server.countConnections() == 1);
  }
  SECTION("unless connections to the target were invalidated") {
    fixture.Runner.run([&] {
      fixture.Client->invalidateConnections(fixture.Server.address());
    });
    CHECK(fixture.run("GET").outcome().Answered);
    CHECK(fixture.Server.countConnections() == 2);
  }
  SECTION("and grants have connections of their own") {
    std::promise<base::Result<std::string>> reply;
    fixture.Runner.run([&] {
      fixture.Client->exchange(fixture.Server.address(), "PUT", "/.mill/grants",
                               "{}", std::chrono::seconds(5),
                               [&](base::Result<std::string> result) {
                                 reply.set_value(std::move(result));
                               });
    });
    CHECK(reply.get_future().get().value() == "ok");
    CHECK(fixture.Server.countConnections() == 2);
  }
}

TEST_CASE(
    "A connection that was idle for long serves only idempotent requests") {
  constexpr auto Idle = std::chrono::milliseconds(20);
  Fixture fixture(answerAlways, Idle);
  fixture.run("GET");
  const auto since = base::readMonotonic();
  REQUIRE(waitFor([&] { return base::readMonotonic() - since > Idle; }));
  SECTION("a GET uses it") {
    CHECK(fixture.run("GET").outcome().Answered);
    CHECK(fixture.Server.countConnections() == 1);
  }
  SECTION("a POST uses a new one") {
    CHECK(fixture.run("POST").outcome().Answered);
    CHECK(fixture.Server.countConnections() == 2);
  }
}

TEST_CASE("Nothing is written if MayWrite returns false") {
  Fixture fixture(answerAlways);
  SECTION("on a new connection") {}
  SECTION("on a reused one") { fixture.run("POST"); }
  const std::string before = fixture.Server.bytes();
  auto call = makeCall(fixture.Server.address(), "POST");
  int asked = 0;
  call.MayWrite = [&] {
    ++asked;
    return false;
  };
  const auto answer = fixture.run(std::move(call));
  CHECK(asked == 1);
  CHECK(answer.outcome().Code == ResultCode::NotRunLeaseLost);
  CHECK_FALSE(answer.outcome().MayHaveRun);
  CHECK(answer.status() == 0);
  // Anything written before would have arrived ahead of this request.
  fixture.run("GET");
  const std::string after = fixture.Server.bytes();
  CHECK(countRequests(after) == countRequests(before) + 1);
  CHECK(after.substr(before.size()).starts_with("GET "));
}

TEST_CASE("A truncated body is never a complete answer") {
  const char *bytes = nullptr;
  SECTION("shorter than its length") {
    bytes = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort";
  }
  SECTION("without its last chunk") {
    bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            "5\r\nshort\r\n";
  }
  SECTION("in the middle of a chunk") {
    bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            "9\r\nshort";
  }
  Fixture fixture([&](Peer &peer, std::size_t) {
    peer.readRequest();
    peer.send(bytes);
  });
  const auto answer = fixture.run("GET");
  CHECK(answer.body() == "short");
  CHECK_FALSE(answer.isEnded());
  CHECK_FALSE(answer.outcome().Answered);
  CHECK(answer.outcome().MayHaveRun);
  CHECK(answer.outcome().Code == ResultCode::AnswerTruncated);
}

TEST_CASE("An answer that ends in its head is never a complete answer") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nServer: a\r\nContent-Length: 2\r\n\r\n";
  const auto cut = GENERATE_COPY(range(std::size_t{1}, head.size()));
  const bool AcceptsCloseDelimited = GENERATE(false, true);
  Fixture fixture([&](Peer &peer, std::size_t) {
    peer.readRequest();
    peer.send(head.substr(0, cut));
    peer.close();
  });
  auto call = makeCall(fixture.Server.address(), "POST");
  call.AcceptsCloseDelimited = AcceptsCloseDelimited;
  const auto answer = fixture.run(std::move(call));
  CHECK(answer.status() == 0);
  CHECK_FALSE(answer.isEnded());
  CHECK_FALSE(answer.outcome().Answered);
  CHECK(answer.outcome().MayHaveRun);
}

TEST_CASE("A close-delimited answer is rejected by default") {
  Fixture fixture([](Peer &peer, std::size_t) {
    peer.readRequest();
    peer.send("HTTP/1.1 200 OK\r\n\r\nis this all?");
  });
  const auto answer = fixture.run("GET");
  CHECK(answer.status() == 0);
  CHECK(answer.outcome().Code == ResultCode::TargetProtocol);
  CHECK(answer.outcome().MayHaveRun);
}

TEST_CASE("Complete answers in all framings") {
  struct Form {
    const char *Title;
    const char *Method;
    const char *Bytes;
    std::uint16_t Status;
    const char *Body;
  };
  const std::vector<Form> forms = {
      {"chunked", "GET",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
       "3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n",
       200, "abcdefg"},
      {"no content", "GET", "HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
      {"head", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n", 200,
       ""},
      {"interim", "GET",
       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
       "Content-Length: 2\r\n\r\nok",
       200, "ok"},
      {"error of the target", "GET",
       "HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno", 500, "no"},
  };
  for (const auto &form : forms) {
    DYNAMIC_SECTION(form.Title) {
      Fixture fixture([&](Peer &peer, std::size_t) {
        while (!peer.readRequest().empty())
          for (const char *at = form.Bytes; *at != '\0'; ++at)
            peer.send(std::string_view(at, 1));
      });
      for (int n = 0; n < 2; ++n) {
        const auto answer = fixture.run(form.Method);
        CHECK(answer.isEnded());
        CHECK(answer.status() == form.Status);
        CHECK(answer.body() == form.Body);
      }
      CHECK(fixture.Server.countConnections() == 1);
    }
  }
}

TEST_CASE("The end of an empty chunked answer in parts ends the process") {
  Fixture fixture([&](Peer &peer, std::size_t) {
    peer.readRequest();
    peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (const char *part : {"0\r\n", "\r", "\n"}) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      peer.send(part);
    }
  });
  const auto answer = fixture.run("GET");
  CHECK(answer.isEnded());
  CHECK(answer.body().empty());
}

TEST_CASE("A reused connection that fails") {
  // The first connection answers one request and closes at the second.
  Fixture fixture([](Peer &peer, std::size_t number) {
    peer.readRequest();
    peer.send(OkAnswer);
    if (number == 1)
      peer.readRequest();
    else
      answerAlways(peer, number);
  });
  fixture.run("GET");
  SECTION("is replaced for an idempotent request") {
    CHECK(fixture.run("GET").outcome().Answered);
    CHECK(fixture.Server.countConnections() == 2);
  }
  SECTION("is not replaced for another request, and the outcome is unknown") {
    const auto answer = fixture.run("POST");
    CHECK_FALSE(answer.outcome().Answered);
    CHECK(answer.outcome().MayHaveRun);
    CHECK(answer.outcome().Code == ResultCode::TargetReset);
    CHECK(fixture.Server.countConnections() == 1);
    CHECK(countRequests(fixture.Server.bytes()) == 2);
  }
}

TEST_CASE("Connections to many targets use up the descriptors") {
  ScriptedServer first(answerAlways);
  ScriptedServer second(answerAlways);
  ScriptedServer silent([](Peer &peer, std::size_t) { peer.awaitClose(); });
  ScopedEventLoop runner;
  TargetClientConfig config;
  config.MaxConnections = 1;
  TargetClient client(runner.EventLoop, config);
  const auto start = [&](const ScriptedServer &target) {
    AnswerCollector answer;
    runner.run([&] {
      client.call(makeCall(target.address(), "POST"), answer.makeSink(),
                  answer.makeDone());
    });
    return answer;
  };
  // The idle connection to one target is closed for the next one.
  for (const auto *target : {&first, &second, &first}) {
    auto answer = start(*target);
    REQUIRE(answer.awaitDone());
    CHECK(answer.outcome().Answered);
  }
  CHECK(first.countConnections() == 2);
  // None is idle: nothing is sent.
  auto running = start(silent);
  auto refused = start(second);
  REQUIRE(refused.awaitDone());
  CHECK(refused.outcome().Code == ResultCode::TargetUnreachable);
  CHECK_FALSE(refused.outcome().MayHaveRun);
}

TEST_CASE("A refused repeat tells that the request has not run") {
  // The request may have run on the first connection before its answer was
  // lost; the repeat is refused.
  Fixture fixture([](Peer &peer, std::size_t number) {
    peer.readRequest();
    if (number == 1) {
      peer.send(OkAnswer);
      peer.readRequest();
    } else {
      peer.send("HTTP/1.1 503 Busy\r\nMill-Not-Run: 1\r\n"
                "Content-Length: 0\r\n\r\n");
    }
  });
  fixture.run("GET");
  const auto answer = fixture.run("GET");
  CHECK(fixture.Server.countConnections() == 2);
  CHECK_FALSE(answer.outcome().Answered);
  CHECK(answer.outcome().MayHaveRun);
  CHECK(answer.outcome().Code == ResultCode::TargetReset);
}

TEST_CASE("A trailer field that the HTTP library can't hold ends the process") {
  Fixture fixture([](Peer &peer, std::size_t) {
    peer.readRequest();
    peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: " +
              std::string(60'000, 'x'));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    peer.send(std::string(20'000, 'x') + "\r\n\r\n");
    peer.awaitClose();
  });
  const auto answer = fixture.run("GET");
  CHECK_FALSE(answer.isEnded());
  CHECK(answer.outcome().MayHaveRun);
}

TEST_CASE("A connection that the target has closed is not reused") {
  Fixture fixture([](Peer &peer, std::size_t) {
    peer.readRequest();
    peer.send(OkAnswer);
  });
  fixture.run("POST");
  // The close arrives about now; then a new connection is used.
  REQUIRE(waitFor([&] { return fixture.run("GET").outcome().Answered; }));
  CHECK(fixture.Server.countConnections() == 2);
}

TEST_CASE("A refusal with Mill-Not-Run is not passed on") {
  Fixture fixture([](Peer &peer, std::size_t) {
    while (!peer.readRequest().empty())
      peer.send("HTTP/1.1 503 Busy\r\nMill-Not-Run: 1\r\nRetry-After: 3\r\n"
                "Content-Length: 4\r\n\r\nbusy");
  });
  const auto answer = fixture.run("POST");
  CHECK(answer.status() == 0);
  CHECK_FALSE(answer.isEnded());
  CHECK_FALSE(answer.outcome().Answered);
  CHECK_FALSE(answer.outcome().MayHaveRun);
  CHECK(answer.outcome().Code == ResultCode::NotRunTargetRefused);
  CHECK(answer.outcome().Status == 503);
  CHECK(answer.outcome().RetryAfterMs == 3000);
  CHECK(answer.outcome().Message == "busy");
}

TEST_CASE("A refusal written twice does not refuse the next request") {
  constexpr auto Refusal = "HTTP/1.1 503 Busy\r\nMill-Not-Run: 1\r\n"
                           "Content-Length: 0\r\n\r\n";
  std::atomic<int> ran{0};
  Fixture fixture([&](Peer &peer, std::size_t number) {
    if (number == 1) {
      peer.readRequest();
      peer.send(Refusal);
    }
    while (!peer.readRequest().empty()) {
      ++ran;
      if (number == 1)
        peer.send(Refusal);
      peer.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    }
  });
  REQUIRE(fixture.run("POST").outcome().Code ==
          ResultCode::NotRunTargetRefused);
  const auto answer = fixture.run("POST");
  CHECK(answer.outcome().Answered);
  CHECK(answer.body() == "ok");
  CHECK(ran == 1);
}

TEST_CASE("The rate that a target names is read from its answer") {
  const auto read = [](const std::string &header) {
    Fixture fixture([&](Peer &peer, std::size_t) {
      while (!peer.readRequest().empty())
        peer.send("HTTP/1.1 200 OK\r\n" + header +
                  "Content-Length: 2\r\n\r\nok");
    });
    return fixture.run("GET").outcome().RateLimit;
  };
  CHECK(read("Mill-Rate-Limit: 2.5\r\n") == 2.5);
  CHECK_FALSE(read(""));
  CHECK_FALSE(read("Mill-Rate-Limit: -1\r\n"));
  CHECK_FALSE(read("Mill-Rate-Limit: 2/s\r\n"));
}

TEST_CASE("Deadlines and cancellation close the connection") {
  std::promise<void> closed;
  Fixture fixture([&](Peer &peer, std::size_t) {
    peer.readRequest();
    peer.awaitClose();
    closed.set_value();
  });
  auto call = makeCall(fixture.Server.address(), "POST");
  SECTION("the deadline") {
    const auto deadline =
        base::readMonotonic() + std::chrono::milliseconds(100);
    call.Deadline = deadline;
    const auto answer = fixture.run(call);
    CHECK(base::readMonotonic() >= deadline);
    CHECK(answer.outcome().Code == ResultCode::TargetTimeout);
    CHECK(answer.outcome().MayHaveRun);
    CHECK(base::toMs(answer.outcome().Latency) < 2000);
  }
  SECTION("the caller, from another thread") {
    auto answer = fixture.start(call);
    REQUIRE(
        waitFor([&] { return countRequests(fixture.Server.bytes()) == 1; }));
    fixture.Cancel();
    REQUIRE(answer.awaitDone());
    CHECK(answer.outcome().Code == ResultCode::NotRunCancelled);
    CHECK(answer.outcome().MayHaveRun);
  }
  CHECK(closed.get_future().wait_for(std::chrono::seconds(10)) ==
        std::future_status::ready);
}

TEST_CASE("A call that can't be sent is reported as not run") {
  ScopedEventLoop runner;
  TargetClient client(runner.EventLoop, {});
  AnswerCollector answer;
  TargetAddress address{"127.0.0.1", 0};
  {
    // A port that was just released: nothing listens on it.
    ScriptedServer server([](Peer &, std::size_t) {});
    address = server.address();
  }
  auto call = makeCall(address, "POST");
  auto expected = ResultCode::TargetUnreachable;
  SECTION("nothing listens on the port") {}
  SECTION("the host is not an IP address") { call.Address.Host = "no-address"; }
  SECTION("the deadline has passed") {
    call.Deadline = base::readMonotonic();
    expected = ResultCode::TargetTimeout;
  }
  runner.run([&] {
    client.call(std::move(call), answer.makeSink(), answer.makeDone());
  });
  REQUIRE(answer.awaitDone());
  CHECK(answer.outcome().Code == expected);
  CHECK_FALSE(answer.outcome().MayHaveRun);
}

TEST_CASE("A receiver that does not request more gets one chunk") {
  Fixture fixture([](Peer &peer, std::size_t) {
    peer.readRequest();
    peer.send("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" +
              std::string(1'000'000, 'x'));
  });
  auto call = makeCall(fixture.Server.address(), "GET");
  call.Deadline = base::readMonotonic() + std::chrono::milliseconds(300);
  auto answer = fixture.start(std::move(call), false);
  REQUIRE(answer.awaitDone());
  CHECK(answer.body().size() <= TargetClientConfig{}.ChunkBytes);
  CHECK(answer.outcome().Code == ResultCode::AnswerTruncated);
  CHECK_FALSE(answer.isEnded());
}

TEST_CASE("An operation goes on with a socket that a cancelled call has "
          "dropped") {
  constexpr std::size_t BodyBytes = 24u << 20;
  constexpr int Rounds = 20;
  Fixture fixture(answerAlways);
  for (int round = 0; round < Rounds; ++round) {
    // Its first part is written at once, on an open connection.
    auto large = makeCall(fixture.Server.address(), "GET");
    large.Request.Body.assign(BodyBytes, 'x');
    fixture.run("GET");
    AnswerCollector cancelled;
    AnswerCollector next;
    fixture.Runner.run([&] {
      fixture.Client->call(std::move(large), cancelled.makeSink(),
                           cancelled.makeDone())();
      // Its connection may get the memory of the dropped one.
      fixture.Client->call(makeCall(fixture.Server.address(), "POST"),
                           next.makeSink(), next.makeDone());
    });
    REQUIRE(cancelled.awaitDone());
    CHECK(cancelled.outcome().Code == ResultCode::NotRunCancelled);
    REQUIRE(next.awaitDone());
    CHECK(next.body() == "ok");
  }
}
