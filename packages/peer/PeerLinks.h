// Provides the links to the other VMs: Cap'n Proto RPC over TCP, run on a
// dedicated thread (the peer thread).
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

/// Handlers of the calls that peers make to this VM. They run on the peer
/// thread and must not block: they post the work to the event loop that
/// answers it. The reply function must be called once, from any thread. Calls
/// without a handler are refused.
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
  /// Writes the answer to the sink; returns the hook that cancels the request.
  std::function<protocol::CancelHook(protocol::ForwardRequest,
                                     protocol::AnswerSink)>
      OnForward;
};

struct PeerConfig {
  PeerAddress Self;
  /// A link on which nothing arrives for this long is closed and reopened.
  base::Duration SilenceLimit = std::chrono::milliseconds(600);
  base::Duration HeartbeatInterval = std::chrono::milliseconds(150);
  std::size_t RingCapacity = 16384;
  /// Limit of the bytes queued for one peer; calls beyond it fail with
  /// PeerQueueFull.
  std::size_t MaxQueuedBytesPerPeer = 8u << 20;
  /// When not empty, connections are accepted from these addresses only.
  std::vector<std::string> AllowedHosts;
  /// Restricts connections to AllowedHosts and the hosts of the current
  /// peers: a new VM has to be added to the settings before it connects.
  bool OnlyKnownHosts = false;
  /// Time limit for opening a link, including its first heartbeat.
  base::Duration ConnectTimeout = std::chrono::milliseconds(500);
  /// Exponential backoff between attempts to open a link: the mean delay
  /// starts at MinReconnectDelay and doubles up to MaxReconnectDelay. Each
  /// delay is jittered by +/- 50 %.
  base::Duration MinReconnectDelay = std::chrono::milliseconds(50);
  base::Duration MaxReconnectDelay = std::chrono::milliseconds(500);
  /// Sent to the peers with each heartbeat, for their logs.
  std::uint64_t Incarnation = 0;
};

/// Thread-safe unless stated otherwise. Every call has its own timeout and
/// timer. A reply function runs exactly once: on the peer thread, or
/// immediately on the calling thread when the call is refused (RingFull,
/// Stopping). Calls that fail before anything was written end with
/// PeerUnreachable, PeerQueueFull, RingFull or Stopping; later failures are
/// PeerTimeout or PeerProtocol, and the peer may have executed the call. A VM
/// has no link to itself.
class PeerLinks {
public:
  PeerLinks(PeerConfig config, PeerHandlers handlers);
  ~PeerLinks();

  /// Opens the listener and starts the thread. ListenFailed when the listener
  /// cannot be opened, for example because the address is in use; Stopping when
  /// start() or stop() was called before.
  base::Result<void> start();
  /// Ends the thread. Pending calls fail as if their link was lost; requests
  /// being served for peers are cancelled.
  void stop();
  /// The port of the listener; the port chosen by the system when the
  /// configured one is 0.
  std::uint16_t listenPort() const;

  /// Replaces the list of peers. Links to VMs that are no longer listed, or
  /// whose address has changed, are closed.
  void setPeers(std::vector<PeerAddress> peers);
  /// True while the last heartbeat answer of \p vm is not older than the
  /// silence limit.
  bool isAlive(const base::VmId &vm) const;

  /// One-way: lost messages are requested again by the receiver's replicated
  /// log.
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
  /// Forwards a caller's request to the VM \p to. NotRunPeerUnreachable,
  /// NotRunQueueFull and BodyTooLarge mean that nothing of the request was
  /// written to the link. Later failures are OutcomeUnknownPeerLost when the
  /// link is lost or silent, and OutcomeUnknownDeadline when the peer has not
  /// answered 100 ms after the deadline. Failures reported by the peer are
  /// passed on unchanged. After a cancel that takes effect in time the sink is
  /// not called any more.
  protocol::CancelHook forward(const base::VmId &to,
                               protocol::ForwardRequest request,
                               protocol::AnswerSink sink);

private:
  struct State;
  std::unique_ptr<State> Self;
};

} // namespace magnoliamill::peer
