// The daemon of one VM. Creates the modules and connects them.
#pragma once

#include "base/Result.h"
#include "settings/NodeSettings.h"

#include <functional>
#include <memory>

namespace magnoliamill::node {

/// Threads: front (HTTP requests of callers and operators), dispatch
/// (dispatcher and calls to targets), state (both replicated groups), storage
/// (writes and syncs), peer (links to other VMs).
class Node {
public:
  /// \p bootstrap is true for the first start of a new installation.
  Node(settings::NodeSettings settings, bool bootstrap);
  ~Node();

  /// Opens storage and listeners. Errors: ListenFailed (1008), LogDamaged
  /// (5002), StorageFailed (5003), SnapshotDamaged (5004).
  base::Result<void> start();
  /// Starts a planned stop: hands over targets and leadership, finishes the
  /// requests in flight, then calls \p done (from any thread). Requests are cut
  /// off only when the stop takes longer than MaxStopDuration.
  void beginStop(std::function<void()> done);

private:
  struct State;
  std::unique_ptr<State> Self;
};

} // namespace magnoliamill::node
