// The gateway as callers see it: routes, limits, timeouts, disconnects, drain.
#include "Support.h"

#include <catch2/catch.hpp>
#include <future>

using namespace magnoliamill;
using namespace magnoliamill::gateway;
using namespace magnoliamill::gateway::tests;

namespace {

GatewayConfig makeConfig() {
  GatewayConfig config;
  config.Host = "127.0.0.1";
  config.Limits.HeaderTimeout = std::chrono::milliseconds(300);
  config.Limits.BodyTimeout = std::chrono::milliseconds(300);
  config.Limits.MaxBodyBytes = 100'000;
  return config;
}

/// A gateway whose handlers keep each request until the test answers it.
struct Bench {
  explicit Bench(GatewayConfig config = makeConfig()) {
    GatewayHandlers handlers;
    handlers.OnRequest = [this](protocol::ForwardRequest request,
                                protocol::AnswerSink sink) {
      std::lock_guard lock(Mutex);
      Requests.push_back(std::move(request));
      Sinks.push_back(std::move(sink));
      return [this] { ++Cancelled; };
    };
    handlers.OnApi = [this](ApiRequest request,
                            const std::function<void(ApiReply)> &reply) {
      ApiReply answer;
      answer.Body = request.Method + " " + request.Path + " " + request.Query +
                    " " + request.AccessToken + " " + request.ChangeId + " " +
                    request.Body;
      answer.Status = 201;
      reply(answer);
    };
    handlers.DescribeUnready = [this] { return Unready; };
    Gateway.emplace(Runner.Duty, std::move(config), std::move(handlers));
    REQUIRE(Gateway->start());
  }

  std::size_t countRequests() {
    std::lock_guard lock(Mutex);
    return Requests.size();
  }
  protocol::ForwardRequest request(std::size_t n) {
    REQUIRE(waitFor([&] { return countRequests() > n; }));
    std::lock_guard lock(Mutex);
    return Requests[n];
  }
  protocol::AnswerSink sink(std::size_t n) {
    REQUIRE(waitFor([&] { return countRequests() > n; }));
    std::lock_guard lock(Mutex);
    return Sinks[n];
  }
  /// Answers request \p n in one piece.
  void answer(std::size_t n, const std::string &body) {
    auto it = sink(n);
    it.Head({200, {}, body.size(), {}});
    it.Chunk(body, nullptr);
    it.End();
  }

  std::mutex Mutex;
  std::vector<protocol::ForwardRequest> Requests;
  std::vector<protocol::AnswerSink> Sinks;
  std::atomic<int> Cancelled{0};
  std::string Unready;
  RunningDuty Runner;
  std::optional<HttpGateway> Gateway;
};

bool contains(std::string_view text, std::string_view part) {
  return text.find(part) != std::string_view::npos;
}

constexpr const char *SimpleGet = "GET /s/orders/x HTTP/1.1\r\n\r\n";

} // namespace

