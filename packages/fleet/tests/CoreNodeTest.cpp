// Tests which views a core sends to its subscribers.
#include "fleet/CoreNode.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <unistd.h>

using namespace magnoliamill;
using namespace magnoliamill::fleet;
using namespace std::chrono_literals;

namespace {

std::uint16_t findFreePort(boost::asio::io_context &context) {
  using boost::asio::ip::tcp;
  tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
  return acceptor.local_endpoint().port();
}

/// A core without peers, which becomes leader. Its event loop runs while the
/// test waits.
class SingleCore {
public:
  SingleCore()
      : Folder(std::filesystem::temp_directory_path() /
               ("mill-core-" + std::to_string(::getpid()))) {
    std::filesystem::remove_all(Folder);
    FleetSettings settings;
    settings.Vm = "c1";
    settings.VmDuty = fleet::Duty::Core;
    settings.Host = "127.0.0.1";
    settings.LinkPort = Port = findFreePort(EventLoop.context());
    settings.Seeds = {{"127.0.0.1", 1}};
    settings.DataFolder = Folder.string();
    settings.IsFirstStart = true;
    Node = std::make_unique<CoreNode>(EventLoop, settings, ControlFormat{});
    REQUIRE(Node->start());
  }
  ~SingleCore() {
    Node.reset();
    std::filesystem::remove_all(Folder);
  }

  /// False when \p condition did not hold within 10 s.
  bool runUntil(const std::function<bool()> &condition) {
    const auto end = base::readMonotonic() + 10s;
    while (!condition() && base::readMonotonic() < end)
      EventLoop.context().run_one_for(10ms);
    return condition();
  }

  base::EventLoopThread EventLoop{"core", 64};
  std::uint16_t Port = 0;

private:
  std::filesystem::path Folder;
  std::unique_ptr<CoreNode> Node;
};

/// An entry's link to the core; records the versions of the views received.
class Follower {
public:
  Follower(SingleCore &core, ViewVersion known)
      : Connection(std::make_shared<Link>(core.EventLoop.context())) {
    LinkHooks hooks;
    hooks.OnFrame = [this](const Frame &frame) {
      if (const auto *update = std::get_if<ViewUpdate>(&frame))
        Whole = update->IsWhole ? update->Version : Whole;
      if (const auto *current = std::get_if<ViewCurrent>(&frame))
        Current = current->Version;
    };
    hooks.OnClosed = [](const std::string &) {};
    Connection->open("127.0.0.1", core.Port, std::move(hooks));
    Hello hello;
    hello.Host = "10.0.0.9";
    hello.WantsView = true;
    hello.KnownView = known;
    Connection->send(hello);
  }
  ~Follower() { Connection->close(); }

  std::optional<ViewVersion> Whole;
  std::optional<ViewVersion> Current;
  base::MonoTime SubscribedAt = base::readMonotonic();

private:
  std::shared_ptr<Link> Connection;
};

} // namespace

TEST_CASE("A core sends its complete view to subscribers that don't have it") {
  SingleCore core;
  std::optional<ViewVersion> version;
  // The first subscribers may connect before the core leads.
  REQUIRE(core.runUntil([&] {
    Follower first(core, {});
    core.runUntil([&] { return first.Whole || first.Current; });
    version = first.Whole;
    return version.has_value();
  }));

  SECTION("a subscriber with another version is sent the view") {
    Follower behind(core, {version->Term, version->Number + 1});
    CHECK(core.runUntil([&] { return behind.Whole == version; }));
  }
  SECTION("a subscriber with this version is told that it is current") {
    Follower same(core, *version);
    CHECK(core.runUntil([&] { return same.Current == version; }));
    CHECK_FALSE(same.Whole);
    // At once: a subscriber leaves a core that has lost the leader.
    CHECK(base::readMonotonic() - same.SubscribedAt < 200ms);
  }
}
