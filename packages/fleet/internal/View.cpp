// Applies updates to a view and finds the holder of a key.
#include "fleet/View.h"

#include <algorithm>

namespace magnoliamill::fleet {

View::Outcome View::apply(const ViewUpdate &update) {
  Last = {Config.apply(update.Items), {}, false, false};
  if (update.Version <= Version)
    return Outcome::Stale;
  const bool IsNext = update.Version.Term == Version.Term &&
                      update.Version.Number == Version.Number + 1;
  if (!update.IsWhole && !IsNext)
    return Outcome::Gap;
  Last.IsWhole = update.IsWhole;
  if (update.IsWhole) {
    Targets.clear();
    ByService.clear();
  }
  for (const Target &target : update.Targets) {
    Targets.insert_or_assign(target.Instance, target);
    Last.Targets.push_back(target.Instance);
  }
  for (const auto &instance : update.GoneTargets) {
    Targets.erase(instance);
    Last.Targets.push_back(instance);
  }
  for (const ServiceHolders &holders : update.Holders)
    applyHolders(holders);
  if (!update.Cores.empty())
    Cores = update.Cores;
  if (update.IsWhole || update.Evacuated) {
    auto evacuated = update.Evacuated.value_or(std::vector<std::string>());
    Last.HasEvacuations = evacuated != Evacuated;
    Evacuated = std::move(evacuated);
  }
  Version = update.Version;
  return Outcome::Applied;
}

void View::applyHolders(const ServiceHolders &update) {
  Holders &holders = ByService[update.Service];
  holders.ByStripe.resize(update.StripeCount, -1);
  if (holders.Instances.size() > std::size_t{2} * update.StripeCount)
    dropUnused(holders);
  for (const HolderChange &change : update.Changes) {
    if (change.Stripe >= holders.ByStripe.size())
      continue;
    std::int32_t &index = holders.ByStripe[change.Stripe];
    if (!change.Holder) {
      index = -1;
      continue;
    }
    auto [it, added] = holders.Indices.emplace(
        *change.Holder, static_cast<std::int32_t>(holders.Instances.size()));
    if (added)
      holders.Instances.push_back(*change.Holder);
    index = it->second;
  }
}

/// Removes instances that no longer hold any stripe.
void View::dropUnused(Holders &holders) {
  std::vector<std::int32_t> renumbered(holders.Instances.size(), -1);
  std::vector<keyspace::TargetInstance> kept;
  for (std::int32_t &index : holders.ByStripe) {
    if (index < 0)
      continue;
    const auto old = static_cast<std::size_t>(index);
    if (renumbered[old] < 0) {
      renumbered[old] = static_cast<std::int32_t>(kept.size());
      kept.push_back(holders.Instances[old]);
    }
    index = renumbered[old];
  }
  holders.Instances = std::move(kept);
  holders.Indices.clear();
  for (std::size_t i = 0; i < holders.Instances.size(); ++i)
    holders.Indices.emplace(holders.Instances[i], static_cast<std::int32_t>(i));
}

ViewUpdate View::describeWhole() const {
  ViewUpdate update;
  update.Version = Version;
  update.IsWhole = true;
  update.Items = Config.listAll();
  for (const auto &[instance, target] : Targets)
    update.Targets.push_back(target);
  for (const auto &[service, holders] : ByService) {
    ServiceHolders all{
        service, static_cast<std::uint32_t>(holders.ByStripe.size()), {}};
    for (std::uint32_t i = 0; i < holders.ByStripe.size(); ++i)
      if (const auto index = holders.ByStripe[i]; index >= 0)
        all.Changes.push_back(
            {i, holders.Instances[static_cast<std::size_t>(index)]});
    update.Holders.push_back(std::move(all));
  }
  update.Cores = Cores;
  update.Evacuated = Evacuated;
  return update;
}

const Target *View::findTarget(const keyspace::TargetInstance &instance) const {
  auto it = Targets.find(instance);
  return it == Targets.end() ? nullptr : &it->second;
}

std::uint32_t View::countStripes(std::string_view service) const {
  auto it = ByService.find(service);
  return it == ByService.end()
             ? 0
             : static_cast<std::uint32_t>(it->second.ByStripe.size());
}

const keyspace::TargetInstance *View::holderOf(std::string_view service,
                                               std::uint32_t key) const {
  auto it = ByService.find(service);
  if (it == ByService.end() || it->second.ByStripe.empty())
    return nullptr;
  const Holders &holders = it->second;
  const auto stripe = keyspace::stripeOfKey(
      key, static_cast<std::uint32_t>(holders.ByStripe.size()));
  const std::int32_t index = holders.ByStripe[stripe];
  return index < 0 ? nullptr
                   : &holders.Instances[static_cast<std::size_t>(index)];
}

} // namespace magnoliamill::fleet
