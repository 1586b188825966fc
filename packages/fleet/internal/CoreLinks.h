// The links of a core: an outgoing link to each other core, and the incoming
// links.
#pragma once

#include "base/EventLoopThread.h"
#include "base/Result.h"
#include "fleet/Link.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace magnoliamill::fleet::internal {

struct CoreLinksHooks {
  /// A frame was received. \p host is the peer of an outgoing link, and empty
  /// for an incoming one.
  std::function<void(const std::shared_ptr<Link> &, const std::string &host,
                     Frame)>
      OnFrame;
  /// An incoming link was closed.
  std::function<void(const std::shared_ptr<Link> &)> OnEnded;
  /// Returns the first frame of an outgoing link.
  std::function<Hello(const std::string &host)> MakeHello;
};

/// What this core knows about another core.
struct CorePeer {
  std::string DataCentre;
  std::uint64_t Incarnation = 0;
  /// When a hello was received from it, or any frame on the outgoing link.
  base::MonoTime LastHeard;
  /// Version of the protocol that it understands.
  std::uint16_t Protocol = FirstProtocolVersion;
};

class CoreLinks {
public:
  CoreLinks(base::EventLoopThread &loop, std::string self, std::uint16_t port,
            CoreLinksHooks hooks);

  base::Result<void> listen();
  /// Keeps an outgoing link to \p host, unless that is this VM.
  void add(const std::string &host);
  void send(const std::string &host, const Frame &frame);
  bool isOpen(const std::string &host) const;
  /// Sends pings, replaces silent links and reconnects lost ones.
  void tick(base::MonoTime now);
  void onHello(const Hello &hello, base::MonoTime now);
  void onReceived(const std::string &host, base::MonoTime now);
  const std::map<std::string, CorePeer> &peers() const { return Peers; }
  void closeAll();

private:
  struct Outgoing {
    std::shared_ptr<Link> Connection;
    base::MonoTime NextConnectTime;
    base::MonoTime NextPingTime;
  };
  void connect(const std::string &host, Outgoing &outgoing);
  void accept();

  base::EventLoopThread &EventLoop;
  std::string Self;
  std::uint16_t Port;
  CoreLinksHooks Hooks;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::map<std::string, Outgoing> Links;
  std::map<std::string, CorePeer> Peers;
  std::set<std::shared_ptr<Link>> Incoming;
};

} // namespace magnoliamill::fleet::internal
