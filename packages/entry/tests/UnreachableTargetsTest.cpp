// Guards against an entry serving nobody when it alone has no path to targets.
#include "EntryFixture.h"
#include "base/Listener.h"
#include "entry/EntryNode.h"

#include <array>
#include <boost/asio/post.hpp>
#include <numeric>
#include <sys/socket.h>

using namespace magnoliamill;
using namespace magnoliamill::entry;
using namespace magnoliamill::entry::tests;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

constexpr const char *CoreHost = "127.0.79.1";
constexpr const char *CutHost = "127.0.79.2";
constexpr const char *SoundHost = "127.0.79.3";
constexpr std::size_t TargetCount = 4;

/// A port that is free on \p host.
std::uint16_t findFreePort(const std::string &host) {
  boost::asio::io_context context;
  tcp::acceptor acceptor(context, {boost::asio::ip::make_address(host), 0});
  return acceptor.local_endpoint().port();
}

/// An address that lets new connections hang: its queue of connections is full.
class SilentAddress {
public:
  SilentAddress()
      : Acceptor(Context, tcp::v4()), Fillers{tcp::socket(Context),
                                              tcp::socket(Context)} {
    Acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
    Acceptor.listen(0);
    const auto endpoint = Acceptor.local_endpoint();
    for (auto &filler : Fillers) {
      filler.open(tcp::v4());
      filler.native_non_blocking(true);
      // The result is "in progress" or, for the first ones, success.
      static_cast<void>(::connect(filler.native_handle(), endpoint.data(),
                                  static_cast<socklen_t>(endpoint.size())));
    }
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

private:
  boost::asio::io_context Context;
  tcp::acceptor Acceptor;
  std::array<tcp::socket, 2> Fillers;
};

/// A core that sends each entry a view with target addresses of its own.
class Core {
public:
  using Describe = std::function<fleet::ViewUpdate(const std::string &host)>;

  Core(base::EventLoopThread &loop, std::uint16_t port, Describe describe)
      : EventLoop(loop), DescribeView(std::move(describe)),
        Acceptor(loop.context()), Timer(loop.context()) {
    REQUIRE(base::openListener(Acceptor, CoreHost, port));
    accept();
    confirm();
  }
  void close() {
    Acceptor.close();
    Timer.cancel();
    for (const auto &link : Links)
      link->close();
  }

private:
  void accept() {
    Acceptor.async_accept([this](boost::system::error_code ec,
                                 tcp::socket socket) {
      if (ec)
        return;
      auto link = std::make_shared<fleet::Link>(EventLoop.context());
      Links.push_back(link);
      fleet::LinkHooks hooks;
      hooks.OnFrame = [this,
                       weak = std::weak_ptr(link)](const fleet::Frame &frame) {
        onFrame(*weak.lock(), frame);
      };
      link->accept(std::move(socket), std::move(hooks));
      accept();
    });
  }
  void onFrame(fleet::Link &from, const fleet::Frame &frame) {
    if (const auto *hello = std::get_if<fleet::Hello>(&frame)) {
      from.send(fleet::Hello{});
      from.send(DescribeView(hello->Host));
    }
    if (std::holds_alternative<fleet::EntriesAsk>(frame))
      from.send(fleet::EntryList{{{CutHost, "dc-a"}, {SoundHost, "dc-a"}}});
  }
  void confirm() {
    for (const auto &link : Links)
      link->send(fleet::ViewCurrent{{1, 1}});
    Timer.expires_after(200ms);
    Timer.async_wait([this](boost::system::error_code ec) {
      if (!ec)
        confirm();
    });
  }

