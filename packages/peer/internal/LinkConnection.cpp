// Sets up the client side of a connection.
#include "peer/internal/LinkConnection.h"

namespace magnoliamill::peer::internal {
namespace {

protocol::wire::Peer::Client
bootstrap(capnp::RpcSystem<capnp::rpc::twoparty::VatId> &rpc) {
  capnp::MallocMessageBuilder message(4);
  auto id = message.initRoot<capnp::rpc::twoparty::VatId>();
  id.setSide(capnp::rpc::twoparty::Side::SERVER);
  return rpc.bootstrap(id).castAs<protocol::wire::Peer>();
}

} // namespace

LinkConnection::LinkConnection(kj::Own<kj::AsyncIoStream> stream,
                               std::function<void(kj::StringPtr)> abort)
    : Stream(kj::mv(stream)), Messages(Stream, std::move(abort)),
      Network(Messages, capnp::rpc::twoparty::Side::CLIENT),
      Rpc(capnp::makeRpcClient(Network)), Remote(bootstrap(Rpc)) {}

LinkConnection::~LinkConnection() noexcept(false) { Messages.ignoreAborts(); }

} // namespace magnoliamill::peer::internal
