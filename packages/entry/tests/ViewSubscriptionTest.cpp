// Tests how long an entry stays without updates of the view when cores are cut
// off.
#include "LoopbackCore.h"
#include "SubscribedEntry.h"

#include <array>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

using namespace magnoliamill;
using namespace magnoliamill::entry;
using namespace magnoliamill::entry::tests;
using namespace std::chrono_literals;
using gateway::tests::waitFor;

namespace {

/// The time after its acknowledgement at which a departure is in force.
constexpr base::Duration DrainTime = 2s;
/// How often the leader confirms the view.
constexpr base::Duration ConfirmInterval = 400ms;
constexpr std::array Hosts{"127.0.81.1", "127.0.81.2", "127.0.81.3"};
constexpr fleet::ViewVersion OldView{1, 1};
constexpr fleet::ViewVersion NewView{1, 2};

std::uint16_t findFreePort() {
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(
      context, {boost::asio::ip::make_address(Hosts.front()), 0});
  return acceptor.local_endpoint().port();
}

fleet::ViewUpdate makeView(fleet::ViewVersion version) {
  fleet::ViewUpdate update;
  update.Version = version;
  update.IsWhole = true;
  for (const auto *host : Hosts)
    update.Cores.push_back({host, "dc-a"});
  return update;
}

/// Three cores with the same view until some of them are cut off from
/// the leader: the one that the entry follows, then those that it contacts
/// next.
class Cores {
public:
  std::uint16_t port() const { return Port; }
  /// All cores confirm the view that they have in common.
  void confirmOld() {
    broadcast(OldView, [](const State &) { return true; });
  }
  /// The cores that are not cut off confirm the new view.
  void confirmNew() {
    broadcast(NewView, [](const State &core) { return core.HasNewView; });
  }
  /// If \p report, they send how long the leader has not confirmed their view.
  void cutOff(std::size_t count, bool report) {
    const std::lock_guard lock(Mutex);
    Followed->IsCutOff = true;
    ToCutOff = count - 1;
    CutAt = base::readMonotonic();
    ReportsAge = report;
  }

private:
  struct State {
    bool IsCutOff = false;
    bool HasNewView = false;
  };

  void onFrame(State &core, const LoopbackCore::LinkPtr &from,
               const fleet::Frame &frame) {
    const auto *hello = std::get_if<fleet::Hello>(&frame);
    if (!hello)
      return;
    const std::lock_guard lock(Mutex);
    Followed = &core;
    if (CutAt && !core.IsCutOff && !core.HasNewView) {
      core.IsCutOff = ToCutOff > 0;
      core.HasNewView = !core.IsCutOff;
      ToCutOff -= core.IsCutOff ? 1 : 0;
    }
    const auto version = core.HasNewView ? NewView : OldView;
    if (hello->KnownView < version)
      from->send(makeView(version));
    if (core.IsCutOff && ReportsAge)
      from->send(fleet::ViewCurrent{OldView, base::readMonotonic() - *CutAt});
  }
  LoopbackCore::FrameHook hookOf(State &core) {
    return [this, &core](const auto &from, const auto &frame) {
      onFrame(core, from, frame);
    };
  }
  void broadcast(fleet::ViewVersion version,
                 const std::function<bool(const State &)> &filter) {
    for (std::size_t i = 0; i < All.size(); ++i) {
      std::unique_lock lock(Mutex);
      const bool HasVersion = filter(States[i]);
      lock.unlock();
      if (HasVersion)
        All[i].broadcast(fleet::ViewCurrent{version});
    }
  }

  std::uint16_t Port = findFreePort();
  std::mutex Mutex;
  std::array<State, 3> States;
  /// The core that the entry contacted last.
  State *Followed = nullptr;
  std::size_t ToCutOff = 0;
  std::optional<base::MonoTime> CutAt;
  bool ReportsAge = false;
  std::array<LoopbackCore, 3> All{
      LoopbackCore{hookOf(States[0]), Hosts[0], Port},
      LoopbackCore{hookOf(States[1]), Hosts[1], Port},
      LoopbackCore{hookOf(States[2]), Hosts[2], Port}};
};

/// A core that sends its view at a steady pace, as over a narrow link.
class SlowCore {
public:
  SlowCore(const char *host, std::uint16_t port, base::Duration duration)
      : Acceptor(EventLoop.EventLoop.context(),
                 {boost::asio::ip::make_address(host), port}),
        Timer(EventLoop.EventLoop.context()), PartInterval(duration / Parts) {
    auto view = makeView(OldView);
    // Names that don't compress.
    for (std::uint64_t n = 0; n < 2000; ++n)
      view.GoneTargets.push_back({std::to_string(base::hash64("t", n)), n});
    const auto frame = fleet::encodeShared(view);
    const auto header = static_cast<std::uint32_t>(
        frame->Bytes.size() | (frame->IsCompressed ? 1U << 31 : 0));
    Bytes.assign(reinterpret_cast<const char *>(&header), sizeof header);
    Bytes += frame->Bytes;
    EventLoop.run([this] { accept(); });
  }
  ~SlowCore() {
    EventLoop.run([this] {
      Acceptor.close();
      Timer.cancel();
      Socket.reset();
    });
  }
  /// Sends nothing more after this part of the view.
  void stopAfter(std::size_t part) { LastPart = part; }
  int countLinks() const { return Links; }

