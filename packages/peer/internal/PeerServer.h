// Serves the calls that a peer makes on one accepted connection.
#pragma once

#include "peer/internal/LoopContext.h"
#include "protocol/internal/Wire.h"

namespace magnoliamill::peer::internal {

/// Used on the peer thread only.
class PeerServer final : public protocol::wire::Peer::Server {
public:
  explicit PeerServer(LoopContext &context) : Context(context) {}

  kj::Promise<void> heartbeat(HeartbeatContext call) override;
  kj::Promise<void> deliver(DeliverContext call) override;
  kj::Promise<void> propose(ProposeContext call) override;
  kj::Promise<void> fetch(FetchContext call) override;
  kj::Promise<void> renewLease(RenewLeaseContext call) override;
  kj::Promise<void> announce(AnnounceContext call) override;
  kj::Promise<void> ledger(LedgerContext call) override;
  kj::Promise<void> query(QueryContext call) override;
  kj::Promise<void> forward(ForwardContext call) override;

private:
  LoopContext &Context;
};

} // namespace magnoliamill::peer::internal
