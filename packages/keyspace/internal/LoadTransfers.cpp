// The part of the grant controller that acts on the load of stripes.
#include "keyspace/GrantController.h"

#include <algorithm>

namespace magnoliamill::keyspace {
namespace {

/// How often the loads are checked while no transfers are needed. Estimates
/// change as often.
constexpr base::Duration LoadCheckInterval = std::chrono::milliseconds(250);
/// Overload that has lasted so long is worth many transfers. Keys may be busy
/// for 4 to 5 s only, and other ones of the same target right after them.
constexpr base::Duration LastingTime = std::chrono::seconds(8);
/// Overload goes on if it is seen again within this time: noise may hide it.
constexpr base::Duration OverloadGap = std::chrono::milliseconds(1500);

} // namespace

const StripeLoads *
GrantController::findLoads(const std::string &service) const {
  const StripeLoads *loads = Config.LoadsOf ? Config.LoadsOf(service) : nullptr;
  const ServiceKeys *owned = Table.find(service);
  return loads && owned && loads->ByStripe.size() == owned->countStripes()
             ? loads
             : nullptr;
}

std::vector<LoadCandidate> GrantController::measureCandidates(
    const std::string &service, const CandidateSet &set,
    const StripeLoads &loads, base::MonoTime now) {
  const Keys &keys = keysOf(service);
  const ServiceKeys &owned = *Table.find(service);
  std::vector<LoadCandidate> measured;
  const auto AddLoad = [&loads](LoadCandidate &candidate, std::uint32_t i) {
    candidate.Load += loads.ByStripe[i].PerSecond;
    candidate.Variance += loads.ByStripe[i].Variance;
  };
  for (std::size_t n = 0; n < set.Instances.size(); ++n) {
    LoadCandidate candidate;
    candidate.Target = set.Candidates[n];
    const auto overload = keys.Overloads.find(set.Instances[n]);
    candidate.IsLasting = overload != keys.Overloads.end() &&
                          now - overload->second.Since >= LastingTime;
    for (const std::uint32_t i : owned.stripesOf(set.Instances[n])) {
      const Stripe &stripe = keys.Stripes[i];
      if (stripe.IsRevoked)
        continue;
      AddLoad(candidate, i);
      // One that is not granted yet has just been moved.
      if (stripe.IsActive && !stripe.IsProposed && stripe.StaysUntil <= now &&
          stripe.FormerHoldEnd <= now)
        candidate.Movable.push_back(i);
    }
    measured.push_back(std::move(candidate));
  }
  for (const std::uint32_t i : keys.Revoked) {
    const auto &wanted = keys.Stripes[i].Destination;
    const auto it = wanted ? std::ranges::lower_bound(set.Instances, *wanted)
                           : set.Instances.end();
    if (it != set.Instances.end() && *it == *wanted)
      AddLoad(measured[static_cast<std::size_t>(it - set.Instances.begin())],
              i);
  }
  return measured;
}

std::vector<Candidate>
GrantController::countCandidates(const std::string &service,
                                 const CandidateSet &set, base::MonoTime now) {
  const StripeLoads *loads = findLoads(service);
  if (!loads)
    return set.Candidates;
  return countByLoad(measureCandidates(service, set, *loads, now),
                     Table.find(service)->countStripes());
}

bool GrantController::planLoadTransfers(const std::string &service,
                                        const CandidateSet &set,
                                        base::MonoTime now) {
  Keys &keys = keysOf(service);
  const StripeLoads *loads = findLoads(service);
  if (!loads || now < keys.NextLoadTransfers)
    return false;
  keys.NextLoadTransfers = now + LoadCheckInterval;
  const std::size_t most = std::max<std::size_t>(
      keys.Stripes.size() * Config.MaxLoadTransferPercent / 100, 1);
  if (keys.Revoked.size() >= most)
    return false;
  const auto plan =
      keyspace::planLoadTransfers(measureCandidates(service, set, *loads, now),
                                  *loads, most - keys.Revoked.size());
  for (const std::uint32_t i : plan.Overloaded)
    keys.Overloads.try_emplace(set.Instances[i], Overload{now, now})
        .first->second.Last = now;
  std::erase_if(keys.Overloads, [now](const auto &it) {
    return now - it.second.Last > OverloadGap;
  });
  if (!plan.Transfers.empty())
    keys.NextLoadTransfers = now + Config.LoadTransferInterval;
  for (const StripeTransfer &transfer : plan.Transfers) {
    revoke(keys, transfer.Stripe);
    Stripe &stripe = keys.Stripes[transfer.Stripe];
    stripe.Destination = set.Instances[transfer.To];
    stripe.StaysUntil = now + Config.LoadTransferPause;
  }
  if (Config.OnLoadTransfers)
    Config.OnLoadTransfers(
        {service, plan.Overloaded.size(), plan.Transfers.size()});
  return !plan.Transfers.empty();
}

} // namespace magnoliamill::keyspace
