// Maintains owners and tokens by stripe, and stripes by owner.
#include "keyspace/KeyTable.h"

#include <algorithm>

namespace magnoliamill::keyspace {
namespace {

/// The stripe count must divide the keys evenly.
bool isValidCount(std::uint32_t count) {
  return count > 0 && count <= KeyCount && (count & (count - 1)) == 0;
}

} // namespace

const TargetInstance *ServiceKeys::ownerOf(std::uint32_t stripe) const {
  return Stripes[stripe].Owner;
}

std::span<const std::uint32_t>
ServiceKeys::stripesOf(const TargetInstance &instance) const {
  auto it = ByOwner.find(instance);
  if (it == ByOwner.end())
    return {};
  return it->second.Stripes;
}

std::vector<TargetInstance> ServiceKeys::listOwners() const {
  std::vector<TargetInstance> owners;
  for (const auto &[instance, owned] : ByOwner)
    owners.push_back(instance);
  return owners;
}

void ServiceKeys::assign(std::uint32_t index, const TargetInstance &instance,
                         FencingToken token, std::string handover) {
  Stripe &stripe = Stripes[index];
  const bool IsInherited = stripe.Owner && *stripe.Owner != instance &&
                           stripe.Owner->Id == instance.Id;
  if (stripe.Owner) {
    auto old = ByOwner.find(*stripe.Owner);
    auto &held = old->second.Stripes;
    held.erase(std::ranges::lower_bound(held, index));
    if (held.empty() && old->first != instance)
      ByOwner.erase(old);
  }
  auto &[owner, owned] = *ByOwner.try_emplace(instance).first;
  auto &held = owned.Stripes;
  held.insert(std::ranges::lower_bound(held, index), index);
  stripe = {&owner, token, std::move(handover), IsInherited};
}

void ServiceKeys::recordGrant(const TargetInstance &instance,
                              SentHeartbeat heartbeat) {
  const auto it = ByOwner.find(instance);
  if (it == ByOwner.end())
    return;
  auto &last = it->second.LastGrant;
  if (!last || last->Address != heartbeat.Address ||
      last->Number < heartbeat.Number)
    last = std::move(heartbeat);
}

const SentHeartbeat *
ServiceKeys::lastGrantOf(const TargetInstance &instance) const {
  const auto it = ByOwner.find(instance);
  return it == ByOwner.end() || !it->second.LastGrant ? nullptr
                                                      : &*it->second.LastGrant;
}

std::vector<std::uint32_t> KeyTable::apply(const KeyAssignment &assignment,
                                           FencingToken index) {
  std::vector<std::uint32_t> moved;
  if (!isValidCount(assignment.StripeCount))
    return moved;
  auto it =
      Services.try_emplace(assignment.Service, assignment.StripeCount).first;
  ServiceKeys &keys = it->second;
  for (const auto &move : assignment.Moves) {
    const bool IsValid = move.Stripe < keys.countStripes() &&
                         move.Owner < assignment.Owners.size() &&
                         keys.tokenOf(move.Stripe) == move.Expected;
    if (!IsValid)
      continue;
    keys.assign(move.Stripe, assignment.Owners[move.Owner], index,
                move.Handover);
    moved.push_back(move.Stripe);
  }
  return moved;
}

void KeyTable::apply(const GrantRecord &record) {
  if (const auto it = Services.find(record.Service); it != Services.end())
    it->second.recordGrant(record.Instance, record.Heartbeat);
}

const ServiceKeys *KeyTable::find(std::string_view service) const {
  auto it = Services.find(service);
  return it == Services.end() ? nullptr : &it->second;
}

void KeyTable::restore(std::string service, ServiceKeys keys) {
  Services.insert_or_assign(std::move(service), std::move(keys));
}

} // namespace magnoliamill::keyspace
