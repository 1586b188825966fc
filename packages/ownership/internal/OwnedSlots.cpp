// Looks up the slots of a view by owner and by number.
#include "ownership/internal/OwnedSlots.h"

namespace magnoliamill::ownership::internal {

OwnedSlots groupByOwner(const View &view) {
  OwnedSlots owned;
  for (const auto &[service, slots] : view.Slots)
    for (base::SlotNumber n = 0; n < slots.size(); ++n)
      if (!slots[n].Owner.empty())
        owned[slots[n].Owner].push_back(
            {n, slots[n].Token, slots[n].Releasing});
  return owned;
}

const SlotView *findSlot(const View &view, const base::SlotId &slot) {
  auto it = view.Slots.find(slot.Service);
  if (it == view.Slots.end() || slot.Slot >= it->second.size())
    return nullptr;
  return &it->second[slot.Slot];
}

} // namespace magnoliamill::ownership::internal
