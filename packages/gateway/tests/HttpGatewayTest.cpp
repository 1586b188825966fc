// Tests of the gateway from the caller's side: routes, answers, disconnects.
#include "GatewayFixture.h"

#include <future>

using namespace magnoliamill;
using namespace magnoliamill::gateway;
using namespace magnoliamill::gateway::tests;

TEST_CASE("A caller's request becomes a forward request") {
  GatewayFixture fixture;
  RawClient client(fixture.Gateway->port());

  SECTION("its Mill headers are parsed and not forwarded") {
    client.send("POST /s/press-orders/jobs/7?full=1 HTTP/1.1\r\nHost: a\r\n"
                "Mill-Key: job-7\r\nMill-Client-Account: acme\r\n"
                "Mill-Deadline-Ms: 1500\r\nIdempotency-Key: i-1\r\n"
                "Mill-Token: 9.9\r\nMill-Slot: 4\r\nConnection: X-Hop\r\n"
                "X-Hop: 1\r\nTE: trailers\r\nX-Kept: yes\r\n"
                "Content-Length: 5\r\n\r\nhello");
    const auto request = fixture.request(0);
    CHECK(request.Service.Value == "press-orders");
    CHECK(request.Target == "/jobs/7?full=1");
    CHECK(request.Method == "POST");
    CHECK(request.Key == "job-7");
    CHECK(request.ClientAccount.Value == "acme");
    CHECK(request.DeadlineMs == 1500);
    CHECK(request.IdempotencyKey == "i-1");
    CHECK(request.Body == "hello");
    CHECK(request.Id.empty());
    REQUIRE(request.Headers.size() == 1);
    CHECK(request.Headers[0].Name == "X-Kept");

    SECTION("and its answer is marked as answered") {
      fixture.answer(0, "done");
      const std::string answer = client.readAnswer();
      CHECK(contains(answer, "HTTP/1.1 200 OK\r\n"));
      CHECK(contains(answer, "Mill-Outcome: answered\r\n"));
      CHECK(answer.ends_with("\r\n\r\ndone"));
    }
  }

  SECTION("a chunked body is accepted and absent headers get defaults") {
    client.send("POST /s/orders HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    const auto request = fixture.request(0);
    CHECK(request.Body == "abcde");
    CHECK(request.Target == "/");
    CHECK(request.ClientAccount.Value == "default");
    CHECK(request.DeadlineMs == 0);
  }

  SECTION("pipelined requests are handled one at a time, in order") {
    client.send("GET /s/a/1 HTTP/1.1\r\n\r\nGET /s/a/2 HTTP/1.1\r\n\r\n");
    CHECK(fixture.request(0).Target == "/1");
    CHECK(fixture.countRequests() == 1);
    fixture.answer(0, "one");
    CHECK(client.readAnswer().ends_with("one"));
    CHECK(fixture.request(1).Target == "/2");
    fixture.answer(1, "two");
    CHECK(client.readAnswer().ends_with("two"));
  }

  SECTION("a body without a known length is chunked") {
    client.send(SimpleGet);
    auto sink = fixture.sink(0);
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
    fixture.answer(0, "12345");
    CHECK(contains(client.readUntil("\r\n\r\n"), "Content-Length: 5"));
    fixture.answer(1, "two");
    CHECK(client.readAnswer().ends_with("\r\n\r\ntwo"));
  }

  SECTION("failures carry status, code, outcome and Retry-After") {
    client.send(SimpleGet);
    fixture.sink(0).Fail({base::ResultCode::NotRunNoTarget, "none", 1200});
    const std::string refused = client.readAnswer();
    CHECK(contains(refused, "503 Service Unavailable"));
    CHECK(contains(refused, "Retry-After: 2\r\n"));
    CHECK(contains(refused, "Mill-Outcome: not-run\r\n"));
    CHECK(contains(refused, "\"code\":3001"));
    client.send(SimpleGet);
    fixture.sink(1).Fail({base::ResultCode::OutcomeUnknownDeadline, "late", 0});
    const std::string unknown = client.readAnswer();
    CHECK(contains(unknown, "504 Gateway Timeout"));
    CHECK(contains(unknown, "Mill-Outcome: unknown\r\n"));
  }
}

TEST_CASE("Routes of the control API, metrics and health") {
  GatewayFixture fixture;
  RawClient client(fixture.Gateway->port());

  SECTION("a control API call is split into its fields") {
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
  SECTION("/readyz reports the reason, /healthz does not depend on it") {
    client.send("GET /readyz HTTP/1.1\r\n\r\n");
    CHECK(contains(client.readAnswer(), "200 OK"));
    fixture.Runner.run([&] { fixture.Unready = "no settings yet"; });
    client.send("GET /readyz HTTP/1.1\r\n\r\n");
    const std::string answer = client.readAnswer();
    CHECK(contains(answer, "503 "));
    CHECK(contains(answer, "no settings yet"));
    client.send("GET /healthz HTTP/1.1\r\n\r\n");
    CHECK(contains(client.readAnswer(), "200 OK"));
  }
}

TEST_CASE("An answer that is lost after its head never appears complete") {
  GatewayFixture fixture;
  RawClient client(fixture.Gateway->port());
  client.send(SimpleGet);
  auto sink = fixture.sink(0);

  SECTION("with a length") { sink.Head({200, {}, 10, {}}); }
  SECTION("chunked") { sink.Head({200, {}, std::nullopt, {}}); }
  sink.Chunk("half", nullptr);
  client.readUntil("half");
  sink.Fail({base::ResultCode::AnswerTruncated, "lost", 0});
  const std::string rest = client.readAll();
  CHECK_FALSE(contains(rest, "0\r\n\r\n"));
  CHECK_FALSE(client.endedOrderly());
  CHECK(waitFor([&] { return fixture.Gateway->countConnections() == 0; }));
}

TEST_CASE("An answer shorter than its length becomes a failure") {
  GatewayFixture fixture;
  RawClient client(fixture.Gateway->port());
  client.send(SimpleGet);
  auto sink = fixture.sink(0);
  fixture.Runner.run([&] {
    sink.Head({200, {}, 10, {}});
    sink.Chunk("short", nullptr);
    sink.End();
  });
  const std::string answer = client.readAnswer();
  CHECK(contains(answer, " 502 "));
  CHECK(contains(answer, "\"code\":3105"));
}

TEST_CASE("A caller's disconnect cancels its request") {
  GatewayFixture fixture;
  RawClient client(fixture.Gateway->port());
  SECTION("while the answer is awaited") {
    client.send(SimpleGet);
    (void)fixture.sink(0);
    client.close();
  }
  SECTION("by a reset, with a further request already sent") {
    client.send(std::string(SimpleGet) + SimpleGet);
    (void)fixture.sink(0);
    client.closeWithReset();
  }
  SECTION("in the middle of the body") {
    client.send(SimpleGet);
    auto sink = fixture.sink(0);
    sink.Head({200, {}, 100, {}});
    sink.Chunk("part", nullptr);
    client.readUntil("part");
    client.close();
  }
  CHECK(waitFor([&] { return fixture.Cancelled == 1; }));
  CHECK(waitFor([&] { return fixture.Gateway->countConnections() == 0; }));
  // A late answer is ignored.
  fixture.sink(0).Fail({base::ResultCode::Internal, "late", 0});
  RawClient other(fixture.Gateway->port());
  other.send("GET /healthz HTTP/1.1\r\n\r\n");
  CHECK(contains(other.readAnswer(), "200 OK"));
  CHECK(fixture.Cancelled == 1);
}

TEST_CASE("An answered request is not cancelled") {
  GatewayFixture fixture;
  RawClient client(fixture.Gateway->port());
  client.send(SimpleGet);
  fixture.answer(0, "done");
  CHECK(client.readAnswer().ends_with("done"));
  client.close();
  CHECK(waitFor([&] { return fixture.Gateway->countConnections() == 0; }));
  CHECK(fixture.Cancelled == 0);
}
