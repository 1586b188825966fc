// The links to the other VMs: Cap'n Proto RPC over TCP on one thread of its
// own.
#pragma once

#include "base/Ids.h"
#include "base/Result.h"
#include "base/Time.h"
#include "protocol/Messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace magnoliamill::peer {

struct PeerAddress {
  base::VmId Vm;
  /// Numeric IP.
  std::string Host;
  std::uint16_t Port = 0;
  bool operator==(const PeerAddress &) const = default;
};

/// What this VM does when a peer calls. All hooks run on the peer thread and
/// must not block: they post to the duty that answers. \p reply may be called
/// from any thread, once.
struct PeerHandlers {
  std::function<void(std::vector<protocol::GroupMessage>)> OnGroupMessages;
  std::function<void(protocol::ProposeRequest,
                     protocol::Reply<protocol::ProposeReply>)>
      OnPropose;
  std::function<void(protocol::FetchRequest,
                     protocol::Reply<protocol::FetchReply>)>
      OnFetch;
  std::function<void(protocol::LeaseRequest,
                     protocol::Reply<protocol::LeaseReply>)>
      OnLease;
  std::function<void(protocol::AnnounceRequest,
                     protocol::Reply<protocol::AnnounceReply>)>
      OnAnnounce;
  std::function<void(protocol::LedgerRequest,
                     protocol::Reply<protocol::LedgerReply>)>
      OnLedger;
  std::function<void(protocol::QueryRequest,
                     protocol::Reply<protocol::QueryReply>)>
      OnQuery;
  /// Answers into the sink; returns the hook that cancels.
  std::function<protocol::CancelHook(protocol::ForwardRequest,
                                     protocol::AnswerSink)>
      OnForward;
};

struct PeerConfig {
  PeerAddress Self;
  /// Links that say nothing for this long are closed and opened anew.
  base::Duration SilenceLimit = std::chrono::milliseconds(600);
  base::Duration HeartbeatInterval = std::chrono::milliseconds(150);
  std::size_t RingCapacity = 16384;
  /// Bytes that may wait for one peer before calls fail with PeerQueueFull.
  std::size_t MaxQueuedBytesPerPeer = 8u << 20;
  /// Only connections from these VMs' addresses are taken, when not empty.
  std::vector<std::string> AllowedHosts;
  /// Connections are also taken from the hosts of the peers set last, and from
  /// no others: a new VM has to be added to the settings before it connects.
  bool OnlyKnownHosts = false;
  /// Limit for opening a link, including its first heartbeat.
  base::Duration ConnectTimeout = std::chrono::milliseconds(500);
  /// Longest mean pause between two attempts to open a link; the first is
  /// MinReconnectDelay, each later one twice as long. Jittered by half.
  base::Duration MinReconnectDelay = std::chrono::milliseconds(50);
  base::Duration MaxReconnectDelay = std::chrono::milliseconds(500);
  /// Told to the peers with each heartbeat, for their logs.
  std::uint64_t Incarnation = 0;
};

/// Safe from any thread, unless said otherwise. Every call has its own timeout,
/// kept by own timers; a reply hook runs exactly once, on the peer thread, or
/// at once on the calling thread when the call is refused (RingFull, Stopping).
/// Failure before anything was written is PeerUnreachable, PeerQueueFull,
/// RingFull or Stopping; after that PeerTimeout or PeerProtocol: the peer may
/// have done it. A VM has no link to itself.
class PeerLinks {
public:
  PeerLinks(PeerConfig config, PeerHandlers handlers);
  ~PeerLinks();

  /// Opens the listener; ListenFailed when the address is taken.
  base::Result<void> start();
  /// Ends the thread. Calls under way fail as with a lost link; requests being
  /// served for peers are cancelled.
  void stop();
  /// The port of the listener, also when the configured one is 0.
  std::uint16_t listenPort() const;

  /// Replaces the address book. Links to VMs that are gone are closed.
  void setPeers(std::vector<PeerAddress> peers);
  /// True while the link to \p vm has answered within the silence limit.
  bool isAlive(const base::VmId &vm) const;

  /// One way: lost messages are the receiver's replicated log's to ask again.
  void sendGroupMessages(const base::VmId &to,
                         std::vector<protocol::GroupMessage> messages);
  void propose(const base::VmId &to, protocol::ProposeRequest request,
               base::Duration timeout,
               protocol::Reply<protocol::ProposeReply> reply);
  void fetch(const base::VmId &to, protocol::FetchRequest request,
             base::Duration timeout,
             protocol::Reply<protocol::FetchReply> reply);
  void renewLease(const base::VmId &to, protocol::LeaseRequest request,
                  base::Duration timeout,
                  protocol::Reply<protocol::LeaseReply> reply);
  void announce(const base::VmId &to, protocol::AnnounceRequest request,
                base::Duration timeout,
                protocol::Reply<protocol::AnnounceReply> reply);
  void ledger(const base::VmId &to, protocol::LedgerRequest request,
              base::Duration timeout,
              protocol::Reply<protocol::LedgerReply> reply);
  void query(const base::VmId &to, protocol::QueryRequest request,
             base::Duration timeout,
             protocol::Reply<protocol::QueryReply> reply);
  /// Forwards a caller's request. The failure is NotRunPeerUnreachable,
  /// NotRunQueueFull or BodyTooLarge only when nothing of the request was
  /// written to the link; otherwise, when the link is lost or silent,
  /// OutcomeUnknownPeerLost, and OutcomeUnknownDeadline when the peer says
  /// nothing by the deadline and a grace of 100 ms. The peer's own failures
  /// pass unchanged. After a cancel that came in time the sink hears nothing
  /// more.
  protocol::CancelHook forward(const base::VmId &to,
                               protocol::ForwardRequest request,
                               protocol::AnswerSink sink);

private:
  struct State;
  std::unique_ptr<State> Self;
};

} // namespace magnoliamill::peer
