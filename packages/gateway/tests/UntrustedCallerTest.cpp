// Guards against callers that make the gateway hold more than its limits, or
// that end its process by the way in which they send.
#include "GatewayFixture.h"

#include <future>

using namespace magnoliamill;
using namespace magnoliamill::gateway;
using namespace magnoliamill::gateway::tests;

namespace {

const std::string ChunkedPost =
    "POST /s/a/ HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("The end of an empty chunked body that arrives byte by byte ends the "
          "process") {
  GatewayFixture fixture;
  RawClient client(fixture.Gateway->port());
  for (const char byte : ChunkedPost + "0;x=y\r\nA: b\r\n\r\n") {
    client.send(std::string(1, byte));
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  fixture.answer(0, "ok");
  CHECK(client.readAnswer().ends_with("ok"));
  for (const char byte : ChunkedPost + "0\r\n\r\n") {
    client.send(std::string(1, byte));
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  fixture.answer(1, "ok");
  CHECK(client.readAnswer().ends_with("ok"));
}

TEST_CASE("Framing without end is kept") {
  constexpr std::size_t MaxBytes = 4 * MaxSocketBufferBytes;
  GatewayFixture fixture;
  struct Form {
    const char *Title;
    std::string Start;
    /// Repeated until the connection is closed.
    std::string Rest;
  };
  const std::vector<Form> forms = {
      {"trailer fields", ChunkedPost + "1\r\nx\r\n0\r\n", "A: b\r\n"},
      {"a trailer field", ChunkedPost + "0\r\nA: ", "b"},
      {"a chunk extension", ChunkedPost + "1;a=", "b"},
      {"a chunk size", ChunkedPost, "0"},
  };
  for (const auto &form : forms) {
    DYNAMIC_SECTION(form.Title) {
      RawClient client(fixture.Gateway->port());
      client.send(form.Start);
      std::string rest;
      while (rest.size() < 64'000)
        rest += form.Rest;
      std::size_t sent = 0;
      while (sent < MaxBytes && client.send(rest))
        sent += rest.size();
      CHECK(sent < MaxBytes);
      CHECK(fixture.countRequests() == 0);
    }
  }
  SECTION("header lines after 100-continue are no chunk") {
    RawClient client(fixture.Gateway->port());
    client.send("POST /s/a/ HTTP/1.1\r\nExpect: 100-continue\r\n"
                "Transfer-Encoding: chunked\r\n\r\n");
    CHECK(contains(client.readUntil("\r\n\r\n"), " 100 "));
    client.send("A: b\r\nA: b\r\n");
    CHECK(contains(client.readAnswer(), " 400 "));
    CHECK(fixture.countRequests() == 0);
  }
  SECTION("within the limit of headers it is accepted") {
    RawClient client(fixture.Gateway->port());
    client.send(ChunkedPost + std::string(10'000, '0') +
                "1;a=" + std::string(5000, 'b') +
                "\r\nx\r\n0\r\nA: " + std::string(15'000, 'b') + "\r\n\r\n");
    CHECK(fixture.request(0).Body == "x");
    fixture.answer(0, "ok");
    CHECK(client.readAnswer().ends_with("ok"));
  }
}

TEST_CASE("Callers that send nothing or slowly keep others out") {
  GatewayConfig config = makeConfig();
  config.Limits.MaxConnections = 2;
  GatewayFixture fixture(std::move(config));
  RawClient header(fixture.Gateway->port());
  header.send("GET /s/");
  RawClient idle(fixture.Gateway->port());
  REQUIRE(waitFor([&] { return fixture.Gateway->countConnections() == 2; }));
  RawClient third(fixture.Gateway->port());
  third.send(SimpleGet);
  fixture.answer(0, "third");
  CHECK(third.readAnswer().ends_with("third"));
  // An idle connection goes first; a header is received as before.
  CHECK(idle.readAll().empty());
  header.send("a/ HTTP/1.1\r\n\r\n");
  fixture.answer(1, "header");
  CHECK(header.readAnswer().ends_with("header"));
}

TEST_CASE("Callers together hold more input than the limit for all") {
  GatewayConfig config = makeConfig();
  config.Limits.MaxInputBytes = 400'000;
  GatewayFixture fixture(std::move(config));
  std::string fields;
  while (fields.size() < 8000)
    fields += "a:\r\n";
  std::vector<std::unique_ptr<RawClient>> clients;
  SECTION("headers that don't end are refused as not run") {
    // A header takes 192 bytes for each of its 2,000 fields.
    for (int n = 0; n < 2; ++n) {
      clients.push_back(std::make_unique<RawClient>(fixture.Gateway->port()));
      clients.back()->send("GET /s/a/ HTTP/1.1\r\n" + fields);
    }
    CHECK(waitFor([&] { return fixture.Gateway->countConnections() == 1; }));
    std::string answers;
    for (const auto &client : clients) {
      client->send("\r\n");
      answers += client->readAvailable();
      if (!answers.empty())
        break;
    }
    CHECK(contains(answers, " 503 "));
    CHECK(contains(answers, "Mill-Outcome: not-run"));
    CHECK(fixture.countRequests() <= 1);
  }
  SECTION("bytes behind a request that waits are not read without end") {
    constexpr std::size_t Callers = 40;
    for (std::size_t n = 0; n < Callers; ++n) {
      clients.push_back(std::make_unique<RawClient>(fixture.Gateway->port()));
      clients.back()->send(SimpleGet);
      (void)fixture.sink(n);
      clients.back()->send(std::string(30'000, 'x'));
    }
  }
  // An ordinary request is served beside them.
  RawClient client(fixture.Gateway->port());
  const auto before = fixture.countRequests();
  client.send("POST /s/b/ HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody");
  REQUIRE(waitFor([&] { return fixture.countRequests() > before; }));
  fixture.answer(fixture.countRequests() - 1, "fine");
  CHECK(client.readAnswer().ends_with("fine"));
}

TEST_CASE("A header field that the HTTP library can't hold ends the process") {
  GatewayConfig config = makeConfig();
  config.Limits.MaxHeaderBytes = 200'000;
  GatewayFixture fixture(std::move(config));
  const std::string field = "A: " + std::string(70'000, 'x') + "\r\n\r\n";
  SECTION("in a header") {
    RawClient client(fixture.Gateway->port());
    client.send("GET /s/a/ HTTP/1.1\r\n" + field);
    CHECK(contains(client.readAnswer(), " 431 "));
  }
  SECTION("in a trailer") {
    RawClient client(fixture.Gateway->port());
    client.send(ChunkedPost + "0\r\n" + field);
    CHECK(contains(client.readAnswer(), " 431 "));
  }
  CHECK(fixture.countRequests() == 0);
}

TEST_CASE("A request that a draining server has just accepted is cut off") {
  GatewayFixture fixture;
  std::vector<std::unique_ptr<RawClient>> clients;
  std::promise<void> drained;
  // The event loop is busy while they connect, and drains before it accepts.
  fixture.Runner.run([&] {
    for (int n = 0; n < 8; ++n) {
      clients.push_back(std::make_unique<RawClient>(fixture.Gateway->port()));
      clients.back()->send(SimpleGet);
    }
    fixture.Gateway->drain([&] { drained.set_value(); });
  });
  for (std::size_t n = 0; n < clients.size(); ++n)
    fixture.answer(n, "ok");
  for (const auto &client : clients) {
    CHECK(client->readAll().ends_with("ok"));
    client->close();
  }
  CHECK(drained.get_future().wait_for(std::chrono::seconds(10)) ==
        std::future_status::ready);
}
