// Opens, monitors and accepts links.
#include "fleet/internal/CoreLinks.h"

#include "base/Listener.h"
#include "base/Log.h"

namespace magnoliamill::fleet::internal {

using base::ResultCode;
using boost::asio::ip::tcp;

namespace {

constexpr base::Duration ReconnectDelay = std::chrono::milliseconds(250);
constexpr base::Duration PingInterval = std::chrono::milliseconds(300);
/// Time for three pings without an answer: the connection is dead, but a new
/// one may work.
constexpr base::Duration SilenceLimit = std::chrono::milliseconds(1000);

} // namespace

CoreLinks::CoreLinks(base::EventLoopThread &loop, std::string self,
                     std::uint16_t port, CoreLinksHooks hooks)
    : EventLoop(loop), Self(std::move(self)), Port(port),
      Hooks(std::move(hooks)), Acceptor(loop.context()) {}

base::Result<void> CoreLinks::listen() {
  if (auto listening = base::openListener(Acceptor, Self, Port); !listening)
    return listening;
  accept();
  return base::ok();
}

void CoreLinks::accept() {
  Acceptor.async_accept(
      [this](boost::system::error_code ec, tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted)
          return;
        if (!ec) {
          auto link = std::make_shared<Link>(EventLoop.context());
          Incoming.insert(link);
          std::weak_ptr<Link> weak = link;
          LinkHooks hooks;
          hooks.OnFrame = [this, weak](Frame frame) {
            if (auto from = weak.lock())
              Hooks.OnFrame(from, {}, std::move(frame));
          };
          hooks.OnClosed = [this, link](const std::string &reason) {
            base::logInfo("link", "an incoming link was closed",
                          {{"reason", reason}});
            Incoming.erase(link);
            Hooks.OnEnded(link);
          };
          link->accept(std::move(socket), std::move(hooks));
        }
        accept();
      });
}

void CoreLinks::add(const std::string &host) {
  if (host == Self || host.empty())
    return;
  Links.try_emplace(host);
}

void CoreLinks::connect(const std::string &host, Outgoing &outgoing) {
  auto link = std::make_shared<Link>(EventLoop.context());
  outgoing.Connection = link;
  LinkHooks hooks;
  hooks.OnFrame = [this, host, weak = std::weak_ptr(link)](Frame frame) {
    onReceived(host, base::readMonotonic());
    if (auto from = weak.lock())
      Hooks.OnFrame(from, host, std::move(frame));
  };
  hooks.OnClosed = [this, host,
                    weak = std::weak_ptr(link)](const std::string &reason) {
    auto it = Links.find(host);
    if (it == Links.end() || it->second.Connection != weak.lock())
      return;
    base::logInfo("link", "the link to a core is lost",
                  {{"core", host}, {"reason", reason}});
    it->second.Connection = nullptr;
    it->second.NextConnectTime = base::readMonotonic() + ReconnectDelay;
  };
  link->open(host, Port, std::move(hooks));
  link->send(Hooks.MakeHello(host));
}

void CoreLinks::send(const std::string &host, const Frame &frame) {
  auto it = Links.find(host);
  if (it != Links.end() && it->second.Connection)
    it->second.Connection->send(frame);
}

bool CoreLinks::isOpen(const std::string &host) const {
  auto it = Links.find(host);
  return it != Links.end() && it->second.Connection &&
         it->second.Connection->isOpen();
}

void CoreLinks::tick(base::MonoTime now) {
  for (auto &[host, outgoing] : Links) {
    if (!outgoing.Connection) {
      if (now >= outgoing.NextConnectTime)
        connect(host, outgoing);
      continue;
    }
    if (!outgoing.Connection->isOpen())
      continue;
    if (now - outgoing.Connection->lastHeard() > SilenceLimit) {
      base::logWarning("link", ResultCode::PeerTimeout,
                       "the link to a core went silent", {{"core", host}});
      outgoing.Connection->close();
      connect(host, outgoing);
      continue;
    }
    if (now >= outgoing.NextPingTime) {
      outgoing.NextPingTime = now + PingInterval;
      outgoing.Connection->send(Ping{});
    }
  }
}

void CoreLinks::onHello(const Hello &hello, base::MonoTime now) {
  add(hello.Host);
  CorePeer &peer = Peers[hello.Host];
  peer.DataCentre = hello.DataCentre;
  peer.Incarnation = hello.Incarnation;
  peer.Protocol = hello.Protocol;
  peer.LastHeard = now;
}

void CoreLinks::onReceived(const std::string &host, base::MonoTime now) {
  if (auto it = Peers.find(host); it != Peers.end())
    it->second.LastHeard = now;
}

void CoreLinks::closeAll() {
  boost::system::error_code ec;
  Acceptor.close(ec);
  for (auto &[host, outgoing] : Links)
    if (outgoing.Connection)
      outgoing.Connection->close();
  for (const auto &link : Incoming)
    link->close();
  Links.clear();
  Incoming.clear();
}

} // namespace magnoliamill::fleet::internal
