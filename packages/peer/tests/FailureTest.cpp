// Checks calls on links that are lost, silent, full or receive malformed input:
// every call ends once and reports correctly whether the peer may have run it.
#include "PeerNode.h"
#include "TcpRelay.h"
#include "base/Metrics.h"
#include "peer/internal/PeerMetrics.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace magnoliamill;
using namespace magnoliamill::peer;
using namespace magnoliamill::peer::tests;
using base::ResultCode;
using internal::metrics;

namespace {

// Accepts requests and never answers them.
struct NeverReplyingHandlers {
  std::atomic<int> Taken{0};
  std::atomic<int> Cancelled{0};

  PeerHandlers make() {
    PeerHandlers handlers;
    handlers.OnForward = [this](auto, auto) -> protocol::CancelHook {
      ++Taken;
      return [this] { ++Cancelled; };
    };
    handlers.OnLease = [this](auto, auto) { ++Taken; };
    return handlers;
  }
};

struct CallOutcome {
  std::atomic<int> Ends{0};
  std::atomic<ResultCode> Code{ResultCode::Ok};

  template <typename Reply> protocol::Reply<Reply> hook() {
    return [this](base::Result<Reply> result) {
      Code = result ? ResultCode::Ok : result.error().Code;
      ++Ends;
    };
  }
};

} // namespace

TEST_CASE("A link is lost while the peer has a request", "[peer]") {
  NeverReplyingHandlers mute;
  PeerNode b("vm-b", mute.make());
  REQUIRE(b.Links.start());
  TcpRelay relay(b.Links.listenPort());
  PeerNode a("vm-a");
  REQUIRE(a.Links.start());
  REQUIRE(a.connect(b.addressThrough(relay.port())));
  RecordedAnswer answer;
  a.Links.forward(b.Vm, makeRequest(), answer.makeSink());
  CallOutcome lease;
  a.Links.renewLease(b.Vm, {}, std::chrono::seconds(60),
                     lease.hook<protocol::LeaseReply>());
  REQUIRE(waitFor([&] { return mute.Taken == 2; }));

  SECTION("by a reset") { relay.cut(); }
  SECTION("because the connection goes silent") {
    relay.discardOnOpenConnections();
  }
  SECTION("because the peer stops") { b.Links.stop(); }
  SECTION("because the peer leaves the address book") { a.Links.setPeers({}); }
  SECTION("because this VM stops") { a.Links.stop(); }

  REQUIRE(answer.waitForEnd());
  REQUIRE(answer.code() == ResultCode::OutcomeUnknownPeerLost);
  REQUIRE(waitFor([&] { return lease.Ends == 1; }));
  REQUIRE(lease.Code == ResultCode::PeerTimeout);
  // The peer also detects the loss and cancels the request.
  REQUIRE(waitFor([&] { return mute.Cancelled == 1; }));
  REQUIRE(answer.Ends == 1);
}

TEST_CASE("A request to a peer without a link is reported as not run",
          "[peer]") {
  PeerNode b("vm-b");
  REQUIRE(b.Links.start());
  TcpRelay relay(b.Links.listenPort());
  PeerNode a("vm-a");
  REQUIRE(a.Links.start());
  REQUIRE(a.connect(b.addressThrough(relay.port())));
  relay.partition();
  REQUIRE(waitFor([&] { return !a.Links.isAlive(b.Vm); }));

  RecordedAnswer answer;
  // Until the silence is detected, a request may still be written.
  REQUIRE(waitFor([&] {
    RecordedAnswer attempt;
    a.Links.forward(b.Vm, makeRequest(), attempt.makeSink());
    return attempt.waitForEnd() &&
           attempt.code() == ResultCode::NotRunPeerUnreachable;
  }));
  CallOutcome lease;
  a.Links.renewLease(b.Vm, {}, std::chrono::seconds(60),
                     lease.hook<protocol::LeaseReply>());
  REQUIRE(waitFor([&] { return lease.Ends == 1; }));
  REQUIRE(lease.Code == ResultCode::PeerUnreachable);

  SECTION("the link is restored when the network is") {
    std::size_t before = relay.countAccepted();
    relay.heal();
    REQUIRE(waitFor([&] { return a.Links.isAlive(b.Vm); }));
    REQUIRE(relay.countAccepted() > before);
  }
}

