// Test fixture: a core on loopback whose behaviour is a hook.
#pragma once

#include "base/Listener.h"
#include "fleet/Link.h"
#include "gateway/tests/Support.h"

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace magnoliamill::entry::tests {

/// Accepts links and passes their frames to a hook. The hook and the links
/// belong to the thread of this core.
class LoopbackCore {
public:
  using LinkPtr = std::shared_ptr<fleet::Link>;
  using FrameHook =
      std::function<void(const LinkPtr &from, const fleet::Frame &frame)>;

  explicit LoopbackCore(FrameHook hook, const std::string &host = "127.0.0.1",
                        std::uint16_t port = 0)
      : OnFrame(std::move(hook)), Acceptor(EventLoop.EventLoop.context()) {
    REQUIRE(base::openListener(Acceptor, host, port));
    EventLoop.run([this] { accept(); });
  }
  ~LoopbackCore() {
    EventLoop.run([this] {
      Acceptor.close();
      for (const auto &link : Links)
        link->close();
    });
  }

  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }
  /// Runs \p task on the thread of this core and waits for its end.
  void run(const std::function<void()> &task) { EventLoop.run(task); }
  void broadcast(const fleet::Frame &frame) {
    run([&] {
      for (const auto &link : Links)
        link->send(frame);
    });
  }

private:
  void accept() {
    Acceptor.async_accept([this](boost::system::error_code ec,
                                 boost::asio::ip::tcp::socket socket) {
      if (ec)
        return;
      auto link = std::make_shared<fleet::Link>(EventLoop.EventLoop.context());
      Links.push_back(link);
      fleet::LinkHooks hooks;
      hooks.OnFrame = [this,
                       weak = std::weak_ptr(link)](const fleet::Frame &frame) {
        if (const auto from = weak.lock())
          OnFrame(from, frame);
      };
      hooks.OnClosed = [](const std::string &) {};
      link->accept(std::move(socket), std::move(hooks));
      accept();
    });
  }

  gateway::tests::ScopedEventLoop EventLoop;
  FrameHook OnFrame;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::vector<LinkPtr> Links;
};

} // namespace magnoliamill::entry::tests
