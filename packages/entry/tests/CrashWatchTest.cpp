// Tests which requests an entry holds responsible for the end of targets, and
// that it refuses them.
#include "EntryFixture.h"
#include "base/Listener.h"
#include "entry/RequestContent.h"

#include <thread>

using namespace magnoliamill;
using namespace magnoliamill::entry;
using namespace magnoliamill::entry::tests;
using namespace std::chrono_literals;

namespace {

void answer(Peer &peer, int) { peer.send(Answer); }

/// The content hash of a request as the fixture sends it.
std::uint64_t contentOf(const std::string &method, const std::string &path) {
  gateway::HttpCall call;
  call.Method = method;
  call.Target = path;
  return hashContent({"r-1", 3s, 7, "shop.test"}, call, "");
}

dispatch::CrashReport reportThree(std::uint64_t content) {
  return {{{content, "t-1", 0ms}, {content, "t-2", 0ms}, {content, "t-3", 0ms}},
          {}};
}

} // namespace

TEST_CASE("Targets that ended are told from lost connections") {
  ScopedEventLoop loop;
  boost::asio::ip::tcp::acceptor acceptor(loop.EventLoop.context());
  REQUIRE(base::openListener(acceptor, "127.0.0.1", 0));
  const gateway::TargetAddress address{"127.0.0.1",
                                       acceptor.local_endpoint().port()};
  std::atomic<int> reported{0};
  std::unique_ptr<node::CrashWatch> watch;
  loop.run([&] {
    watch = std::make_unique<node::CrashWatch>(loop.EventLoop, "test");
    watch->reportTo([&](const dispatch::CrashReport &report) {
      reported += static_cast<int>(report.Crashes.size());
    });
  });
  const auto lose = [&](const std::string &target) {
    loop.run([&] { watch->onLost(target, address, 17, "r-1"); });
  };
  const auto refused = [&] {
    bool result = false;
    loop.run([&] {
      result = watch->quarantine().endOf(17, base::readMonotonic()).has_value();
    });
    return result;
  };

  SECTION("a target that still listens has lost only a connection") {
    lose("t-1");
    std::this_thread::sleep_for(100ms);
    CHECK(reported == 0);
  }
  SECTION("three targets that don't: their request is refused") {
    loop.run([&] { acceptor.close(); });
    for (const auto *target : {"t-1", "t-1", "t-2"})
      lose(target);
    CHECK(waitFor([&] { return reported == 2; }));
    CHECK_FALSE(refused());
    lose("t-3");
    CHECK(waitFor([&] { return reported == 3; }));
    CHECK(refused());
  }
  loop.run([&] { watch.reset(); });
}

TEST_CASE("A request under which targets ended is refused at once") {
  Entry entry(answer);
  entry.report(reportThree(contentOf("GET", "/read/1")));
  CHECK(entry.request("GET", "/read/1") == 503);
  CHECK(entry.hasRetryAfter());
  CHECK(entry.countRequests() == 0);

  SECTION("others are sent") {
    CHECK(entry.request("GET", "/read/2") == 200);
    CHECK(entry.request("POST", "/order/1") == 200);
  }
  SECTION("until another entry has got an answer to it") {
    entry.report({{}, {contentOf("GET", "/read/1")}});
    CHECK(entry.request("GET", "/read/1") == 200);
  }
}

TEST_CASE("A request under which two targets ended is not retried") {
  Entry entry([](Peer &peer, int) { peer.close(); });
  auto two = reportThree(contentOf("GET", "/read/1"));
  two.Crashes.pop_back();
  entry.report(two);
  CHECK(entry.request("GET", "/read/1") == 502);
  CHECK(entry.countRequests() == 1);
  CHECK(entry.request("GET", "/read/2") == 502);
  CHECK(entry.countRequests() == 3);
}

TEST_CASE("An answered request is not held responsible any more") {
  Entry entry(answer);
  auto two = reportThree(contentOf("GET", "/read/1"));
  two.Crashes.pop_back();
  entry.report(two);
  CHECK(entry.request("GET", "/read/1") == 200);
  entry.report({{{contentOf("GET", "/read/1"), "t-3", 0ms}}, {}});
  CHECK(entry.request("GET", "/read/1") == 200);
}
