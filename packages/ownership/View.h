// The ownership view of one data centre: its targets, their dispatchers and the
// owner of each slot. Routing and dispatching read it as an immutable snapshot.
#pragma once

#include "base/Ids.h"
#include "base/Token.h"
#include "consensus/Types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace magnoliamill::ownership {

enum class TargetState : std::uint8_t {
  /// May own slots and receive requests.
  Active,
  /// Receives no new requests; its slots are being handed over.
  Leaving,
  /// Does not answer or has been restarted. Its slots are reassigned once its
  /// grants have expired.
  Lost,
};

struct TargetView {
  base::TargetInstanceId Instance;
  /// The name it announces; kept over restarts.
  std::string Name;
  base::ServiceId Service;
  std::string Host;
  std::uint16_t Port = 0;
  /// Number of requests that the target runs concurrently.
  std::uint32_t Slots = 1;
  bool ChecksTokens = false;
  bool CanCancel = false;
  TargetState State = TargetState::Active;
  /// The only VM that sends requests to it; empty until one is assigned.
  base::VmId Dispatcher;
  /// Increases with every change of dispatcher.
  base::Token DispatchToken;
  /// Identifies the run of the dispatcher's process: a restarted VM does not
  /// dispatch to targets that were assigned to its earlier run.
  std::uint64_t DispatcherIncarnation = 0;
  /// Set while the dispatcher is asked to release the target: it starts no new
  /// requests.
  bool DispatcherReleasing = false;
  /// The target's clock in its announcement, in milliseconds. Used only in the
  /// first grant, before the dispatcher has read the clock itself.
  std::int64_t AnnouncedClockMs = 0;
  bool HonoursDeadlines = false;
};

struct SlotView {
  /// Empty while nobody owns the slot.
  base::TargetInstanceId Owner;
  base::Token Token;
  /// Set during a planned handover: no new requests are started, they wait in
  /// the queue.
  bool Releasing = false;
};

/// A key that is assigned separately from its slot, identified by its hash.
struct HotKeyView {
  base::ServiceId Service;
  std::uint64_t KeyHash = 0;
  SlotView Slot;
};

struct View {
  /// Index of the last entry that changed the view.
  consensus::LogIndex Index = 0;
  std::uint64_t Epoch = 0;
  /// Term of the leader whose commands apply; commands of other terms have no
  /// effect.
  std::uint64_t ControllerTerm = 0;
  std::map<base::TargetInstanceId, TargetView> Targets;
  std::map<base::ServiceId, std::vector<SlotView>> Slots;
  std::vector<HotKeyView> HotKeys;
};

using ViewPtr = std::shared_ptr<const View>;

} // namespace magnoliamill::ownership
