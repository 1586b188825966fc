// Implements the accepting side of the links.
#include "peer/internal/Acceptor.h"

#include "base/Log.h"
#include "peer/internal/AbortReportingStream.h"
#include "peer/internal/LinkStream.h"
#include "peer/internal/PeerMetrics.h"
#include "peer/internal/PeerServer.h"
#include "peer/internal/SilenceDetector.h"
#include "peer/internal/Sockets.h"

#include <algorithm>
#include <capnp/rpc-twoparty.h>
#include <kj/debug.h>

namespace magnoliamill::peer::internal {
namespace {

using base::ResultCode;

// Delay after accept failed, for example because no file descriptor was free.
constexpr kj::Duration AcceptRetryDelay = 50 * kj::MILLISECONDS;

std::string readPeerHost(kj::AsyncIoStream &stream) {
  sockaddr_storage address{};
  kj::uint length = sizeof address;
  stream.getpeername(reinterpret_cast<sockaddr *>(&address), &length);
  return formatHost(address);
}

void logMalformed(const std::string &host, kj::StringPtr reason) {
  metrics().MalformedLinks.Increment();
  base::logWarning("peer", ResultCode::PeerProtocol,
                   "closed a link that carried malformed input",
                   {{"host", host.c_str()}, {"reason", reason.cStr()}});
}

} // namespace

struct Acceptor::AcceptedConnection {
  AcceptedConnection(LoopContext &context, kj::Own<kj::AsyncIoStream> stream,
                     const std::string &host)
      : Stream(kj::mv(stream)),
        Messages(Stream,
                 [host](kj::StringPtr reason) { logMalformed(host, reason); }),
        Network(Messages, capnp::rpc::twoparty::Side::SERVER),
        Rpc(capnp::makeRpcServer(Network, kj::heap<PeerServer>(context))),
        Silence(context.Config.HeartbeatInterval, context.Config.SilenceLimit,
                base::readMonotonic()) {
    metrics().ConnectionsAccepted.Increment();
  }
  ~AcceptedConnection() noexcept(false) {
    Messages.ignoreAborts();
    metrics().ConnectionsAccepted.Decrement();
  }
  KJ_DISALLOW_COPY(AcceptedConnection);

  LinkStream Stream;
  AbortReportingStream Messages;
  capnp::TwoPartyVatNetwork Network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> Rpc;
  SilenceDetector Silence;
};

Acceptor::Acceptor(LoopContext &context,
                   kj::Own<kj::ConnectionReceiver> listener)
    : Context(context), Listener(kj::mv(listener)), Tasks(*this) {
  Tasks.add(acceptLoop());
}

kj::Promise<void> Acceptor::acceptLoop() {
  return Listener->accept()
      .then([this](kj::Own<kj::AsyncIoStream> stream) -> kj::Promise<void> {
        admit(kj::mv(stream));
        return kj::READY_NOW;
      })
      .catch_([this](kj::Exception &&exception) -> kj::Promise<void> {
        base::logWarning("peer", ResultCode::PeerRefused,
                         "cannot accept a connection",
                         {{"reason", exception.getDescription().cStr()}});
        return Context.Timer.afterDelay(AcceptRetryDelay);
      })
      .then([this] { return acceptLoop(); });
}

void Acceptor::admit(kj::Own<kj::AsyncIoStream> stream) {
  std::string host = readPeerHost(*stream);
  if (!isAllowed(host)) {
    metrics().RefusedConnections.Increment();
    base::logWarning("peer", ResultCode::PeerRefused,
                     "refused a connection from a host that is not a peer",
                     {{"host", host.c_str()}});
    return;
  }
  auto accepted = kj::heap<AcceptedConnection>(Context, kj::mv(stream), host);
  auto ended =
      accepted->Network.onDisconnect().exclusiveJoin(watchSilence(*accepted));
  Tasks.add(ended.attach(kj::mv(accepted)));
}

bool Acceptor::isAllowed(const std::string &host) const {
  const auto &allowed = Context.Config.AllowedHosts;
  if (std::ranges::find(allowed, host) != allowed.end())
    return true;
  if (Context.Config.OnlyKnownHosts)
    return Context.KnownHosts.contains(host);
  return allowed.empty();
}

kj::Promise<void> Acceptor::watchSilence(AcceptedConnection &accepted) {
  return Context.Timer
      .afterDelay(toKjDuration(Context.Config.HeartbeatInterval))
      .then([this, &accepted]() -> kj::Promise<void> {
        if (accepted.Silence.isSilent(accepted.Stream.lastHeard(),
                                      base::readMonotonic()))
          return kj::READY_NOW;
        return watchSilence(accepted);
      });
}

void Acceptor::taskFailed(kj::Exception &&exception) {
  base::logInfo("peer", "a connection from a peer ended",
                {{"reason", exception.getDescription().cStr()}});
}

} // namespace magnoliamill::peer::internal