  base::EventLoopThread &EventLoop;
  Describe DescribeView;
  tcp::acceptor Acceptor;
  boost::asio::steady_timer Timer;
  std::vector<std::shared_ptr<fleet::Link>> Links;
};

/// Two entries, four targets, and a core; the first entry gets \p addresses as
/// those of the targets, the second \p version as that of the routes.
class CutFleet {
public:
  CutFleet(bool keyed, const std::vector<std::string> &addresses,
           std::uint64_t version = 2)
      : IsKeyed(keyed), CutAddresses(addresses), SoundVersion(version),
        Client(EventLoop.EventLoop, {}) {
    EventLoop.run([this] {
      for (std::size_t i = 0; i < TargetCount; ++i) {
        Targets.push_back(makeTarget(i));
        REQUIRE(Targets.back()->start());
      }
      StubCore = std::make_unique<Core>(
          EventLoop.EventLoop, LinkPort,
          [this](const std::string &host) { return describe(host); });
      for (const char *host : {CutHost, SoundHost}) {
        fleet::FleetSettings settings;
        settings.Vm = host;
        settings.DataCentre = "dc-a";
        settings.Host = host;
        settings.LinkPort = LinkPort;
        settings.Seeds = {{CoreHost, 1}};
        settings.ClientListen = {host, ClientPort};
        settings.ReadinessListen = {host, ReadyPort};
        Entries.push_back(
            std::make_unique<EntryNode>(EventLoop.EventLoop, settings, Format));
        REQUIRE(Entries.back()->start());
      }
    });
  }
  ~CutFleet() {
    EventLoop.run([this] {
      Entries.clear();
      StubCore->close();
      for (const auto &target : Targets)
        target->close();
    });
  }

  bool isReady(const std::string &host) {
    return exchange({host, ReadyPort}, "GET", "/ready");
  }
  /// Sends \p n requests, four at a time, and returns how many were answered
  /// by a target.
  int countServed(const std::string &host, const std::string &method,
                  const std::string &path, int n) {
    constexpr int AtOnce = 4;
    std::atomic<int> left{n};
    std::vector<std::thread> callers;
    std::atomic<int> served{0};
    callers.reserve(AtOnce);
    for (int i = 0; i < AtOnce; ++i)
      callers.emplace_back([&] {
        while (left-- > 0)
          if (exchange({host, ClientPort}, method, path))
            ++served;
      });
    for (auto &caller : callers)
      caller.join();
    return served;
  }
  /// Requests that reached a target.
  int countRuns() const { return Runs; }
  /// From now on targets refuse requests and ask for a pause.
  void rest() { IsResting = true; }

private:
  std::shared_ptr<gateway::HttpServer> makeTarget(std::size_t i) {
    gateway::GatewayConfig config;
    config.Host = "127.0.0.1";
    config.Port = TargetPorts[i] = findFreePort(config.Host);
    return std::make_shared<gateway::HttpServer>(
        EventLoop.EventLoop, config,
        [this](const gateway::HttpCall &, const protocol::AnswerSink &sink) {
          ++Runs;
          protocol::AnswerHead head;
          head.Status = IsResting ? 503 : 200;
          if (IsResting)
            head.Headers = {{"Not-Run", "yes"}, {"Pause-Ms", "5000"}};
          else
            head.Headers = {{"Mark", "yes"}};
          gateway::sendAnswer(sink, std::move(head), "ok");
          return protocol::CancelHook();
        });
  }
  fleet::ViewUpdate describe(const std::string &host) const {
    fleet::ViewUpdate update;
    update.Version = {1, 1};
    update.IsWhole = true;
    update.Items.Routes = {
        makeRoute("/read/", routing::RouteKind::Idempotent),
        makeRoute("/order/", routing::RouteKind::AtMostOnce)};
    routing::Service vault;
    vault.Name = "vault";
    vault.Version = 1;
    vault.IsKeyed = IsKeyed;
    update.Items.Services = {vault};
    for (auto &route : update.Items.Routes)
      route.Version = host == CutHost ? 2 : SoundVersion;
    for (std::size_t i = 0; i < TargetCount; ++i) {
      fleet::Target target;
      target.Instance = {"t-" + std::to_string(i), 1};
      target.Address = host == CutHost
                           ? CutAddresses[i]
                           : "127.0.0.1:" + std::to_string(TargetPorts[i]);
      target.Service = "vault";
      target.DataCentre = "dc-a";
      update.Targets.push_back(target);
    }
    if (IsKeyed)
      update.Holders = {{"vault", 1, {{0, update.Targets[0].Instance}}}};
    return update;
  }
  bool exchange(const gateway::TargetAddress &address,
                const std::string &method, const std::string &path) {
    std::atomic<int> done{0};
    boost::asio::post(EventLoop.EventLoop.context(), [&] {
      Client.exchange(address, method, path, "", 5s,
                      [&](const base::Result<std::string> &reply) {
                        done = reply ? 1 : -1;
                      });
    });
    REQUIRE(waitFor([&] { return done != 0; }));
    return done > 0;
  }