  static constexpr std::size_t Parts = 40;

private:
  void accept() {
    Acceptor.async_accept([this](boost::system::error_code ec,
                                 boost::asio::ip::tcp::socket socket) {
      if (ec)
        return;
      ++Links;
      Socket.emplace(std::move(socket));
      sendPart(0);
      accept();
    });
  }
  void sendPart(std::size_t part) {
    // The wait for this part may have ended before the socket was closed.
    if (!Socket || part >= LastPart)
      return;
    const auto begin = Bytes.size() * part / Parts;
    const auto end = Bytes.size() * (part + 1) / Parts;
    boost::system::error_code ec;
    boost::asio::write(
        *Socket, boost::asio::buffer(Bytes.data() + begin, end - begin), ec);
    Timer.expires_after(PartInterval);
    Timer.async_wait([this, part](boost::system::error_code error) {
      if (!error)
        sendPart(part + 1);
    });
  }

  gateway::tests::ScopedEventLoop EventLoop;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer Timer;
  base::Duration PartInterval;
  std::string Bytes;
  std::optional<boost::asio::ip::tcp::socket> Socket;
  std::atomic<int> Links{0};
  std::atomic<std::size_t> LastPart{Parts};
};

} // namespace

// The entry left each core before the view had arrived, and began anew at the
// next one: it had no later configuration until its link was faster.
TEST_CASE("An entry leaves cores that send a view over a narrow link") {
  const auto port = findFreePort();
  const std::array hosts{Hosts[0], Hosts[1]};
  constexpr base::Duration Transfer = 1800ms;
  SlowCore first(Hosts[0], port, Transfer);
  SlowCore second(Hosts[1], port, Transfer);

  SECTION("for any time") {
    const auto start = base::readMonotonic();
    const SubscribedEntry entry(hosts, port);
    REQUIRE(waitFor([&] { return entry.viewNumber() == OldView.Number; }));
    CHECK(base::toMs(base::readMonotonic() - start) < base::toMs(2 * Transfer));
    CHECK(first.countLinks() + second.countLinks() == 1);
  }
  SECTION("also if it takes longer than it waits at first") {
    SlowCore third(Hosts[2], port, 2 * Transfer);
    const SubscribedEntry entry(std::array{Hosts[2]}, port);
    CHECK(waitFor([&] { return entry.viewNumber() == OldView.Number; }));
    CHECK(third.countLinks() == 2);
  }
  SECTION("but not one that sends no more of it") {
    first.stopAfter(SlowCore::Parts / 2);
    second.stopAfter(SlowCore::Parts / 2);
    const SubscribedEntry entry(hosts, port);
    CHECK(waitFor(
        [&] { return first.countLinks() > 0 && second.countLinks() > 0; }));
  }
}

// The handler of a wait that had ended used the subscription that had just been
// destroyed; seen once, as an abort of the test of other builds.
TEST_CASE("The timer of a subscription that ends uses it") {
  gateway::tests::ScopedEventLoop loop;
  fleet::FleetSettings settings;
  ViewSubscriptionHooks hooks;
  hooks.DescribeCrashes = [] { return dispatch::CrashReport{}; };
  auto ending = std::make_unique<ViewSubscription>(loop.EventLoop, settings,
                                                   std::move(hooks));
  std::atomic<bool> IsDestroyed{false};
  loop.run([&] {
    ending->start();
    // The timer expires before the loop looks at it again.
    std::this_thread::sleep_for(300ms);
    boost::asio::post(loop.EventLoop.context(), [&] {
      ending.reset();
      IsDestroyed = true;
    });
  });
  CHECK(waitFor([&] { return IsDestroyed.load(); }));
  loop.run([] {});
}

TEST_CASE("An entry has the leader's view within the drain time although the "
          "cores that it contacts first are cut off") {
  const std::size_t CutOffCount = GENERATE(1, 2);
  const bool ReportsAge = GENERATE(false, true);
  Cores cores;
  const SubscribedEntry entry(Hosts, cores.port());
  REQUIRE(waitFor([&] { return entry.viewNumber() == OldView.Number; }));
  // The first view may lead the entry to another core.
  for (int i = 0; i < 5; ++i) {
    std::this_thread::sleep_for(ConfirmInterval / 4);
    cores.confirmOld();
  }

  cores.cutOff(CutOffCount, ReportsAge);
  const auto start = base::readMonotonic();
  auto ConfirmAt = start;
  while (entry.viewNumber() != NewView.Number &&
         base::readMonotonic() < start + DrainTime + 5s) {
    if (base::readMonotonic() >= ConfirmAt) {
      cores.confirmNew();
      ConfirmAt += ConfirmInterval;
    }
    std::this_thread::sleep_for(5ms);
  }
  const auto delay = base::readMonotonic() - start;
  CHECK(entry.viewNumber() == NewView.Number);
  CHECK(base::toMs(delay) <= base::toMs(DrainTime));
}
