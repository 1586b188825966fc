// The links of a core: one opened to each other core, and those opened to it.
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
  /// A frame on any link; \p host is the peer of a link that was opened from
  /// here, empty on links that were opened to here.
  std::function<void(const std::shared_ptr<Link> &, const std::string &host,
                     Frame)>
      OnFrame;
  /// A link that was opened to here has ended.
  std::function<void(const std::shared_ptr<Link> &)> OnEnded;
  /// The first frame of each link that is opened from here.
  std::function<Hello(const std::string &host)> MakeHello;
};

/// What is known of another core.
struct CorePeer {
  std::string DataCentre;
  std::uint64_t Incarnation = 0;
  /// When anything came from it, on either link.
  base::MonoTime LastHeard;
};

class CoreLinks {
public:
  CoreLinks(base::EventLoopThread &loop, std::string self, std::uint16_t port,
            CoreLinksHooks hooks);

  base::Result<void> listen();
  /// Keeps a link open to \p host.
  void add(const std::string &host);
  void send(const std::string &host, const Frame &frame);
  bool isOpen(const std::string &host) const;
  /// Sends pings, closes silent links, opens lost ones.
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
