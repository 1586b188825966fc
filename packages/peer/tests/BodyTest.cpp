// Checks that large answers arrive complete, at the pace of the reader, and are
// never kept in memory as a whole.
#include "PeerNode.h"
#include "TcpRelay.h"
#include "peer/internal/AnswerRelay.h"
#include "peer/internal/PeerMetrics.h"

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>

using namespace magnoliamill;
using namespace magnoliamill::peer;
using namespace magnoliamill::peer::tests;
using base::ResultCode;

namespace {

constexpr std::size_t ChunkBytes = 64u << 10;

// Sends a body of counting bytes in chunks, then its end or a failure.
struct BodyProducer : std::enable_shared_from_this<BodyProducer> {
  std::size_t Total = 32u << 20;
  bool HasLength = true;
  std::optional<protocol::RequestFailure> FinalFailure;
  std::atomic<std::size_t> Sent{0};
  std::atomic<int> Cancelled{0};
  protocol::AnswerSink Sink;

  PeerHandlers makeHandlers() {
    PeerHandlers handlers;
    handlers.OnForward = [this](auto, auto sink) -> protocol::CancelHook {
      Sink = sink;
      protocol::AnswerHead head;
      head.Status = 200;
      if (HasLength)
        head.Length = Total;
      Sink.Head(head);
      sendNext();
      return [this] { ++Cancelled; };
    };
    return handlers;
  }
  void sendNext() {
    std::size_t n = std::min(ChunkBytes, Total - Sent);
    if (n > 0) {
      std::string chunk(n, '\0');
      for (std::size_t i = 0; i < n; ++i)
        chunk[i] = static_cast<char>((Sent + i) % 251);
      Sent += n;
      return Sink.Chunk(std::move(chunk), [this] { sendNext(); });
    }
    if (FinalFailure)
      Sink.Fail(*FinalFailure);
    else
      Sink.End();
  }
};

bool hasCountingBytes(std::string_view body) {
  for (std::size_t i = 0; i < body.size(); ++i)
    if (body[i] != static_cast<char>(i % 251))
      return false;
  return true;
}

} // namespace

TEST_CASE("Answers of every size arrive complete", "[peer]") {
  for (std::size_t size : {std::size_t{0}, std::size_t{1}, ChunkBytes - 1,
                           ChunkBytes, ChunkBytes + 1, std::size_t{3u << 20}}) {
    for (bool length : {true, false}) {
      BodyProducer producer;
      producer.Total = size;
      producer.HasLength = length;
      PeerNode b("vm-b", producer.makeHandlers());
      PeerNode a("vm-a");
      REQUIRE(a.Links.start());
      REQUIRE(b.Links.start());
      REQUIRE(a.connect(b.address()));
      RecordedAnswer answer;
      a.Links.forward(b.Vm, makeRequest(), answer.makeSink());
      REQUIRE(answer.waitForEnd());
      REQUIRE(answer.code() == ResultCode::Ok);
      REQUIRE(answer.Body.size() == size);
      REQUIRE(hasCountingBytes(answer.Body));
      a.Links.stop();
      b.Links.stop();
      REQUIRE(producer.Cancelled == 0);
    }
  }
}

TEST_CASE("A small answer takes one call", "[peer]") {
  BodyProducer producer;
  producer.Total = 1000;
  PeerNode b("vm-b", producer.makeHandlers());
  PeerNode a("vm-a");
  REQUIRE(a.Links.start());
  REQUIRE(b.Links.start());
  REQUIRE(a.connect(b.address()));
  double before = internal::metrics().Calls.Value();
  RecordedAnswer answer;
  a.Links.forward(b.Vm, makeRequest(), answer.makeSink());
  REQUIRE(answer.waitForEnd());
  REQUIRE(answer.Body.size() == producer.Total);
  REQUIRE(internal::metrics().Calls.Value() == before + 1);
}

