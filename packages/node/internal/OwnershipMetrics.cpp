// Balance of slots, owner changes and unserved time.
#include "node/OwnershipMetrics.h"

#include <algorithm>
#include <chrono>

namespace magnoliamill::node {
namespace {

using ownership::SlotView;
using ownership::TargetState;

bool isServed(const ownership::View &view, const SlotView &slot) {
  auto owner = view.Targets.find(slot.Owner);
  return owner != view.Targets.end() &&
         owner->second.State != TargetState::Lost &&
         !owner->second.Dispatcher.empty() && !slot.Releasing &&
         !owner->second.DispatcherReleasing;
}

double measureImbalance(const ownership::View &view,
                        const base::ServiceId &service,
                        const std::vector<SlotView> &slots) {
  std::map<base::TargetInstanceId, std::uint32_t> owned;
  for (const auto &[id, target] : view.Targets)
    if (target.Service == service && target.State == TargetState::Active)
      owned[id] = 0;
  std::uint32_t all = 0;
  std::uint32_t most = 0;
  for (const auto &slot : slots) {
    auto it = owned.find(slot.Owner);
    if (it == owned.end())
      continue;
    most = std::max(most, ++it->second);
    ++all;
  }
  if (all == 0)
    return 0;
  return static_cast<double>(most) * static_cast<double>(owned.size()) / all;
}

} // namespace

void OwnershipMetrics::update(
    const ownership::View &view,
    const std::map<base::ServiceId, std::vector<std::uint32_t>> &homes,
    base::MonoTime now) {
  double elapsed =
      LastUpdate == base::MonoTime{}
          ? 0
          : std::chrono::duration<double>(now - LastUpdate).count();
  LastUpdate = now;
  for (auto &[service, measures] : Services) {
    measures.UnservedSeconds += measures.UnservedSlots * elapsed;
    measures.UnservedSlots = 0;
    measures.Imbalance = 0;
  }
  static const std::vector<SlotView> None;
  for (const auto &[service, here] : homes) {
    auto it = view.Slots.find(service);
    const auto &slots = it == view.Slots.end() ? None : it->second;
    auto &measures = Services[service];
    measures.Imbalance = measureImbalance(view, service, slots);
    for (auto slot : here)
      if (slot >= slots.size() || !isServed(view, slots[slot]))
        ++measures.UnservedSlots;
    countChanges(service, slots);
  }
}

void OwnershipMetrics::countChanges(const base::ServiceId &service,
                                    const std::vector<SlotView> &slots) {
  auto &owners = Owners[service];
  owners.resize(std::max(owners.size(), slots.size()));
  for (std::size_t i = 0; i < slots.size(); ++i) {
    if (slots[i].Owner.empty() || slots[i].Owner == owners[i])
      continue;
    if (!owners[i].empty())
      ++Services[service].OwnerChanges;
    owners[i] = slots[i].Owner;
  }
}

} // namespace magnoliamill::node
