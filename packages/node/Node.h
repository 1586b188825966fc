// One VM's daemon: the one place where the modules are wired together.
#pragma once

#include "base/Result.h"
#include "settings/NodeSettings.h"

#include <functional>
#include <memory>

namespace magnoliamill::node {

/// Threads: front (callers and operators), dispatch (decisions and targets),
/// state (both replicated groups), storage (syncs), peer (links to other VMs).
class Node {
public:
  /// \p bootstrap: the first start of a new installation.
  Node(settings::NodeSettings settings, bool bootstrap);
  ~Node();

  /// Opens storage and listeners. Errors: 1008, 5002, 5003, 5004.
  base::Result<void> start();
  /// Planned stop: hands targets and leadership over, finishes what is in
  /// flight, then calls \p done (from any thread). Nothing is cut off unless it
  /// takes longer than the stop limit.
  void beginStop(std::function<void()> done);

private:
  struct State;
  std::unique_ptr<State> Self;
};

} // namespace magnoliamill::node