TEST_CASE("A slow reader of 32 MB limits the bytes that the peer buffers",
          "[peer]") {
  // The producer's chunk, one in transit and one at the reader.
  constexpr std::size_t MaxHeld =
      4 * ChunkBytes + internal::AnswerRelay::InlineBytes;
  BodyProducer producer;
  PeerNode b("vm-b", producer.makeHandlers());
  PeerNode a("vm-a");
  REQUIRE(a.Links.start());
  REQUIRE(b.Links.start());
  REQUIRE(a.connect(b.address()));
  RecordedAnswer answer;
  auto cancel = a.Links.forward(b.Vm, makeRequest(), answer.makeSink());
  REQUIRE(answer.waitForBytes(1));
  answer.setReading(false);
  // Several heartbeats pass while nothing is read: the link stays up.
  auto pause = base::readMonotonic() + std::chrono::seconds(1);
  REQUIRE(waitFor([&] {
    REQUIRE(producer.Sent <= answer.size() + MaxHeld);
    return base::readMonotonic() > pause;
  }));
  REQUIRE(internal::metrics().AnswerBytesBuffered.Value() <=
          static_cast<double>(MaxHeld));

  SECTION("the answer arrives complete when the reader continues") {
    answer.setReading(true);
    REQUIRE(answer.waitForEnd());
    REQUIRE(answer.code() == ResultCode::Ok);
    REQUIRE(answer.Body.size() == producer.Total);
    REQUIRE(hasCountingBytes(answer.Body));
    REQUIRE(producer.Cancelled == 0);
  }
  SECTION("a cancel reaches the producer") {
    cancel();
    REQUIRE(waitFor([&] { return producer.Cancelled == 1; }));
    REQUIRE(answer.Ends == 0);
  }
  SECTION("stopping the producer's VM ends the request as lost") {
    b.Links.stop();
    REQUIRE(answer.waitForEnd());
    REQUIRE(answer.code() == ResultCode::OutcomeUnknownPeerLost);
    REQUIRE(answer.size() < producer.Total);
  }
  a.Links.stop();
  b.Links.stop();
  REQUIRE(internal::metrics().AnswerBytesBuffered.Value() == 0);
}

TEST_CASE("A truncated body is reported as a failure", "[peer]") {
  BodyProducer producer;
  producer.FinalFailure = {ResultCode::AnswerTruncated, "the target closed", 0};
  SECTION("within the first message") { producer.Total = 100; }
  SECTION("after many parts") { producer.Total = 1u << 20; }
  producer.HasLength = false;
  PeerNode b("vm-b", producer.makeHandlers());
  PeerNode a("vm-a");
  REQUIRE(a.Links.start());
  REQUIRE(b.Links.start());
  REQUIRE(a.connect(b.address()));
  RecordedAnswer answer;
  a.Links.forward(b.Vm, makeRequest(), answer.makeSink());
  REQUIRE(answer.waitForEnd());
  REQUIRE(answer.code() == ResultCode::AnswerTruncated);
  REQUIRE(answer.Ends == 1);
}

TEST_CASE("Chunks of a slow answer are passed on without waiting for the end",
          "[peer]") {
  PeerHandlers handlers;
  protocol::AnswerSink sink;
  std::atomic<bool> taken{false};
  handlers.OnForward = [&](auto, auto given) -> protocol::CancelHook {
    sink = given;
    taken = true;
    return [] {};
  };
  PeerNode b("vm-b", handlers);
  PeerNode a("vm-a");
  REQUIRE(a.Links.start());
  REQUIRE(b.Links.start());
  REQUIRE(a.connect(b.address()));
  RecordedAnswer answer;
  a.Links.forward(b.Vm, makeRequest(), answer.makeSink());
  REQUIRE(waitFor([&] { return taken.load(); }));
  sink.Head({200, {}, std::nullopt, "vm-b"});
  sink.Chunk("first", [] {});
  REQUIRE(answer.waitForBytes(5));
  REQUIRE(answer.Ends == 0);
  sink.Chunk("second", [] {});
  REQUIRE(answer.waitForBytes(11));
  sink.End();
  REQUIRE(answer.waitForEnd());
  REQUIRE(answer.Body == "firstsecond");
}