  bool IsKeyed;
  std::vector<std::string> CutAddresses;
  /// Version of the routes at the entry that reaches targets; the other has 2.
  std::uint64_t SoundVersion;
  std::uint16_t LinkPort = findFreePort(CoreHost);
  std::uint16_t ClientPort = findFreePort(CutHost);
  std::uint16_t ReadyPort = findFreePort(SoundHost);
  std::array<std::uint16_t, TargetCount> TargetPorts{};
  EntryFormat Format = makeReadyFormat();
  std::atomic<int> Runs{0};
  std::atomic<bool> IsResting{false};
  ScopedEventLoop EventLoop;
  gateway::TargetClient Client;
  std::vector<std::shared_ptr<gateway::HttpServer>> Targets;
  std::unique_ptr<Core> StubCore;
  std::vector<std::unique_ptr<EntryNode>> Entries;

  static EntryFormat makeReadyFormat() {
    auto format = makeFormat();
    format.ReadinessPath = "/ready";
    return format;
  }
};

} // namespace

TEST_CASE("An entry without a path to targets serves as well as the others") {
  /// What the entry finds out in this time may cost requests.
  constexpr auto Warmup = 1s;
  constexpr int Count = 100;
  /// First attempts that may fail: 10, and one in 50.
  constexpr int MostFailed = 10 + Count / 50;
  const std::string path = GENERATE("/read/x", "/order/x");
  const bool keyed = GENERATE(false, true);
  const bool hangs = GENERATE(false, true);
  CAPTURE(path, keyed, hangs);
  const SilentAddress silent;
  const std::string address =
      hangs ? silent.address()
            : "127.0.0.1:" + std::to_string(findFreePort("127.0.0.1"));

  CutFleet fleet(keyed, std::vector(TargetCount, address));
  REQUIRE(waitFor(
      [&] { return fleet.isReady(CutHost) && fleet.isReady(SoundHost); }));
  const std::string method = path == "/read/x" ? "GET" : "POST";

  int warmed = 0;
  const auto end = std::chrono::steady_clock::now() + Warmup;
  while (std::chrono::steady_clock::now() < end)
    warmed += fleet.countServed(CutHost, method, path, 4);
  const int served = fleet.countServed(CutHost, method, path, Count);
  CHECK(served >= Count - MostFailed);
  CHECK(fleet.countServed(SoundHost, method, path, Count) == Count);

  if (method == "POST")
    CHECK(fleet.countRuns() == warmed + served + Count);
}

TEST_CASE("A relayed request does not reach a target that asked for a pause") {
  /// Requests that the target may get in its pause.
  constexpr int MostInPause = 2;
  const SilentAddress silent;
  CutFleet fleet(true, std::vector(TargetCount, silent.address()));
  REQUIRE(waitFor(
      [&] { return fleet.isReady(CutHost) && fleet.isReady(SoundHost); }));
  REQUIRE(waitFor(
      [&] { return fleet.countServed(CutHost, "GET", "/read/x", 4) == 4; }));

  fleet.rest();
  CHECK(fleet.countServed(CutHost, "GET", "/read/x", 1) == 0);
  const int before = fleet.countRuns();
  CHECK(fleet.countServed(CutHost, "GET", "/read/x", 40) == 0);
  CHECK(fleet.countServed(SoundHost, "GET", "/read/x", 40) == 0);
  CHECK(fleet.countRuns() - before <= MostInPause);
}

TEST_CASE("A relayed request is not handled by another configuration") {
  const auto version = GENERATE(std::uint64_t{1}, std::uint64_t{3});
  const SilentAddress silent;
  CutFleet fleet(false, std::vector(TargetCount, silent.address()), version);
  REQUIRE(waitFor(
      [&] { return fleet.isReady(CutHost) && fleet.isReady(SoundHost); }));
  CHECK(fleet.countServed(CutHost, "GET", "/read/x", 20) == 0);
  CHECK(fleet.countRuns() == 0);
}
