// One opened connection to a peer: stream, RPC system and the peer's calls.
#pragma once

#include "peer/internal/AbortReportingStream.h"
#include "peer/internal/LinkStream.h"
#include "protocol/internal/Wire.h"

#include <capnp/rpc-twoparty.h>

namespace magnoliamill::peer::internal {

/// Used on the peer thread only.
class LinkConnection {
public:
  LinkConnection(kj::Own<kj::AsyncIoStream> stream,
                 std::function<void(kj::StringPtr)> abort);
  ~LinkConnection() noexcept(false);
  KJ_DISALLOW_COPY(LinkConnection);

  protocol::wire::Peer::Client &remote() { return Remote; }
  base::MonoTime lastHeard() const { return Stream.lastHeard(); }
  /// Bytes of messages that wait to be written.
  std::size_t queuedBytes() { return Network.getCurrentQueueSize(); }
  kj::Promise<void> onDisconnect() { return Network.onDisconnect(); }

private:
  // In the order of dependence: the last goes first.
  LinkStream Stream;
  AbortReportingStream Messages;
  capnp::TwoPartyVatNetwork Network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> Rpc;
  protocol::wire::Peer::Client Remote;
};

} // namespace magnoliamill::peer::internal
