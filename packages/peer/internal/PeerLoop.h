// Provides the event loop of the peer thread, which owns the links and serves
// the listener.
#pragma once

#include "peer/internal/LivenessTable.h"
#include "peer/internal/LoopContext.h"
#include "peer/internal/PeerLink.h"
#include "peer/internal/PendingAnswers.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace magnoliamill::peer::internal {

/// May be constructed and destroyed on any thread; run() is called on the peer
/// thread, all other functions from tasks in the mailbox.
class PeerLoop {
public:
  PeerLoop(PeerConfig config, PeerHandlers handlers,
           std::shared_ptr<Mailbox> inbox, LivenessTable &liveness);
  ~PeerLoop();

  /// Serves \p listener and the links until quit() is called. Takes ownership
  /// of the socket.
  void run(int listener);
  void quit();
  /// Shuts down the links and closes the mailbox. The tasks left in it run, and
  /// their calls fail. Also called when run() was never called.
  void shutDownLinks();

  void setPeers(std::vector<PeerAddress> peers);
  /// Null when \p vm is not in the list of peers.
  PeerLink *findLink(const base::VmId &vm);
  void forward(std::uint64_t id, const base::VmId &vm,
               const protocol::ForwardRequest &request,
               protocol::AnswerSink sink);
  void cancelForward(std::uint64_t id, const base::VmId &vm);
  void queueMessages(const base::VmId &vm,
                     std::vector<protocol::GroupMessage> messages);

private:
  struct RunState;

  void runTurn();
  void openLink(const PeerAddress &peer);

  const PeerConfig Config;
  const PeerHandlers Handlers;
  const std::shared_ptr<Mailbox> Inbox;
  LivenessTable &Liveness;
  PendingAnswers Pending;
  // Null while run() is not running.
  RunState *ActiveRun = nullptr;
  // VMs for which messages were queued in this turn.
  std::vector<base::VmId> UnflushedLinks;
  std::map<base::VmId, std::unique_ptr<PeerLink>> Links;
};

} // namespace magnoliamill::peer::internal