TEST_CASE("A silent connection is replaced by a new one", "[peer]") {
  PeerNode b("vm-b");
  REQUIRE(b.Links.start());
  TcpRelay relay(b.Links.listenPort());
  PeerNode a("vm-a");
  REQUIRE(a.Links.start());
  REQUIRE(a.connect(b.addressThrough(relay.port())));
  for (int round = 0; round < 3; ++round) {
    std::size_t before = relay.countAccepted();
    relay.discardOnOpenConnections();
    REQUIRE(waitFor([&] { return relay.countAccepted() > before; }));
    REQUIRE(waitFor([&] { return a.Links.isAlive(b.Vm); }));
  }
}

TEST_CASE("Calls have their own time limits", "[peer]") {
  NeverReplyingHandlers mute;
  PeerNode b("vm-b", mute.make());
  PeerNode a("vm-a");
  REQUIRE(a.Links.start());
  REQUIRE(b.Links.start());
  REQUIRE(a.connect(b.address()));

  SECTION("a call ends with a timeout while the link stays up") {
    CallOutcome lease;
    a.Links.renewLease(b.Vm, {}, std::chrono::milliseconds(50),
                       lease.hook<protocol::LeaseReply>());
    REQUIRE(waitFor([&] { return lease.Ends == 1; }));
    REQUIRE(lease.Code == ResultCode::PeerTimeout);
    REQUIRE(a.Links.isAlive(b.Vm));
  }
  SECTION("a request ends after its deadline, and the peer cancels it") {
    auto request = makeRequest();
    request.DeadlineMs = 50;
    RecordedAnswer answer;
    a.Links.forward(b.Vm, request, answer.makeSink());
    REQUIRE(answer.waitForEnd());
    REQUIRE(answer.code() == ResultCode::OutcomeUnknownDeadline);
    REQUIRE(waitFor([&] { return mute.Cancelled == 1; }));
  }
}

TEST_CASE("A cancelled request is cancelled at the peer", "[peer]") {
  NeverReplyingHandlers mute;
  PeerNode b("vm-b", mute.make());
  PeerNode a("vm-a");
  REQUIRE(a.Links.start());
  REQUIRE(b.Links.start());
  REQUIRE(a.connect(b.address()));
  RecordedAnswer answer;
  auto cancel = a.Links.forward(b.Vm, makeRequest(), answer.makeSink());
  SECTION("after it was taken") {
    REQUIRE(waitFor([&] { return mute.Taken == 1; }));
    cancel();
    REQUIRE(waitFor([&] { return mute.Cancelled == 1; }));
  }
  SECTION("before it was taken") {
    cancel();
    // A later request on the same link shows that the cancel came before it.
    RecordedAnswer next;
    a.Links.forward(b.Vm, makeRequest(), next.makeSink());
    REQUIRE(waitFor([&] { return mute.Taken - mute.Cancelled == 1; }));
    b.Links.stop();
    REQUIRE(next.waitForEnd());
  }
  REQUIRE(answer.Ends == 0);
  cancel();
}

TEST_CASE("Failures reported by the peer are passed on unchanged", "[peer]") {
  PeerHandlers handlers;
  handlers.OnForward = [](auto, auto sink) -> protocol::CancelHook {
    sink.Fail({ResultCode::NotRunQueueFull, "all slots are taken", 250});
    return [] {};
  };
  PeerNode b("vm-b", handlers);
  PeerNode a("vm-a");
  REQUIRE(a.Links.start());
  REQUIRE(b.Links.start());
  REQUIRE(a.connect(b.address()));
  RecordedAnswer answer;
  a.Links.forward(b.Vm, makeRequest(), answer.makeSink());
  REQUIRE(answer.waitForEnd());
  REQUIRE(answer.Failure->Code == ResultCode::NotRunQueueFull);
  REQUIRE(answer.Failure->Message == "all slots are taken");
  REQUIRE(answer.Failure->RetryAfterMs == 250);
}

