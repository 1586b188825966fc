// Tests of the gateway's limits (malformed or oversized input, slow callers,
// too many connections) and of draining.
#include "GatewayFixture.h"

#include <future>

using namespace magnoliamill;
using namespace magnoliamill::gateway;
using namespace magnoliamill::gateway::tests;

TEST_CASE("Bad input gets an error code and does not affect other callers") {
  GatewayConfig config = makeConfig();
  config.Limits.HeaderTimeout = std::chrono::seconds(1);
  config.Limits.BodyTimeout = std::chrono::seconds(1);
  GatewayFixture fixture(std::move(config));
  RawClient bystander(fixture.Gateway->port());
  bystander.send(SimpleGet);
  auto sink = fixture.sink(0);
  RawClient client(fixture.Gateway->port());

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
      CHECK(fixture.countRequests() == 1);
      sink.Head({200, {}, 4, {}});
      sink.Chunk("fine", nullptr);
      sink.End();
      CHECK(bystander.readAnswer().ends_with("fine"));
    }
  }
}

TEST_CASE("Connections beyond the limit are refused") {
  GatewayConfig config = makeConfig();
  config.Limits.MaxConnections = 2;
  GatewayFixture fixture(std::move(config));
  RawClient first(fixture.Gateway->port());
  first.send(SimpleGet);
  (void)fixture.sink(0);
  RawClient second(fixture.Gateway->port());
  second.send(SimpleGet);
  (void)fixture.sink(1);
  RawClient third(fixture.Gateway->port());
  const std::string answer = third.readAll();
  CHECK(contains(answer, " 503 "));
  CHECK(contains(answer, "\"code\":2010"));
  fixture.answer(0, "one");
  CHECK(first.readAnswer().ends_with("one"));
}

TEST_CASE(
    "A caller that does not read causes at most one chunk to be buffered") {
  GatewayConfig config = makeConfig();
  config.Limits.WriteTimeout = std::chrono::milliseconds(300);
  GatewayFixture fixture(std::move(config));
  RawClient client(fixture.Gateway->port());
  client.send(SimpleGet);
  auto sink = fixture.sink(0);
  std::atomic<int> asked{0};
  std::function<void()> SendChunk = [&] {
    ++asked;
    sink.Chunk(std::string(1 << 20, 'x'), SendChunk);
  };
  sink.Head({200, {}, std::nullopt, {}});
  SendChunk();
  // The connection is aborted after the write timeout.
  CHECK(waitFor([&] { return fixture.Cancelled == 1; }));
  // The loopback socket buffers hold a few MB.
  CHECK(asked < 20);
}

TEST_CASE(
    "An expired idle connection is closed without reading late requests") {
  GatewayConfig config = makeConfig();
  config.Limits.IdleTimeout = std::chrono::milliseconds(1300);
  GatewayFixture fixture(std::move(config));
  RawClient client(fixture.Gateway->port());
  client.send("GET /healthz HTTP/1.1\r\n\r\n");
  // A caller that respects this timeout does not send just as the connection
  // is closed.
  CHECK(contains(client.readAnswer(), "Keep-Alive: timeout=1\r\n"));
  CHECK(client.readAll().empty());
  CHECK(client.endedOrderly());
  // A request that arrives later is answered by a reset, so the caller knows
  // that it was not read.
  client.send(SimpleGet);
  CHECK_FALSE(client.send(SimpleGet));
  CHECK(fixture.countRequests() == 0);
}

TEST_CASE("Draining completes all open requests") {
  GatewayFixture fixture;
  RawClient waiting(fixture.Gateway->port());
  waiting.send(SimpleGet);
  auto sink = fixture.sink(0);
  RawClient idle(fixture.Gateway->port());
  idle.send("GET /healthz HTTP/1.1\r\n\r\n");
  idle.readAnswer();
  RawClient partial(fixture.Gateway->port());
  partial.send("POST /s/a/ HTTP/1.1\r\nContent-Length: 4\r\n\r\nab");
  REQUIRE(waitFor([&] { return fixture.Gateway->countConnections() == 3; }));

  std::promise<void> drained;
  auto end = drained.get_future();
  fixture.Gateway->drain([&] { drained.set_value(); });
  // A request on an open connection shortly after the drain is still answered.
  idle.send("GET /healthz HTTP/1.1\r\n\r\n");
  CHECK(contains(idle.readAll(), "Connection: close"));
  partial.send("cd");
  fixture.answer(1, "whole");
  const std::string second = partial.readAll();
  CHECK(contains(second, "Connection: close"));
  CHECK(second.ends_with("whole"));
  CHECK_THROWS(RawClient(fixture.Gateway->port()));
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
