// Takes connections from peers and serves them until they end or go silent.
#pragma once

#include "peer/internal/LoopContext.h"

#include <kj/async.h>

namespace magnoliamill::peer::internal {

class Acceptor final : private kj::TaskSet::ErrorHandler {
public:
  Acceptor(LoopContext &context, kj::Own<kj::ConnectionReceiver> listener);

private:
  struct AcceptedConnection;

  kj::Promise<void> acceptLoop();
  void admit(kj::Own<kj::AsyncIoStream> stream);
  bool isAllowed(const std::string &host) const;
  kj::Promise<void> watchSilence(AcceptedConnection &accepted);
  void taskFailed(kj::Exception &&exception) override;

  LoopContext &Context;
  kj::Own<kj::ConnectionReceiver> Listener;
  // Last, so that no task outlives what it uses.
  kj::TaskSet Tasks;
};

} // namespace magnoliamill::peer::internal
