// Prints throughput and latency of small requests; checks only that all
// succeed.
#include "PeerNode.h"

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace magnoliamill;
using namespace magnoliamill::peer;
using namespace magnoliamill::peer::tests;

namespace {

PeerHandlers makeDirectHandlers() {
  PeerHandlers handlers;
  handlers.OnForward = [](auto request, auto sink) -> protocol::CancelHook {
    sink.Head({200, {}, request.Body.size(), "vm-b"});
    sink.Chunk(std::move(request.Body), [sink] { sink.End(); });
    return [] {};
  };
  return handlers;
}

// Keeps a constant number of requests pending until Count have ended.
struct Load {
  PeerNode &From;
  base::VmId To;
  int Count;
  std::vector<double> Micros = std::vector<double>(std::size_t(Count));
  std::atomic<int> Started{0};
  std::atomic<int> Ended{0};
  std::atomic<int> Failed{0};

  void startNext() {
    int i = Started++;
    if (i >= Count)
      return;
    auto begin = std::chrono::steady_clock::now();
    protocol::AnswerSink sink;
    sink.Head = [](auto) {};
    sink.Chunk = [](auto, auto more) { more(); };
    sink.End = [this, i, begin] { end(i, begin); };
    sink.Fail = [this, i, begin](auto) {
      ++Failed;
      end(i, begin);
    };
    From.Links.forward(To, makeRequest(std::string(256, 'x')), sink);
  }
  void end(int i, std::chrono::steady_clock::time_point begin) {
    std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - begin;
    Micros[std::size_t(i)] = took.count();
    startNext();
    ++Ended;
  }
};

void measure(PeerNode &a, PeerNode &b, int count, int parallel) {
  Load load{a, b.Vm, count};
  auto begin = base::readMonotonic();
  for (int i = 0; i < parallel; ++i)
    load.startNext();
  REQUIRE(waitFor([&] { return load.Ended == count; }));
  auto took = base::readMonotonic() - begin;
  REQUIRE(load.Failed == 0);
  std::ranges::sort(load.Micros);
  auto quantile = [&](double q) {
    return load.Micros[std::size_t(q * (count - 1))];
  };
  fmt::print("forwards: {} under way: {}, per second: {:.0f}, round trip "
             "p50: {:.0f} us, p99: {:.0f} us\n",
             count, parallel, count * 1e6 / double(took.count()), quantile(0.5),
             quantile(0.99));
}

} // namespace

TEST_CASE("Ten thousand small requests succeed", "[peer]") {
  PeerNode b("vm-b", makeDirectHandlers());
  PeerNode a("vm-a");
  REQUIRE(a.Links.start());
  REQUIRE(b.Links.start());
  REQUIRE(a.connect(b.address()));
  for (int parallel : {1, 16, 64})
    measure(a, b, 10000, parallel);
}
