// Provides the link to one peer: opens the connection, sends heartbeats, and
// closes and reopens the connection when the peer is silent.
#pragma once

#include "peer/internal/CallTable.h"
#include "peer/internal/ForwardCall.h"
#include "peer/internal/GroupMessageQueue.h"
#include "peer/internal/LinkConnection.h"
#include "peer/internal/LivenessTable.h"
#include "peer/internal/LoopContext.h"
#include "peer/internal/SilenceDetector.h"
#include "protocol/internal/CallCodec.h"

#include <memory>
#include <optional>
#include <unordered_map>

namespace magnoliamill::peer::internal {

/// Used on the peer thread only. Every call passed to it ends exactly once.
class PeerLink final : private kj::TaskSet::ErrorHandler {
public:
  /// \p next posts to the peer thread that a part of a forwarded answer is
  /// wanted: (number of the call, number of the part).
  using PartRequestHook = std::function<void(std::uint64_t, std::uint64_t)>;

  PeerLink(LoopContext &context, PeerAddress address,
           std::shared_ptr<AliveUntil> alive, PartRequestHook next);
  ~PeerLink() noexcept(false);
  KJ_DISALLOW_COPY(PeerLink);

  const PeerAddress &address() const { return Address; }

  /// One of the request functions of wire::Peer::Client.
  template <typename Params, typename Results>
  using Method = capnp::Request<Params, Results> (
      protocol::wire::Peer::Client::*)(kj::Maybe<capnp::MessageSize>);
  template <typename Params, typename Results, typename Request, typename Reply>
  void call(Method<Params, Results> method, const Request &request,
            base::Duration timeout, protocol::Reply<Reply> reply);
  void forward(std::uint64_t id, const protocol::ForwardRequest &request,
               protocol::AnswerSink sink);
  void cancelForward(std::uint64_t id) { Forwards.erase(id); }
  void readForwardPart(std::uint64_t id, std::uint64_t part);

  void queueMessages(std::vector<protocol::GroupMessage> messages);
  /// Sends the messages that queueMessages collected in this turn of the event
  /// loop.
  void flushMessages();
  /// Fails all pending calls with \p error and refuses further ones.
  void shutDown(const base::Error &error);

private:
  void open();
  kj::Promise<kj::Own<kj::AsyncIoStream>> connect();
  kj::Promise<void> handshake(kj::Own<kj::AsyncIoStream> stream);
  void markUp();
  void scheduleReconnect();
  kj::Promise<void> heartbeatLoop(std::uint64_t generation);
  void sendHeartbeat();
  void extendLiveness();
  /// Closes the current connection, fails its calls and schedules a reconnect.
  void closeAndReconnect(const base::Error &error);
  void closeConnection(const base::Error &error);
  void sendBatch(GroupMessageQueue::Batch batch);
  std::optional<base::Error> findRefusal(std::size_t bytes);
  void taskFailed(kj::Exception &&exception) override;

  LoopContext &Context;
  const PeerAddress Address;
  const std::shared_ptr<AliveUntil> AliveDeadline;
  const PartRequestHook RequestPart;
  // Number of the current connection: events of earlier ones are ignored.
  std::uint64_t Generation = 0;
  unsigned FailedAttempts = 0;
  bool IsUp = false;
  bool IsShutDown = false;
  kj::Maybe<kj::Own<LinkConnection>> Connection;
  std::optional<SilenceDetector> Silence;
  GroupMessageQueue Messages;
  CallTable Calls;
  std::unordered_map<std::uint64_t, std::unique_ptr<ForwardCall>> Forwards;
  // Declared last: the tasks are destroyed before the members they use.
  kj::TaskSet Tasks;
};

template <typename Params, typename Results, typename Request, typename Reply>
void PeerLink::call(Method<Params, Results> method, const Request &request,
                    base::Duration timeout, protocol::Reply<Reply> reply) {
  std::size_t bytes = protocol::internal::estimateBytes(request);
  if (auto error = findRefusal(bytes))
    return reply(base::fail(std::move(*error)));
  KJ_IF_MAYBE (connection, Connection) {
    auto message = ((*connection)->remote().*method)(
        capnp::MessageSize{bytes / sizeof(capnp::word) + 1, 0});
    protocol::internal::encode(request, message.initRequest());
    using Response = capnp::Response<Results>;
    Calls.run<Response>(
        message.send(),
        [reply](Response &&response) {
          auto result = response.getResult();
          if (result.isFailure())
            return reply(base::fail(
                protocol::internal::decodeError(result.getFailure())));
          reply(protocol::internal::decode(result.getOk()));
        },
        [reply](CallFault, base::Error error) {
          reply(base::fail(std::move(error)));
        },
        timeout);
  }
}

} // namespace magnoliamill::peer::internal
