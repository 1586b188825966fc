// Tests which requests a narrow link refuses while a large answer is on it.
#include "entry/tests/EntryFixture.h"

using namespace magnoliamill;
using namespace magnoliamill::entry;
using namespace magnoliamill::entry::tests;

namespace {

constexpr double LinkMbps = 5;
constexpr base::Duration SmallObjective = 500ms;
/// Takes 400 ms of the whole link.
constexpr std::size_t LargeBytes = 250'000;

std::string makeHead(std::size_t bytes) {
  return "HTTP/1.1 200 OK\r\nMark: yes\r\nContent-Length: " +
         std::to_string(bytes) + "\r\n\r\n";
}

routing::Route makeRoute(const std::string &prefix, routing::RouteKind kind,
                         base::Duration objective) {
  auto route = entry::tests::makeRoute(prefix, kind);
  route.LatencyObjective = objective;
  return route;
}

/// A request handler on a narrow link, with one target that answers at once:
/// "/file/" with LargeBytes, everything else with two bytes.
class NarrowEntry {
public:
  NarrowEntry() {
    Settings.Vm = "f1";
    Settings.DataCentre = "dc-a";
    Settings.LinkMbps = LinkMbps;
    fleet::ViewUpdate update;
    update.Version = {1, 1};
    update.IsWhole = true;
    update.Items.Routes = {
        makeRoute("/read/", routing::RouteKind::Idempotent, SmallObjective),
        makeRoute("/file/", routing::RouteKind::Download, 6s)};
    routing::Service vault;
    vault.Name = "vault";
    vault.Version = 1;
    update.Items.Services = {vault};
    fleet::Target target;
    target.Instance = {"t-1", 1};
    target.Address = "127.0.0.1:" + std::to_string(Server.address().Port);
    target.Service = "vault";
    target.DataCentre = "dc-a";
    update.Targets = {target};
    EventLoop.run([&] {
      Handler = std::make_unique<RequestHandler>(EventLoop.EventLoop, Settings,
                                                 Format, View);
      View.apply(update);
      Handler->onView();
    });
  }
  ~NarrowEntry() {
    EventLoop.run([&] { Handler.reset(); });
  }

  AnswerCollector send(const std::string &method, const std::string &path) {
    AnswerCollector answer;
    gateway::HttpCall call;
    call.Method = method;
    call.Target = path;
    EventLoop.run([&] {
      Handler->handle(std::move(call), answer.makeSink(),
                      RequestOrigin::Client);
    });
    return answer;
  }
  int request(const std::string &method, const std::string &path) {
    const auto answer = send(method, path);
    REQUIRE(waitFor([&] { return answer.isEnded(); }));
    return answer.status();
  }
  /// Bytes of large answers whose head has arrived.
  std::uint64_t owedBytes() {
    std::uint64_t bytes = 0;
    EventLoop.run([&] { bytes = Handler->owedBytes(); });
    return bytes;
  }

private:
  static void answer(ScriptedServer::Peer &peer, std::size_t) {
    for (auto text = peer.readRequest(); !text.empty();
         text = peer.readRequest()) {
      if (text.find(" /file/") == std::string::npos)
        peer.send(makeHead(2) + "ok");
      else if (text.starts_with("HEAD"))
        peer.send(makeHead(100 * LargeBytes));
      else
        peer.send(makeHead(LargeBytes) + std::string(LargeBytes, 'x'));
    }
  }

  ScriptedServer Server{answer};
  ScopedEventLoop EventLoop;
  fleet::FleetSettings Settings;
  EntryFormat Format = makeFormat();
  fleet::View View;
  std::unique_ptr<RequestHandler> Handler;
};

} // namespace

TEST_CASE("A large answer leaves room for small ones") {
  NarrowEntry entry;
  // Its size is known from then on.
  REQUIRE(entry.request("GET", "/file/1") == 200);

  SECTION("a small request is answered while the large answer is passed on") {
    const auto large = entry.send("GET", "/file/2");
    REQUIRE(waitFor([&] { return entry.owedBytes() > 0; }));
    const auto start = base::readMonotonic();
    CHECK(entry.request("GET", "/read/1") == 200);
    CHECK(base::readMonotonic() - start < SmallObjective);
    CHECK(waitFor([&] { return large.isEnded(); }));
    CHECK(large.body().size() == LargeBytes);
  }
  SECTION("a head without its body takes no part of the link") {
    CHECK(entry.request("HEAD", "/file/3") == 200);
    CHECK(entry.request("GET", "/read/1") == 200);
  }
}