TEST_CASE("The queue to a peer is bounded", "[peer]") {
  NeverReplyingHandlers mute;
  PeerNode b("vm-b", mute.make());
  REQUIRE(b.Links.start());
  PeerNode a("vm-a", {}, [](PeerConfig &config) {
    config.MaxQueuedBytesPerPeer = 1u << 20;
    config.SilenceLimit = std::chrono::seconds(20);
  });
  REQUIRE(a.Links.start());
  REQUIRE(a.connect(b.address()));
  constexpr int Count = 64;
  std::vector<std::unique_ptr<RecordedAnswer>> answers;
  // 32 MB posted at once are far more than the socket and the queue can hold.
  for (int i = 0; i < Count; ++i) {
    answers.push_back(std::make_unique<RecordedAnswer>());
    a.Links.forward(b.Vm, makeRequest(std::string(512u << 10, 'x')),
                    answers.back()->makeSink());
  }
  auto CountRefused = [&] {
    return std::ranges::count_if(answers, [](auto &answer) {
      return answer->code() == ResultCode::NotRunQueueFull;
    });
  };
  REQUIRE(waitFor([&] { return mute.Taken + CountRefused() == Count; }));
  REQUIRE(CountRefused() > 0);
  REQUIRE(mute.Taken > 0);
  // A refused request was not taken by the peer: it was not run.
  b.Links.stop();
  for (auto &answer : answers)
    REQUIRE(answer->waitForEnd());
}

TEST_CASE("Malformed input closes only the link that carried it", "[peer]") {
  PeerNode b("vm-b");
  PeerNode a("vm-a");
  REQUIRE(a.Links.start());
  REQUIRE(b.Links.start());
  REQUIRE(a.connect(b.address()));
  double before = metrics().MalformedLinks.Value();

  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  socket.connect(
      {boost::asio::ip::address_v4::loopback(), b.Links.listenPort()});
  std::string garbage;
  SECTION("an invalid frame header") { garbage.assign(64, '\xff'); }
  SECTION("a valid frame with an invalid message") {
    garbage.assign("\0\0\0\0\2\0\0\0", 8);
    garbage.append(16, '\x77');
  }
  boost::asio::write(socket, boost::asio::buffer(garbage));
  REQUIRE(waitFor([&] { return metrics().MalformedLinks.Value() > before; }));
  // The connection is closed, possibly after an abort message.
  boost::system::error_code ec;
  std::array<char, 4096> buf{};
  while (!ec)
    socket.read_some(boost::asio::buffer(buf), ec);
  REQUIRE(a.Links.isAlive(b.Vm));
}

TEST_CASE("Only allowed hosts may connect", "[peer]") {
  double before = metrics().RefusedConnections.Value();
  PeerNode b("vm-b", {},
             [](PeerConfig &config) { config.AllowedHosts = {"127.0.0.2"}; });
  REQUIRE(b.Links.start());
  SECTION("others are refused") {
    PeerNode a("vm-a");
    REQUIRE(a.Links.start());
    a.Links.setPeers({b.address()});
    REQUIRE(
        waitFor([&] { return metrics().RefusedConnections.Value() > before; }));
    REQUIRE_FALSE(a.Links.isAlive(b.Vm));
  }
  SECTION("a VM connects from its own address") {
    PeerNode a("vm-a", {},
               [](PeerConfig &config) { config.Self.Host = "127.0.0.2"; });
    REQUIRE(a.Links.start());
    REQUIRE(a.connect(b.address()));
  }
}

TEST_CASE("Only the hosts of known peers may connect", "[peer]") {
  double before = metrics().RefusedConnections.Value();
  PeerNode b("vm-b", {},
             [](PeerConfig &config) { config.OnlyKnownHosts = true; });
  REQUIRE(b.Links.start());
  PeerNode a("vm-a");
  REQUIRE(a.Links.start());
  SECTION("an unknown host is refused") {
    b.Links.setPeers({{base::VmId("vm-c"), "127.0.0.2", 1}});
    a.Links.setPeers({b.address()});
    REQUIRE(
        waitFor([&] { return metrics().RefusedConnections.Value() > before; }));
    REQUIRE_FALSE(a.Links.isAlive(b.Vm));
    SECTION("until its VM is known") {
      b.Links.setPeers({a.address()});
      REQUIRE(waitFor([&] { return a.Links.isAlive(b.Vm); }));
    }
  }
}

TEST_CASE("A link whose other end is another VM stays down", "[peer]") {
  PeerNode b("vm-b");
  PeerNode a("vm-a");
  REQUIRE(a.Links.start());
  REQUIRE(b.Links.start());
  double before = metrics().LinksAlive.Value();
  double served = metrics().ConnectionsAccepted.Value();
  a.Links.setPeers({{base::VmId("vm-c"), "127.0.0.1", b.Links.listenPort()}});
  REQUIRE(
      waitFor([&] { return metrics().ConnectionsAccepted.Value() > served; }));
  REQUIRE_FALSE(a.Links.isAlive(base::VmId("vm-c")));
  REQUIRE(metrics().LinksAlive.Value() == before);
}
