// Implements the event loop of the peer thread.
#include "peer/internal/PeerLoop.h"

#include "base/Log.h"
#include "peer/internal/Acceptor.h"
#include "peer/internal/KjLog.h"
#include "peer/internal/PeerMetrics.h"

#include <algorithm>
#include <kj/async-unix.h>
#include <kj/io.h>

namespace magnoliamill::peer::internal {

using base::ResultCode;

// State that exists only while run() is running.
struct PeerLoop::RunState {
  RunState(PeerLoop &loop, kj::AsyncIoContext &io)
      : Io(io), Context{io,
                        io.provider->getTimer(),
                        loop.Config,
                        loop.Handlers,
                        loop.Inbox,
                        loop.Pending,
                        std::minstd_rand{},
                        {}},
        Wake(io.unixEventPort, loop.Inbox->wakeHandle(),
             kj::UnixEventPort::FdObserver::OBSERVE_READ),
        Quit(kj::newPromiseAndFulfiller<void>()) {
    Context.Random.seed(std::random_device{}());
  }

  // Runs \p turn whenever the mailbox has tasks.
  kj::Promise<void> pump(const std::function<void()> &turn) {
    // Registered before the turn, so that tasks posted during it wake the loop
    // again.
    auto woken = Wake.whenBecomesReadable();
    turn();
    return woken.then([this, &turn] { return pump(turn); });
  }

  kj::AsyncIoContext &Io;
  LoopContext Context;
  kj::UnixEventPort::FdObserver Wake;
  kj::PromiseFulfillerPair<void> Quit;
};

PeerLoop::PeerLoop(PeerConfig config, PeerHandlers handlers,
                   std::shared_ptr<Mailbox> inbox, LivenessTable &liveness)
    : Config(std::move(config)), Handlers(std::move(handlers)),
      Inbox(std::move(inbox)), Liveness(liveness), Pending(Inbox) {}

PeerLoop::~PeerLoop() = default;

void PeerLoop::run(int listener) {
  KjLog log;
  auto io = kj::setupAsyncIo();
  RunState running(*this, io);
  ActiveRun = &running;
  {
    constexpr auto Flags = kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
                           kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK;
    Acceptor acceptor(running.Context, io.lowLevelProvider->wrapListenSocketFd(
                                           kj::AutoCloseFd(listener), Flags));
    std::function<void()> turn = [this] { runTurn(); };
    auto pump = running.pump(turn).eagerlyEvaluate([](kj::Exception &&fault) {
      base::logError("peer", ResultCode::Internal,
                     fault.getDescription().cStr());
      // The thread must not continue in an inconsistent state; the platform
      // restarts the process.
      std::abort();
    });
    running.Quit.promise.wait(io.waitScope);
    shutDownLinks();
  }
  ActiveRun = nullptr;
}

void PeerLoop::quit() { ActiveRun->Quit.fulfiller->fulfill(); }

void PeerLoop::shutDownLinks() {
  for (auto &[vm, link] : Links)
    link->shutDown({ResultCode::PeerTimeout, "this VM is stopping"});
  Inbox->close();
  Inbox->runPending();
  for (auto &[vm, link] : Links)
    Liveness.remove(vm);
  Links.clear();
}

void PeerLoop::runTurn() {
  Inbox->runPending();
  // All messages posted in this turn are sent in as few batches as possible.
  auto unflushed = std::move(UnflushedLinks);
  UnflushedLinks.clear();
  for (const auto &vm : unflushed)
    if (auto *link = findLink(vm))
      link->flushMessages();
}

void PeerLoop::setPeers(std::vector<PeerAddress> peers) {
  if (!ActiveRun || Inbox->isClosed())
    return;
  ActiveRun->Context.KnownHosts.clear();
  for (const auto &peer : peers)
    ActiveRun->Context.KnownHosts.insert(peer.Host);
  std::erase_if(Links, [&](const auto &entry) {
    bool IsKept =
        std::ranges::find(peers, entry.second->address()) != peers.end();
    if (!IsKept)
      Liveness.remove(entry.first);
    return !IsKept;
  });
  for (const auto &peer : peers)
    if (peer.Vm != Config.Self.Vm && !Links.contains(peer.Vm))
      openLink(peer);
}

void PeerLoop::openLink(const PeerAddress &peer) {
  auto next = [this, vm = peer.Vm, inbox = Inbox](std::uint64_t id,
                                                  std::uint64_t part) {
    inbox->postAnswer([this, vm, id, part] {
      if (auto *link = findLink(vm))
        link->readForwardPart(id, part);
    });
  };
  Links.emplace(peer.Vm, std::make_unique<PeerLink>(ActiveRun->Context, peer,
                                                    Liveness.add(peer.Vm),
                                                    std::move(next)));
}

PeerLink *PeerLoop::findLink(const base::VmId &vm) {
  auto it = Links.find(vm);
  return it == Links.end() ? nullptr : it->second.get();
}

void PeerLoop::forward(std::uint64_t id, const base::VmId &vm,
                       const protocol::ForwardRequest &request,
                       protocol::AnswerSink sink) {
  if (auto *link = findLink(vm))
    return link->forward(id, request, std::move(sink));
  sink.Fail({ResultCode::NotRunPeerUnreachable, "unknown VM: " + vm.Value, 0});
}

void PeerLoop::cancelForward(std::uint64_t id, const base::VmId &vm) {
  if (auto *link = findLink(vm))
    link->cancelForward(id);
}

void PeerLoop::queueMessages(const base::VmId &vm,
                             std::vector<protocol::GroupMessage> messages) {
  auto *link = findLink(vm);
  if (!link) {
    metrics().MessagesDropped.Increment(static_cast<double>(messages.size()));
    return;
  }
  link->queueMessages(std::move(messages));
  UnflushedLinks.push_back(vm);
}

} // namespace magnoliamill::peer::internal
