// End-to-end tests in one process: caller, gateway, target client, fake target.
#include "Support.h"
#include "fakes/target/BodyStream.h"
#include "fakes/target/FakeTarget.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>

using namespace magnoliamill;
using namespace magnoliamill::gateway;
using namespace magnoliamill::gateway::tests;

namespace {

/// Returns the resident memory of this process in bytes.
std::size_t readResidentBytes() {
  std::ifstream file("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * 4096;
}

/// Gateway and target client on one event loop, the fake target on another.
struct Fixture {
  explicit Fixture(fakes::Behaviour conduct) {
    fakes::FakeTargetConfig target;
    target.InitialBehaviour = std::move(conduct);
    Target = std::make_shared<fakes::FakeTarget>(TargetLoop.EventLoop,
                                                 std::move(target));
    REQUIRE(Target->start());
    Client.emplace(GatewayLoop.EventLoop, TargetClientConfig{});
    GatewayHandlers handlers;
    handlers.OnRequest = [this](protocol::ForwardRequest request,
                                const protocol::AnswerSink &sink) {
      return forwardToTarget(std::move(request), sink);
    };
    GatewayConfig config;
    config.Host = "127.0.0.1";
    Gateway.emplace(GatewayLoop.EventLoop, std::move(config),
                    std::move(handlers));
    REQUIRE(Gateway->start());
  }
  ~Fixture() {
    GatewayLoop.run([this] {
      Gateway.reset();
      Client.reset();
    });
    Target->close();
    TargetLoop.run([] {});
  }

  protocol::CancelHook forwardToTarget(protocol::ForwardRequest request,
                                       const protocol::AnswerSink &sink) {
    TargetCall call;
    call.Address = {"127.0.0.1", Target->port()};
    call.Idempotent = request.Method == "GET";
    call.Request = std::move(request);
    call.Deadline = base::readMonotonic() + std::chrono::seconds(20);
    return Client->call(
        std::move(call), sink, [this, sink](const TargetOutcome &outcome) {
          LastCode = outcome.Code;
          if (!outcome.Answered)
            sink.Fail({outcome.MayHaveRun
                           ? base::ResultCode::OutcomeUnknownTargetLost
                           : base::ResultCode::NotRunTargetRefused,
                       outcome.Message, outcome.RetryAfterMs});
        });
  }

  ScopedEventLoop GatewayLoop;
  ScopedEventLoop TargetLoop;
  std::atomic<base::ResultCode> LastCode{base::ResultCode::Ok};
  std::shared_ptr<fakes::FakeTarget> Target;
  std::optional<TargetClient> Client;
  std::optional<HttpGateway> Gateway;
};

fakes::Behaviour makeFastBehaviour() {
  fakes::Behaviour conduct;
  conduct.ServiceMs = 0;
  return conduct;
}

} // namespace

TEST_CASE("Small requests are answered end to end") {
  Fixture fixture(makeFastBehaviour());
  RawClient client(fixture.Gateway->port());
  std::vector<std::int64_t> times;
  for (int n = 0; n < 2000; ++n) {
    const auto start = base::readMonotonic();
    client.send("POST /s/orders/jobs HTTP/1.1\r\nMill-Key: k1\r\n"
                "Content-Length: 4\r\n\r\nbody");
    const std::string answer = client.readAnswer();
    times.push_back((base::readMonotonic() - start).count());
    REQUIRE(answer.find("\"key\":\"k1\"") != std::string::npos);
  }
  std::ranges::sort(times);
  WARN("round trip through gateway and target, us: p50 "
       << times[times.size() / 2] << " p99 " << times[times.size() * 99 / 100]);
}

TEST_CASE("A body of 32 MB streams with bounded memory") {
  constexpr std::uint64_t Size = 32u << 20;
  fakes::Behaviour conduct = makeFastBehaviour();
  conduct.BodyBytes = Size;
  Fixture fixture(conduct);
  RawClient client(fixture.Gateway->port());
  const std::size_t before = readResidentBytes();
  std::size_t most = 0;
  client.send("GET /s/orders/proof HTTP/1.1\r\nConnection: close\r\n\r\n");
  const std::string head = client.readUntil("\r\n\r\n");
  CHECK(head.find("Content-Length: 33554432") != std::string::npos);
  std::uint64_t offset = 0;
  bool IsEqual = true;
  while (offset < Size) {
    const std::string part = client.readAvailable();
    if (part.empty())
      break;
    for (const char byte : part)
      IsEqual = IsEqual && byte == fakes::bodyByteAt(offset++);
    most = std::max(most, readResidentBytes());
  }
  CHECK(offset == Size);
  CHECK(IsEqual);
  CHECK(most - std::min(most, before) < (8u << 20));
}

TEST_CASE("A truncated answer of a target aborts the caller's connection") {
  fakes::Behaviour conduct = makeFastBehaviour();
  conduct.BodyBytes = 200'000;
  conduct.TruncateEvery = 1;
  Fixture fixture(conduct);
  RawClient client(fixture.Gateway->port());
  client.send("GET /s/orders/proof HTTP/1.1\r\n\r\n");
  const std::string answer = client.readAll();
  CHECK(answer.size() < 200'000);
  CHECK_FALSE(client.endedOrderly());
  CHECK(fixture.LastCode == base::ResultCode::AnswerTruncated);
}

TEST_CASE("A caller's disconnect cancels the request at the target") {
  fakes::Behaviour conduct;
  conduct.ServiceMs = 15'000;
  Fixture fixture(conduct);
  RawClient client(fixture.Gateway->port());
  client.send("POST /s/orders/jobs HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  RawClient probe(fixture.Target->port());
  auto ReadLoad = [&] {
    probe.send("GET /.mill/load HTTP/1.1\r\n\r\n");
    return probe.readAnswer();
  };
  CHECK(waitFor(
      [&] { return ReadLoad().find("\"running\":1") != std::string::npos; }));
  client.close();
  CHECK(waitFor(
      [&] { return ReadLoad().find("\"running\":0") != std::string::npos; }));
  CHECK(fixture.LastCode == base::ResultCode::NotRunCancelled);
}
