// Index of a view's slots by their owner.
#pragma once

#include "base/Ids.h"
#include "base/Token.h"
#include "ownership/View.h"

#include <map>
#include <vector>

namespace magnoliamill::ownership::internal {

struct OwnedSlot {
  base::SlotNumber Slot = 0;
  base::Token Token;
  bool Releasing = false;
};

using OwnedSlots = std::map<base::TargetInstanceId, std::vector<OwnedSlot>>;

/// Groups all slots of the view by their owner.
OwnedSlots groupByOwner(const View &view);

/// The slot in the view; null if the view does not contain it.
const SlotView *findSlot(const View &view, const base::SlotId &slot);

} // namespace magnoliamill::ownership::internal
