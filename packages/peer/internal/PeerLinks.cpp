// Implements PeerLinks: every call is posted to the peer thread.
#include "peer/PeerLinks.h"

#include "base/Log.h"
#include "peer/internal/LivenessTable.h"
#include "peer/internal/Mailbox.h"
#include "peer/internal/PeerLoop.h"
#include "peer/internal/PeerMetrics.h"
#include "peer/internal/Sockets.h"

#include <atomic>
#include <mutex>
#include <pthread.h>
#include <thread>

namespace magnoliamill::peer {

using base::ResultCode;
using protocol::wire::Peer;

struct PeerLinks::State {
  State(PeerConfig config, PeerHandlers handlers)
      : Config(std::move(config)),
        Inbox(std::make_shared<internal::Mailbox>(Config.RingCapacity)),
        Loop(Config, std::move(handlers), Inbox, Liveness) {}

  base::Error describeRefusal() const {
    if (Inbox->isClosed())
      return {ResultCode::Stopping, "the peer links are stopped"};
    return {ResultCode::RingFull, "the task ring of the peer thread is full"};
  }

  template <typename Method, typename Request, typename Reply>
  void post(Method method, const base::VmId &to, Request request,
            base::Duration timeout, protocol::Reply<Reply> reply);

  const PeerConfig Config;
  std::shared_ptr<internal::Mailbox> Inbox;
  internal::LivenessTable Liveness;
  internal::PeerLoop Loop;
  std::uint16_t Port = 0;
  std::atomic<std::uint64_t> LastForward{0};
  // Serializes start() and stop().
  std::mutex StartStopMutex;
  std::thread Thread;
  bool IsStopped = false;
};

template <typename Method, typename Request, typename Reply>
void PeerLinks::State::post(Method method, const base::VmId &to,
                            Request request, base::Duration timeout,
                            protocol::Reply<Reply> reply) {
  // The task gets a copy of reply; the original is needed for a refusal.
  bool posted = Inbox->tryPost([this, method, to, request = std::move(request),
                                timeout, reply] {
    if (auto *link = Loop.findLink(to))
      return link->call(method, request, timeout, reply);
    reply(base::fail(ResultCode::PeerUnreachable, "unknown VM: " + to.Value));
  });
  if (!posted)
    reply(base::fail(describeRefusal()));
}

PeerLinks::PeerLinks(PeerConfig config, PeerHandlers handlers)
    : Self(std::make_unique<State>(std::move(config), std::move(handlers))) {}

PeerLinks::~PeerLinks() { stop(); }

base::Result<void> PeerLinks::start() {
  std::lock_guard lock(Self->StartStopMutex);
  if (Self->IsStopped || Self->Thread.joinable())
    return base::fail(ResultCode::Stopping,
                      "the peer links were already started or stopped");
  auto listener = internal::openListener(Self->Config.Self);
  if (!listener)
    return base::fail(listener.error());
  Self->Port = internal::readLocalPort(listener.value());
  Self->Thread = std::thread([state = Self.get(), socket = listener.value()] {
    pthread_setname_np(pthread_self(), "peer");
    state->Loop.run(socket);
  });
  return base::ok();
}

void PeerLinks::stop() {
  std::lock_guard lock(Self->StartStopMutex);
  if (Self->IsStopped)
    return;
  Self->IsStopped = true;
  if (!Self->Thread.joinable())
    return Self->Loop.shutDownLinks();
  Self->Inbox->postAnswer([state = Self.get()] { state->Loop.quit(); });
  Self->Thread.join();
}

std::uint16_t PeerLinks::listenPort() const { return Self->Port; }

void PeerLinks::setPeers(std::vector<PeerAddress> peers) {
  // Not posted with tryPost: a full ring must not drop the list of peers.
  Self->Inbox->postAnswer([state = Self.get(), peers = std::move(peers)] {
    state->Loop.setPeers(peers);
  });
}

bool PeerLinks::isAlive(const base::VmId &vm) const {
  return Self->Liveness.isAlive(vm, base::readMonotonic());
}

void PeerLinks::sendGroupMessages(
    const base::VmId &to, std::vector<protocol::GroupMessage> messages) {
  std::size_t n = messages.size();
  auto task = [state = Self.get(), to,
               messages = std::move(messages)]() mutable {
    state->Loop.queueMessages(to, std::move(messages));
  };
  if (!Self->Inbox->tryPost(std::move(task)))
    internal::metrics().MessagesDropped.Increment(static_cast<double>(n));
}

void PeerLinks::propose(const base::VmId &to, protocol::ProposeRequest request,
                        base::Duration timeout,
                        protocol::Reply<protocol::ProposeReply> reply) {
  Self->post(&Peer::Client::proposeRequest, to, std::move(request), timeout,
             std::move(reply));
}

void PeerLinks::fetch(const base::VmId &to, protocol::FetchRequest request,
                      base::Duration timeout,
                      protocol::Reply<protocol::FetchReply> reply) {
  Self->post(&Peer::Client::fetchRequest, to, std::move(request), timeout,
             std::move(reply));
}

void PeerLinks::renewLease(const base::VmId &to, protocol::LeaseRequest request,
                           base::Duration timeout,
                           protocol::Reply<protocol::LeaseReply> reply) {
  Self->post(&Peer::Client::renewLeaseRequest, to, std::move(request), timeout,
             std::move(reply));
}

void PeerLinks::announce(const base::VmId &to,
                         protocol::AnnounceRequest request,
                         base::Duration timeout,
                         protocol::Reply<protocol::AnnounceReply> reply) {
  Self->post(&Peer::Client::announceRequest, to, std::move(request), timeout,
             std::move(reply));
}

void PeerLinks::ledger(const base::VmId &to, protocol::LedgerRequest request,
                       base::Duration timeout,
                       protocol::Reply<protocol::LedgerReply> reply) {
  Self->post(&Peer::Client::ledgerRequest, to, std::move(request), timeout,
             std::move(reply));
}

void PeerLinks::query(const base::VmId &to, protocol::QueryRequest request,
                      base::Duration timeout,
                      protocol::Reply<protocol::QueryReply> reply) {
  Self->post(&Peer::Client::queryRequest, to, std::move(request), timeout,
             std::move(reply));
}

protocol::CancelHook PeerLinks::forward(const base::VmId &to,
                                        protocol::ForwardRequest request,
                                        protocol::AnswerSink sink) {
  struct PostedForward {
    base::VmId To;
    protocol::ForwardRequest Request;
    protocol::AnswerSink Sink;
  };
  // Shared because tasks must be copyable and copying the parts is expensive.
  auto shared = std::make_shared<PostedForward>(
      PostedForward{to, std::move(request), std::move(sink)});
  std::uint64_t id = ++Self->LastForward;
  auto *state = Self.get();
  bool posted = Self->Inbox->tryPost([state, id, shared] {
    state->Loop.forward(id, shared->To, shared->Request,
                        std::move(shared->Sink));
  });
  if (!posted) {
    shared->Sink.Fail(internal::describeNotSent(Self->describeRefusal()));
    return [] {};
  }
  return [state, id, to, inbox = Self->Inbox] {
    inbox->postAnswer([state, id, to] { state->Loop.cancelForward(id, to); });
  };
}

} // namespace magnoliamill::peer
