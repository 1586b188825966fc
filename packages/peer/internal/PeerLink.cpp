// Opens, monitors and closes the connection to a peer and sends calls and
// group messages over it.
#include "peer/internal/PeerLink.h"

#include "base/Log.h"
#include "peer/internal/PeerMetrics.h"
#include "peer/internal/Sockets.h"
#include "protocol/internal/ConsensusCodec.h"

#include <algorithm>
#include <fmt/format.h>
#include <kj/debug.h>
#include <kj/io.h>
#include <utility>

namespace magnoliamill::peer::internal {
namespace {

using base::ResultCode;
using protocol::internal::asText;
using protocol::internal::encode;
using protocol::internal::toString;

// The receiver refuses longer messages.
constexpr std::size_t MaxMessageBytes = 48u << 20;
constexpr unsigned MaxBackoffDoublings = 10;

kj::Exception disconnected(const base::Error &error) {
  return KJ_EXCEPTION(DISCONNECTED, error.Message.c_str());
}

} // namespace

PeerLink::PeerLink(LoopContext &context, PeerAddress address,
                   std::shared_ptr<AliveUntil> alive, PartRequestHook next)
    : Context(context), Address(std::move(address)),
      AliveDeadline(std::move(alive)), RequestPart(std::move(next)),
      Messages(context.Config.MaxQueuedBytesPerPeer), Calls(context),
      Tasks(*this) {
  open();
}

PeerLink::~PeerLink() noexcept(false) {
  shutDown({ResultCode::PeerTimeout, "the link was closed"});
}

// ---- opening ----

void PeerLink::open() {
  std::uint64_t generation = ++Generation;
  auto attempt = kj::evalNow([this] {
                   return connect();
                 }).then([this](kj::Own<kj::AsyncIoStream> stream) {
    return handshake(kj::mv(stream));
  });
  Tasks.add(
      Context.Timer
          .timeoutAfter(toKjDuration(Context.Config.ConnectTimeout),
                        kj::mv(attempt))
          .then(
              [this, generation] {
                if (generation == Generation)
                  markUp();
              },
              [this, generation](kj::Exception &&exception) {
                if (generation != Generation)
                  return;
                base::log(base::LogLevel::Debug, "peer",
                          ResultCode::PeerUnreachable, "cannot open a link",
                          {{"peer", Address.Vm.Value.c_str()},
                           {"reason", exception.getDescription().cStr()}});
                closeConnection(
                    {ResultCode::PeerUnreachable, "cannot open the link"});
                scheduleReconnect();
              }));
}

kj::Promise<kj::Own<kj::AsyncIoStream>> PeerLink::connect() {
  auto address = parseAddress(Address.Host, Address.Port);
  if (!address)
    return disconnected(address.error());
  auto socket = openClientSocket(Context.Config.Self.Host,
                                 address.value().Storage.ss_family);
  if (!socket)
    return disconnected(socket.error());
  constexpr auto Flags = kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
                         kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK;
  return Context.Io.lowLevelProvider->wrapConnectingSocketFd(
      kj::AutoCloseFd(socket.value()), address.value().get(),
      address.value().Length, Flags);
}

kj::Promise<void> PeerLink::handshake(kj::Own<kj::AsyncIoStream> stream) {
  auto connection =
      kj::heap<LinkConnection>(kj::mv(stream), [this](kj::StringPtr reason) {
        metrics().MalformedLinks.Increment();
        base::logWarning(
            "peer", ResultCode::PeerProtocol, "a peer sent malformed input",
            {{"peer", Address.Vm.Value.c_str()}, {"reason", reason.cStr()}});
      });
  auto request = connection->remote().heartbeatRequest();
  Connection = kj::mv(connection);
  request.setVm(asText(Context.Config.Self.Vm.Value));
  request.setIncarnation(Context.Config.Incarnation);
  return request.send().then([this](auto &&reply) {
    std::string vm = toString(reply.getVm());
    KJ_REQUIRE(vm == Address.Vm.Value, "another VM answers at this address",
               vm.c_str());
  });
}

void PeerLink::markUp() {
  IsUp = true;
  FailedAttempts = 0;
  metrics().LinksAlive.Increment();
  extendLiveness();
  Silence.emplace(Context.Config.HeartbeatInterval, Context.Config.SilenceLimit,
                  base::readMonotonic());
  base::logInfo("peer", "link is up", {{"peer", Address.Vm.Value.c_str()}});
  Tasks.add(heartbeatLoop(Generation));
  KJ_IF_MAYBE (connection, Connection) {
    Tasks.add((*connection)->onDisconnect().then([this, g = Generation] {
      if (g == Generation)
        closeAndReconnect(
            {ResultCode::PeerTimeout, "the peer closed the link"});
    }));
  }
}

void PeerLink::scheduleReconnect() {
  if (IsShutDown)
    return;
  const auto &config = Context.Config;
  unsigned doublings = std::min(FailedAttempts++, MaxBackoffDoublings);
  auto delay = std::min(config.MinReconnectDelay * (1 << doublings),
                        config.MaxReconnectDelay);
  std::uniform_int_distribution<base::Duration::rep> jitter(
      delay.count() / 2, delay.count() * 3 / 2);
  base::Duration jittered(jitter(Context.Random));
  Tasks.add(Context.Timer.afterDelay(toKjDuration(jittered))
                .then([this, g = Generation] {
                  if (g == Generation)
                    open();
                }));
}

// ---- heartbeats ----

kj::Promise<void> PeerLink::heartbeatLoop(std::uint64_t generation) {
  return Context.Timer
      .afterDelay(toKjDuration(Context.Config.HeartbeatInterval))
      .then([this, generation]() -> kj::Promise<void> {
        if (generation != Generation)
          return kj::READY_NOW;
        KJ_IF_MAYBE (connection, Connection) {
          if (Silence->isSilent((*connection)->lastHeard(),
                                base::readMonotonic())) {
            closeAndReconnect(
                {ResultCode::PeerTimeout,
                 "no data received from the peer within the silence limit"});
            return kj::READY_NOW;
          }
        }
        sendHeartbeat();
        return heartbeatLoop(generation);
      });
}

void PeerLink::sendHeartbeat() {
  KJ_IF_MAYBE (connection, Connection) {
    auto request = (*connection)->remote().heartbeatRequest();
    request.setVm(asText(Context.Config.Self.Vm.Value));
    request.setIncarnation(Context.Config.Incarnation);
    Tasks.add(request.send().then(
        [this, g = Generation](auto &&) {
          if (g == Generation)
            extendLiveness();
        },
        // A lost heartbeat is detected as silence.
        [](kj::Exception &&) {}));
  }
}

void PeerLink::extendLiveness() {
  auto until = base::readMonotonic() + Context.Config.SilenceLimit;
  AliveDeadline->store(until.time_since_epoch().count());
}

// ---- closing ----

void PeerLink::closeAndReconnect(const base::Error &error) {
  metrics().LinksLost.Increment();
  base::logWarning("peer", error.Code, error.Message,
                   {{"peer", Address.Vm.Value.c_str()}});
  closeConnection(error);
  scheduleReconnect();
}

void PeerLink::closeConnection(const base::Error &error) {
  ++Generation;
  AliveDeadline->store(0);
  if (IsUp)
    metrics().LinksAlive.Decrement();
  IsUp = false;
  metrics().MessagesDropped.Increment(static_cast<double>(Messages.clear()));
  Calls.failAll(error);
  // The remaining calls wait for their receiver to request the next part.
  auto waiting = std::exchange(Forwards, {});
  for (auto &[id, call] : waiting)
    call->endAsLost(error);
  // Destroyed later: the caller may be a continuation of one of the
  // connection's own promises.
  KJ_IF_MAYBE (connection, Connection) {
    Tasks.add(kj::evalLater([old = kj::mv(*connection)]() {}));
  }
  Connection = nullptr;
}

void PeerLink::shutDown(const base::Error &error) {
  if (IsShutDown)
    return;
  IsShutDown = true;
  closeConnection(error);
}

// ---- calls ----

std::optional<base::Error> PeerLink::findRefusal(std::size_t bytes) {
  if (!IsUp)
    return base::Error{ResultCode::PeerUnreachable,
                       fmt::format("no link to {}", Address.Vm.Value)};
  if (bytes > MaxMessageBytes)
    return base::Error{ResultCode::BodyTooLarge,
                       "the request is too large for a message between VMs"};
  std::size_t queued = 0;
  KJ_IF_MAYBE (connection, Connection) {
    queued = (*connection)->queuedBytes();
  }
  // A single message larger than the limit is sent when the queue is empty.
  if (queued == 0 || queued + bytes <= Context.Config.MaxQueuedBytesPerPeer)
    return std::nullopt;
  metrics().QueueRefusals.Increment();
  return base::Error{ResultCode::PeerQueueFull,
                     fmt::format("the queue to {} is full", Address.Vm.Value)};
}

void PeerLink::forward(std::uint64_t id,
                       const protocol::ForwardRequest &request,
                       protocol::AnswerSink sink) {
  std::size_t bytes = protocol::internal::estimateBytes(request);
  if (auto error = findRefusal(bytes))
    return sink.Fail(describeNotSent(*error));
  KJ_IF_MAYBE (connection, Connection) {
    auto call = std::make_unique<ForwardCall>(
        Calls, std::move(sink),
        [next = RequestPart, id](std::uint64_t part) { next(id, part); },
        [this, id] {
          // Destroyed later: the caller is a callback of the call itself.
          auto node = Forwards.extract(id);
          if (!node.empty())
            Tasks.add(kj::evalLater([old = std::move(node.mapped())]() {}));
        });
    auto &started = *call;
    Forwards.emplace(id, std::move(call));
    started.start((*connection)->remote(), request, bytes);
  }
}

void PeerLink::readForwardPart(std::uint64_t id, std::uint64_t part) {
  auto it = Forwards.find(id);
  if (it != Forwards.end())
    it->second->readPart(part);
}

// ---- group messages ----

void PeerLink::queueMessages(std::vector<protocol::GroupMessage> messages) {
  // The replicated log sends the needed messages again once the link is up.
  if (!IsUp) {
    metrics().MessagesDropped.Increment(static_cast<double>(messages.size()));
    return;
  }
  for (auto &message : messages)
    metrics().MessagesDropped.Increment(
        static_cast<double>(Messages.push(std::move(message))));
}

void PeerLink::flushMessages() {
  while (true) {
    auto batch = Messages.takeBatch();
    if (batch.Messages.empty())
      return;
    sendBatch(std::move(batch));
  }
}

void PeerLink::sendBatch(GroupMessageQueue::Batch batch) {
  KJ_IF_MAYBE (connection, Connection) {
    auto request = (*connection)
                       ->remote()
                       .deliverRequest(capnp::MessageSize{
                           batch.Bytes / sizeof(capnp::word) + 1, 0});
    auto list =
        request.initMessages(static_cast<capnp::uint>(batch.Messages.size()));
    for (capnp::uint i = 0; i < list.size(); ++i)
      encode(batch.Messages[i], list[i]);
    metrics().MessagesSent.Increment(list.size());
    Tasks.add(request.send().then(
        [this, g = Generation, bytes = batch.Bytes](auto &&) {
          if (g != Generation)
            return;
          Messages.acknowledge(bytes);
          flushMessages();
        },
        [this, g = Generation, bytes = batch.Bytes](kj::Exception &&) {
          if (g == Generation)
            Messages.acknowledge(bytes);
        }));
  }
}

void PeerLink::taskFailed(kj::Exception &&exception) {
  base::logError("peer", ResultCode::Internal,
                 exception.getDescription().cStr(),
                 {{"peer", Address.Vm.Value.c_str()}});
}

} // namespace magnoliamill::peer::internal
