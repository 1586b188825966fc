// Who owns what in one data centre, typed and immutable: what routing and
// dispatching read.
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
  /// Announced, may own slots and get work.
  Active,
  /// Gets no new work; its slots are being handed over.
  Leaving,
  /// Its grant is running out because it does not answer.
  Lost,
};

struct TargetView {
  base::TargetInstanceId Instance;
  /// The name it announces; the same over restarts.
  std::string Name;
  base::ServiceId Service;
  std::string Host;
  std::uint16_t Port = 0;
  /// Requests it runs at once.
  std::uint32_t Slots = 1;
  bool ChecksTokens = false;
  bool CanCancel = false;
  TargetState State = TargetState::Active;
  /// The one VM that sends requests to it; empty while that is being settled.
  base::VmId Dispatcher;
  /// Raised at every change of dispatcher.
  base::Token DispatchToken;
  /// The run of the dispatcher's process: a restarted VM does not dispatch what
  /// its earlier run was given.
  std::uint64_t DispatcherIncarnation = 0;
  /// Set while the dispatcher is asked to hand the target over: it starts
  /// nothing new.
  bool DispatcherReleasing = false;
  /// The target's clock in its announcement, in milliseconds. Serves only the
  /// first contact.
  std::int64_t AnnouncedClockMs = 0;
  bool HonoursDeadlines = false;
};

struct SlotView {
  /// Empty while nobody owns the slot.
  base::TargetInstanceId Owner;
  base::Token Token;
  /// Set while a planned handover is under way: no new work is started,
  /// requests wait in the queue.
  bool Releasing = false;
};

/// Keys that were carved out of their slot are listed by hash.
struct HotKeyView {
  base::ServiceId Service;
  std::uint64_t KeyHash = 0;
  SlotView Slot;
};

struct View {
  /// Index of the last entry that changed the view.
  consensus::LogIndex Index = 0;
  std::uint64_t Epoch = 0;
  /// Term of the leader whose decisions are in force; decisions of lower terms
  /// have no effect.
  std::uint64_t ControllerTerm = 0;
  std::map<base::TargetInstanceId, TargetView> Targets;
  std::map<base::ServiceId, std::vector<SlotView>> Slots;
  std::vector<HotKeyView> HotKeys;
};

using ViewPtr = std::shared_ptr<const View>;

} // namespace magnoliamill::ownership
