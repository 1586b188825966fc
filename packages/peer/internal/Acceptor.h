// Accepts connections from peers and serves them until they end or are silent
// for longer than the limit.
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
  // Declared last: the tasks are destroyed before the members they use.
  kj::TaskSet Tasks;
};

} // namespace magnoliamill::peer::internal
