// Provides the state shared by the components on the peer thread.
#pragma once

#include "base/Time.h"
#include "peer/PeerLinks.h"
#include "peer/internal/Mailbox.h"

#include <cstdint>
#include <kj/async-io.h>
#include <kj/time.h>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace magnoliamill::peer::internal {

class PendingAnswers;

inline kj::Duration toKjDuration(base::Duration duration) {
  return duration.count() * kj::MICROSECONDS;
}

/// Lives as long as the event loop. Used on the peer thread only, except Inbox.
struct LoopContext {
  kj::AsyncIoContext &Io;
  kj::Timer &Timer;
  const PeerConfig &Config;
  const PeerHandlers &Handlers;
  std::shared_ptr<Mailbox> Inbox;
  PendingAnswers &Pending;
  /// For jitter only.
  std::minstd_rand Random;
  /// Hosts of the current peers.
  std::set<std::string> KnownHosts;
};

} // namespace magnoliamill::peer::internal
