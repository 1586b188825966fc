// Provides one outgoing connection to a peer: the stream, the RPC system and
// the client of the peer's interface.
#pragma once

#include "peer/internal/AbortReportingStream.h"
#include "peer/internal/LinkStream.h"
#include "protocol/internal/Wire.h"

#include <capnp/rpc-twoparty.h>

namespace magnoliamill::peer::internal {

/// Used on the peer thread only.
class LinkConnection {
public:
  /// \p abort is called with the reason when the RPC system ends the connection
  /// because of malformed input.
  LinkConnection(kj::Own<kj::AsyncIoStream> stream,
                 std::function<void(kj::StringPtr)> abort);
  ~LinkConnection() noexcept(false);
  KJ_DISALLOW_COPY(LinkConnection);

  protocol::wire::Peer::Client &remote() { return Remote; }
  base::MonoTime lastHeard() const { return Stream.lastHeard(); }
  /// Bytes of messages queued for writing.
  std::size_t queuedBytes() { return Network.getCurrentQueueSize(); }
  kj::Promise<void> onDisconnect() { return Network.onDisconnect(); }

private:
  // Each member uses earlier ones, so they are destroyed in reverse order.
  LinkStream Stream;
  AbortReportingStream Messages;
  capnp::TwoPartyVatNetwork Network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> Rpc;
  protocol::wire::Peer::Client Remote;
};

} // namespace magnoliamill::peer::internal