TEST_CASE("A caller's request becomes a forward request") {
  Bench bench;
  RawClient client(bench.Gateway->port());

  SECTION("its Mill headers are read, and not passed on") {
    client.send("POST /s/press-orders/jobs/7?full=1 HTTP/1.1\r\nHost: a\r\n"
                "Mill-Key: job-7\r\nMill-Partner: acme\r\n"
                "Mill-Deadline-Ms: 1500\r\nIdempotency-Key: i-1\r\n"
                "Mill-Token: 9.9\r\nMill-Slot: 4\r\nConnection: X-Hop\r\n"
                "X-Hop: 1\r\nTE: trailers\r\nX-Kept: yes\r\n"
                "Content-Length: 5\r\n\r\nhello");
    const auto request = bench.request(0);
    CHECK(request.Service.Value == "press-orders");
    CHECK(request.Target == "/jobs/7?full=1");
    CHECK(request.Method == "POST");
    CHECK(request.Key == "job-7");
    CHECK(request.Partner.Value == "acme");
    CHECK(request.DeadlineMs == 1500);
    CHECK(request.IdempotencyKey == "i-1");
    CHECK(request.Body == "hello");
    CHECK(request.Id.empty());
    REQUIRE(request.Headers.size() == 1);
    CHECK(request.Headers[0].Name == "X-Kept");

    SECTION("and its answer is marked as answered") {
      bench.answer(0, "done");
      const std::string answer = client.readAnswer();
      CHECK(contains(answer, "HTTP/1.1 200 OK\r\n"));
      CHECK(contains(answer, "Mill-Outcome: answered\r\n"));
      CHECK(answer.ends_with("\r\n\r\ndone"));
    }
  }

  SECTION("a chunked body is accepted, defaults fill what is absent") {
    client.send("POST /s/orders HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    const auto request = bench.request(0);
    CHECK(request.Body == "abcde");
    CHECK(request.Target == "/");
    CHECK(request.Partner.Value == "default");
    CHECK(request.DeadlineMs == 0);
  }

  SECTION("pipelined requests are handled one at a time, in order") {
    client.send("GET /s/a/1 HTTP/1.1\r\n\r\nGET /s/a/2 HTTP/1.1\r\n\r\n");
    CHECK(bench.request(0).Target == "/1");
    CHECK(bench.countRequests() == 1);
    bench.answer(0, "one");
    CHECK(client.readAnswer().ends_with("one"));
    CHECK(bench.request(1).Target == "/2");
    bench.answer(1, "two");
    CHECK(client.readAnswer().ends_with("two"));
  }

  SECTION("a body without a known length is chunked") {
    client.send(SimpleGet);
    auto sink = bench.sink(0);
    std::promise<void> asked;
    sink.Head({200, {}, std::nullopt, {}});
    sink.Chunk("first", [&] { asked.set_value(); });
    asked.get_future().wait();
    sink.Chunk("second", nullptr);
    sink.End();
    const std::string answer = client.readUntil("\r\n0\r\n\r\n");
    CHECK(contains(answer, "Transfer-Encoding: chunked\r\n"));
    CHECK(contains(answer, "5\r\nfirst\r\n6\r\nsecond\r\n"));
  }

  SECTION("a HEAD request gets the length without the body") {
    client.send("HEAD /s/a/1 HTTP/1.1\r\n\r\nGET /s/a/2 HTTP/1.1\r\n\r\n");
    bench.answer(0, "12345");
    CHECK(contains(client.readUntil("\r\n\r\n"), "Content-Length: 5"));
    bench.answer(1, "two");
    CHECK(client.readAnswer().ends_with("\r\n\r\ntwo"));
  }

  SECTION("failures carry status, code, outcome and when to come back") {
    client.send(SimpleGet);
    bench.sink(0).Fail({base::ResultCode::NotRunNoTarget, "none", 1200});
    const std::string refused = client.readAnswer();
    CHECK(contains(refused, "503 Service Unavailable"));
    CHECK(contains(refused, "Retry-After: 2\r\n"));
    CHECK(contains(refused, "Mill-Outcome: not-run\r\n"));
    CHECK(contains(refused, "\"code\":3001"));
    client.send(SimpleGet);
    bench.sink(1).Fail({base::ResultCode::OutcomeUnknownDeadline, "late", 0});
    const std::string unknown = client.readAnswer();
    CHECK(contains(unknown, "504 Gateway Timeout"));
    CHECK(contains(unknown, "Mill-Outcome: unknown\r\n"));
  }
}

TEST_CASE("The other routes") {
  Bench bench;
  RawClient client(bench.Gateway->port());

  SECTION("the control API gets its parts") {
    client.send("PUT /v1/settings/a?b=c HTTP/1.1\r\nAuthorization: Bearer t1"
                "\r\nMill-Change-Id: c9\r\nContent-Length: 2\r\n\r\n{}");
    const std::string answer = client.readAnswer();
    CHECK(contains(answer, "201 Created"));
    CHECK(answer.ends_with("PUT /settings/a b=c t1 c9 {}"));
  }
  SECTION("metrics are rendered") {
    client.send("GET /metrics HTTP/1.1\r\n\r\n");
    CHECK(contains(client.readAnswer(), "200 OK"));
  }
  SECTION("readiness tells the reason, liveness does not depend on it") {
    client.send("GET /readyz HTTP/1.1\r\n\r\n");
    CHECK(contains(client.readAnswer(), "200 OK"));
    bench.Runner.run([&] { bench.Unready = "no settings yet"; });
    client.send("GET /readyz HTTP/1.1\r\n\r\n");
    const std::string answer = client.readAnswer();
    CHECK(contains(answer, "503 "));
    CHECK(contains(answer, "no settings yet"));
    client.send("GET /healthz HTTP/1.1\r\n\r\n");
    CHECK(contains(client.readAnswer(), "200 OK"));
  }
}

TEST_CASE("Bad input gets a numbered error and disturbs nobody else") {
  Bench bench;
  RawClient witness(bench.Gateway->port());
  witness.send(SimpleGet);
  auto sink = bench.sink(0);
  RawClient client(bench.Gateway->port());

  struct BadInput {
    const char *Title;
    std::string Bytes;
    const char *Status;
    const char *Code;
  };
  const std::string get = "GET /s/a/ HTTP/1.1\r\n";
  const std::vector<BadInput> inputs = {
      {"malformed request line", "NONSENSE\r\n\r\n", " 400 ", "2001"},
      {"malformed header", "GET / HTTP/1.1\r\nno colon\r\n\r\n", " 400 ",
       "2001"},
      {"contradicting framing",
       "POST /s/a/ HTTP/1.1\r\nContent-Length: 3\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       " 400 ", "2001"},
      {"oversized header", get + "A: " + std::string(20'000, 'x'), " 431 ",
       "2002"},
      {"oversized body",
       "POST /s/a/ HTTP/1.1\r\nContent-Length: 100001\r\n\r\n", " 413 ",
       "2003"},
      {"oversized chunked body",
       "POST /s/a/ HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n" +
           std::string(100'002, 'x'),
       " 413 ", "2003"},
      {"slow header", "GET /s/a/ HT", " 408 ", "2009"},
      {"slow body", "POST /s/a/ HTTP/1.1\r\nContent-Length: 9\r\n\r\n1",
       " 408 ", "2009"},
      {"unknown route", "GET /nothing HTTP/1.1\r\n\r\n", " 404 ", "2008"},
      {"no service", "GET /s/ HTTP/1.1\r\n\r\n", " 404 ", "2008"},
      {"bad deadline", get + "Mill-Deadline-Ms: 600001\r\n\r\n", " 400 ",
       "2006"},
      {"negative deadline", get + "Mill-Deadline-Ms: -1\r\n\r\n", " 400 ",
       "2006"},
      {"two keys", get + "Mill-Key: a\r\nMill-Key: b\r\n\r\n", " 400 ", "2001"},
      {"long idempotency key",
       get + "Idempotency-Key: " + std::string(201, 'k') + "\r\n\r\n", " 400 ",
       "2001"},
      {"a target's own path", "PUT /s/a/.mill/grants HTTP/1.1\r\n\r\n", " 404 ",
       "2008"},
      {"a target's own path, escaped",
       "PUT /s/a/x/..//%2EMill/grants HTTP/1.1\r\n\r\n", " 404 ", "2008"},
  };
  for (const auto &input : inputs) {
    DYNAMIC_SECTION(input.Title) {
      client.send(input.Bytes);
      const std::string answer = client.readAnswer();
      CHECK(contains(answer, input.Status));
      CHECK(contains(answer, std::string("\"code\":") + input.Code));
      CHECK(contains(answer, "Mill-Outcome: not-run"));
      CHECK(bench.countRequests() == 1);
      sink.Head({200, {}, 4, {}});
      sink.Chunk("fine", nullptr);
      sink.End();
      CHECK(witness.readAnswer().ends_with("fine"));
    }
  }
}

TEST_CASE("Connections beyond the limit are refused") {
  GatewayConfig config = makeConfig();
  config.Limits.MaxConnections = 2;
  Bench bench(std::move(config));
  RawClient first(bench.Gateway->port());
  first.send(SimpleGet);
  (void)bench.sink(0);
  RawClient second(bench.Gateway->port());
  second.send(SimpleGet);
  (void)bench.sink(1);
  RawClient third(bench.Gateway->port());
  const std::string answer = third.readAll();
  CHECK(contains(answer, " 503 "));
  CHECK(contains(answer, "\"code\":2010"));
  bench.answer(0, "one");
  CHECK(first.readAnswer().ends_with("one"));
}

TEST_CASE("An answer that is lost after its head never looks whole") {
  Bench bench;
  RawClient client(bench.Gateway->port());
  client.send(SimpleGet);
  auto sink = bench.sink(0);

  SECTION("with a length") { sink.Head({200, {}, 10, {}}); }
  SECTION("chunked") { sink.Head({200, {}, std::nullopt, {}}); }
  sink.Chunk("half", nullptr);
  client.readUntil("half");
  sink.Fail({base::ResultCode::AnswerTruncated, "lost", 0});
  const std::string rest = client.readAll();
  CHECK_FALSE(contains(rest, "0\r\n\r\n"));
  CHECK_FALSE(client.endedOrderly());
  CHECK(waitFor([&] { return bench.Gateway->countConnections() == 0; }));
}

TEST_CASE("An answer whose end comes short is a failure, not an answer") {
  Bench bench;
  RawClient client(bench.Gateway->port());
  client.send(SimpleGet);
  auto sink = bench.sink(0);
  bench.Runner.run([&] {
    sink.Head({200, {}, 10, {}});
    sink.Chunk("short", nullptr);
    sink.End();
  });
  const std::string answer = client.readAnswer();
  CHECK(contains(answer, " 502 "));
  CHECK(contains(answer, "\"code\":3105"));
}

TEST_CASE("A caller's disconnect cancels its request") {
  Bench bench;
  RawClient client(bench.Gateway->port());
  SECTION("while the answer is awaited") {
    client.send(SimpleGet);
    (void)bench.sink(0);
    client.close();
  }
  SECTION("by a reset, with a further request already sent") {
    client.send(std::string(SimpleGet) + SimpleGet);
    (void)bench.sink(0);
    client.resetHard();
  }
  SECTION("in the middle of the body") {
    client.send(SimpleGet);
    auto sink = bench.sink(0);
    sink.Head({200, {}, 100, {}});
    sink.Chunk("part", nullptr);
    client.readUntil("part");
    client.close();
  }
  CHECK(waitFor([&] { return bench.Cancelled == 1; }));
  CHECK(waitFor([&] { return bench.Gateway->countConnections() == 0; }));
  // A late answer finds nobody and does no harm.
  bench.sink(0).Fail({base::ResultCode::Internal, "late", 0});
  RawClient other(bench.Gateway->port());
  other.send("GET /healthz HTTP/1.1\r\n\r\n");
  CHECK(contains(other.readAnswer(), "200 OK"));
  CHECK(bench.Cancelled == 1);
}

TEST_CASE("An answered request is not cancelled") {
  Bench bench;
  RawClient client(bench.Gateway->port());
  client.send(SimpleGet);
  bench.answer(0, "done");
  CHECK(client.readAnswer().ends_with("done"));
  client.close();
  CHECK(waitFor([&] { return bench.Gateway->countConnections() == 0; }));
  CHECK(bench.Cancelled == 0);
}

TEST_CASE("A caller that does not read holds one chunk at the most") {
  GatewayConfig config = makeConfig();
  config.Limits.WriteTimeout = std::chrono::milliseconds(300);
  Bench bench(std::move(config));
  RawClient client(bench.Gateway->port());
  client.send(SimpleGet);
  auto sink = bench.sink(0);
  std::atomic<int> asked{0};
  std::function<void()> giveNext = [&] {
    ++asked;
    sink.Chunk(std::string(1 << 20, 'x'), giveNext);
  };
  sink.Head({200, {}, std::nullopt, {}});
  giveNext();
  SECTION("and is dropped when it takes nothing for too long") {
    CHECK(waitFor([&] { return bench.Cancelled == 1; }));
    // The socket buffers of loopback take a few MB.
    CHECK(asked < 20);
  }
}

TEST_CASE("Draining cuts nothing off") {
  Bench bench;
  RawClient waiting(bench.Gateway->port());
  waiting.send(SimpleGet);
  auto sink = bench.sink(0);
  RawClient idle(bench.Gateway->port());
  idle.send("GET /healthz HTTP/1.1\r\n\r\n");
  idle.readAnswer();
  RawClient partial(bench.Gateway->port());
  partial.send("POST /s/a/ HTTP/1.1\r\nContent-Length: 4\r\n\r\nab");
  REQUIRE(waitFor([&] { return bench.Gateway->countConnections() == 3; }));

  std::promise<void> drained;
  auto end = drained.get_future();
  bench.Gateway->drain([&] { drained.set_value(); });
  // A request that comes just after the drain on an open connection counts.
  idle.send("GET /healthz HTTP/1.1\r\n\r\n");
  CHECK(contains(idle.readAll(), "Connection: close"));
  partial.send("cd");
  bench.answer(1, "whole");
  const std::string second = partial.readAll();
  CHECK(contains(second, "Connection: close"));
  CHECK(second.ends_with("whole"));
  CHECK_THROWS(RawClient(bench.Gateway->port()));
  CHECK(end.wait_for(std::chrono::seconds(0)) == std::future_status::timeout);

  sink.Head({200, {}, 4, {}});
  sink.Chunk("done", nullptr);
  sink.End();
  const std::string first = waiting.readAll();
  CHECK(first.ends_with("done"));
  CHECK(waiting.endedOrderly());
  waiting.close();
  idle.close();
  partial.close();
  REQUIRE(end.wait_for(std::chrono::seconds(10)) == std::future_status::ready);
}
