// Tests how requests and answers share the memory of a VM.
#include "Support.h"
#include "gateway/HttpServer.h"

#include <catch2/catch.hpp>

using namespace magnoliamill;
using namespace magnoliamill::gateway;
using namespace magnoliamill::gateway::tests;

namespace {

constexpr std::size_t Megabyte = 1'000'000;
constexpr std::size_t Capacity = 8 * Megabyte;
constexpr std::size_t Large = 6 * Megabyte;

/// A server that counts the bytes of the bodies that it holds.
struct Fixture {
  Fixture() : Memory(std::make_shared<MessageMemory>(Capacity)) {
    GatewayConfig config;
    config.Host = "127.0.0.1";
    config.Limits.MaxBodyBytes = Large;
    Server = std::make_shared<HttpServer>(
        Runner.EventLoop, config, [](const HttpCall &, const auto &sink) {
          protocol::AnswerHead head;
          head.Status = 200;
          sendAnswer(sink, std::move(head), "ok");
          return protocol::CancelHook();
        });
    Server->limitMemory(Memory);
    REQUIRE(Server->start());
  }
  ~Fixture() {
    Server->close();
    Runner.run([] {});
  }
  static std::string head(std::size_t length) {
    return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
           std::to_string(length) + "\r\n\r\n";
  }
  std::size_t used() {
    std::size_t bytes = 0;
    Runner.run([&] { bytes = Memory->used(); });
    return bytes;
  }

  std::shared_ptr<MessageMemory> Memory;
  ScopedEventLoop Runner;
  std::shared_ptr<HttpServer> Server;
};

} // namespace

TEST_CASE("Requests are held beyond the memory for all") {
  auto memory = std::make_shared<MessageMemory>(Capacity);

  SECTION("a large request waits until an earlier one is released") {
    std::vector<MessageMemory::ReservationPtr> granted;
    auto first = memory->reserve(Large);
    REQUIRE(first);
    CHECK_FALSE(memory->reserve(Large));
    for (int n = 0; n < 2; ++n)
      memory->awaitRoom(Large, [&](MessageMemory::ReservationPtr reserved) {
        granted.push_back(std::move(reserved));
      });
    CHECK(granted.empty());
    CHECK(memory->waitingBytes() == 2 * Large);

    SECTION("small ones don't wait behind it") {
      CHECK(memory->reserve(MessageMemory::SmallBytes));
    }
    SECTION("they get room in turn") {
      first.reset();
      REQUIRE(granted.size() == 1);
      std::exchange(granted, {}).clear();
      CHECK(granted.size() == 1);
      CHECK_FALSE(memory->hasWaiting());
    }
    first.reset();
    while (!granted.empty())
      std::exchange(granted, {}).clear();
  }
  SECTION("one whose client has gone while it waited holds nothing") {
    auto first = memory->reserve(Large);
    memory->awaitRoom(Large, [](const MessageMemory::ReservationPtr &) {});
    first.reset();
    CHECK(memory->used() == 0);
  }
  SECTION("room for answers is left") {
    CHECK_FALSE(memory->canHold(Capacity));
    auto reserved = memory->reserve(Large);
    CHECK(memory->take(0, Megabyte));
    CHECK_FALSE(memory->take(Megabyte, Megabyte));
    memory->release(Megabyte);
  }
}

TEST_CASE("Callers shut each other out by the bodies that they send") {
  Fixture fixture;
  RawClient first(fixture.Server->port());
  RawClient second(fixture.Server->port());
  first.send(Fixture::head(Large));
  REQUIRE(waitFor([&] { return fixture.used() == Large; }));

  SECTION("a large body waits unread, and a small one is served") {
    second.send(Fixture::head(Large));
    RawClient small(fixture.Server->port());
    small.send(Fixture::head(4) + "body");
    CHECK(small.readAnswer().find("200 OK") != std::string::npos);
    first.send(std::string(Large, 'x'));
    CHECK(first.readAnswer().find("200 OK") != std::string::npos);
    second.send(std::string(Large, 'x'));
    CHECK(second.readAnswer().find("200 OK") != std::string::npos);
    CHECK(waitFor([&] { return fixture.used() == 0; }));
  }
  SECTION("one that sends slowly is refused while another waits") {
    second.send(Fixture::head(Large));
    CHECK(first.readAnswer().find("408") != std::string::npos);
    second.send(std::string(Large, 'x'));
    CHECK(second.readAnswer().find("200 OK") != std::string::npos);
  }
  SECTION("one that leaves while it waits takes nothing") {
    second.send(Fixture::head(Large));
    second.closeWithReset();
    first.send(std::string(Large, 'x'));
    CHECK(first.readAnswer().find("200 OK") != std::string::npos);
    first.close();
    CHECK(waitFor([&] { return fixture.used() == 0; }));
  }
  SECTION("one that is more than the memory is refused at once") {
    std::vector<std::unique_ptr<RawClient>> waiting;
    for (int n = 0; n < 3; ++n) {
      waiting.push_back(std::make_unique<RawClient>(fixture.Server->port()));
      waiting.back()->send(Fixture::head(Large));
    }
    const auto answer = waiting.back()->readAnswer();
    CHECK(answer.find("503") != std::string::npos);
    CHECK(answer.find("Retry-After") != std::string::npos);
    CHECK(answer.find("Mill-Outcome: not-run") != std::string::npos);
  }
}

TEST_CASE("A chunked body grows beyond the memory reserved for it") {
  Fixture fixture;
  RawClient client(fixture.Server->port());
  client.send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
              "chunked\r\n\r\n10\r\n0123456789abcdef\r\n");
  REQUIRE(waitFor([&] { return fixture.used() == MessageMemory::SmallBytes; }));
  const std::string chunk(MessageMemory::SmallBytes, 'x');
  client.send("10000\r\n" + chunk + "\r\n");
  CHECK(waitFor([&] { return fixture.used() == Large; }));
  client.send("0\r\n\r\n");
  CHECK(client.readAnswer().find("200 OK") != std::string::npos);
  CHECK(waitFor([&] { return fixture.used() == 0; }));
}
