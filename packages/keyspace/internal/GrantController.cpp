// Tracks holds and releases by heartbeats, and plans assignments and transfers.
#include "keyspace/GrantController.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace magnoliamill::keyspace {
namespace {

/// Maximum size in bytes of a row in JSON without its handover data.
constexpr std::size_t JsonRowBytes = 26;
/// Token of a typical busy service, used to estimate the size of rows.
constexpr FencingToken TypicalToken = 2000;
/// A target that missed more heartbeats than this gets no new stripes.
constexpr int MissedHeartbeats = 2;
/// How often it is checked whether the stripes are still balanced.
constexpr base::Duration TransferCheckInterval = std::chrono::milliseconds(250);

/// Marks each stripe that overlaps with a range.
template <typename Range>
std::vector<bool> markStripes(std::span<const Range> ranges,
                              std::uint32_t count) {
  std::vector<bool> marks(count);
  for (const Range &range : ranges) {
    const std::uint32_t last =
        stripeOfKey(std::min(range.Keys.Last, KeyCount - 1), count);
    for (auto i = stripeOfKey(std::min(range.Keys.First, KeyCount - 1), count);
         i <= last; ++i)
      marks[i] = true;
  }
  return marks;
}

std::string findHandover(std::span<const ReleasedRange> released,
                         KeyRange keys) {
  for (const ReleasedRange &range : released)
    if (range.Keys.First <= keys.First && keys.Last <= range.Keys.Last)
      return range.Handover;
  return {};
}

/// Appends a row, or extends the last one if that is adjacent, has the same
/// token and neither has handover data.
void appendRow(std::vector<GrantRow> &rows, GrantRow row) {
  const bool IsNext = !rows.empty() &&
                      rows.back().Keys.Last + 1 == row.Keys.First &&
                      rows.back().Token == row.Token &&
                      rows.back().Handover.empty() && row.Handover.empty();
  if (IsNext)
    rows.back().Keys.Last = row.Keys.Last;
  else
    rows.push_back(std::move(row));
}

/// Removes the owners that no move refers to: an assignment is written to the
/// disks of all cores.
void dropUnusedOwners(KeyAssignment &assignment) {
  std::vector<TargetInstance> used;
  std::map<std::uint32_t, std::uint32_t> numbers;
  for (auto &move : assignment.Moves) {
    auto [it, added] = numbers.try_emplace(
        move.Owner, static_cast<std::uint32_t>(used.size()));
    if (added)
      used.push_back(std::move(assignment.Owners[move.Owner]));
    move.Owner = it->second;
  }
  assignment.Owners = std::move(used);
}

} // namespace

GrantController::GrantController(const KeyTable &table, GrantConfig config,
                                 base::MonoTime now)
    : Table(table), Config(std::move(config)),
      Evacuations(Config.EvacuationTime) {
  for (const auto &[service, owned] : Table.services()) {
    Keys &keys = keysOf(service);
    if (Config.LoadsOf)
      keys.NextTransfers = now + Config.LoadSettleTime;
    for (const TargetInstance &owner : owned.listOwners()) {
      InstanceState &state = Instances[owner];
      state.Service = service;
      state.HoldEnd = now + maxHoldDuration();
      state.LastHeartbeat = now;
    }
    for (std::uint32_t i = 0; i < owned.countStripes(); ++i) {
      keys.Stripes[i].IsActive = owned.ownerOf(i) != nullptr;
      if (owned.isInherited(i))
        keys.Stripes[i].FormerHoldEnd = now + maxHoldDuration();
    }
  }
}

base::Duration GrantController::maxHoldDuration() const {
  return Config.HoldTime + Config.HoldTime * Config.ClockDriftPerMille / 1000 +
         Config.ExpiryMargin;
}

std::size_t GrantController::countBytes(const GrantRow &row) const {
  return Config.CountRowBytes ? Config.CountRowBytes(row)
                              : JsonRowBytes + row.Handover.size();
}

std::size_t GrantController::maxRowsPerAnswer() const {
  const GrantRow typical{{KeyCount / 2, KeyCount / 2}, TypicalToken, {}};
  return Config.MaxRowBytes / countBytes(typical);
}

GrantController::Keys &GrantController::keysOf(const std::string &service) {
  Keys &keys = Services[service];
  if (const ServiceKeys *owned = Table.find(service))
    keys.Stripes.resize(owned->countStripes());
  return keys;
}

std::size_t GrantController::recordHeartbeat(const KeyReport &report,
                                             base::MonoTime now) {
  InstanceState &state = Instances[report.Instance];
  if (!report.IsIdentified && !state.HasReported)
    state.ReleasesFrom = state.HoldEnd;
  if (!std::exchange(state.HasReported, true))
    endEarlierInstances(report.Instance);
  state.Service = report.Service;
  state.DataCentre = report.DataCentre;
  state.Slots = std::max(report.Slots, 1U);
  state.LastHeartbeat = now;
  state.IsDisplaced = false;
  state.HoldEnd = now + maxHoldDuration();
  Keys &keys = keysOf(report.Service);
  if (!keys.FirstHeartbeat)
    keys.FirstHeartbeat = now;
  if (report.IsLeaving)
    state.IsLeaving = true;
  const ServiceKeys *owned = Table.find(report.Service);
  if (!owned)
    return 0;
  if (state.IsLeaving)
    revokeAll(report.Instance, state);
  revokeEvacuated(report, state, *owned, now);
  return state.ReleasesFrom <= now ? recordReleases(report, *owned) : 0;
}

std::size_t GrantController::recordReleases(const KeyReport &report,
                                            const ServiceKeys &owned) {
  Keys &keys = keysOf(report.Service);
  std::size_t released = 0;
  const auto held = markStripes(std::span<const HeldRange>(report.Holds),
                                owned.countStripes());
  for (std::uint32_t i : owned.stripesOf(report.Instance)) {
    Stripe &stripe = keys.Stripes[i];
    if (!stripe.IsRevoked || stripe.IsReleased || held[i])
      continue;
    stripe.IsReleased = true;
    ++released;
    stripe.Handover =
        findHandover(report.Released, rangeOfStripe(i, owned.countStripes()));
  }
  return released;
}

bool GrantController::hasNewStripes(const KeyReport &report) const {
  const ServiceKeys *owned = Table.find(report.Service);
  const auto found = Services.find(report.Service);
  if (!owned || found == Services.end())
    return false;
  const auto IsReported = [&](std::uint32_t stripe) {
    const KeyRange keys = rangeOfStripe(stripe, owned->countStripes());
    return std::ranges::any_of(report.Holds, [&](const HeldRange &held) {
      return held.Keys.First <= keys.First && keys.Last <= held.Keys.Last &&
             held.Token == owned->tokenOf(stripe);
    });
  };
  return std::ranges::any_of(
      owned->stripesOf(report.Instance), [&](std::uint32_t i) {
        const Stripe &stripe = found->second.Stripes[i];
        return !stripe.IsRevoked && !stripe.IsProposed && !IsReported(i);
      });
}

std::vector<GrantRow> GrantController::grant(const KeyReport &report) {
  const ServiceKeys *table = Table.find(report.Service);
  if (!table)
    return {};
  const ServiceKeys &owned = *table;
  Keys &keys = keysOf(report.Service);
  const auto held = markStripes(std::span<const HeldRange>(report.Holds),
                                owned.countStripes());
  // Stripes that the target already holds come first: if omitted, they would be
  // released.
  std::vector<GrantRow> rows;
  std::vector<std::uint32_t> fresh;
  std::size_t bytes = 0;
  for (std::uint32_t i : owned.stripesOf(report.Instance)) {
    const Stripe &stripe = keys.Stripes[i];
    if (stripe.IsRevoked || stripe.IsProposed) {
      setActive(report.Service, i, false);
      continue;
    }
    if (!held[i]) {
      fresh.push_back(i);
      continue;
    }
    appendRow(rows,
              {rangeOfStripe(i, owned.countStripes()), owned.tokenOf(i), {}});
    setActive(report.Service, i, true);
  }
  for (const GrantRow &row : rows)
    bytes += countBytes(row);
  for (std::uint32_t i : fresh) {
    GrantRow row{rangeOfStripe(i, owned.countStripes()), owned.tokenOf(i),
                 owned.handoverOf(i)};
    bytes += countBytes(row);
    // The rest is granted by the next answer, once these are held.
    if (bytes > Config.MaxRowBytes)
      break;
    rows.push_back(std::move(row));
    setActive(report.Service, i, true);
  }
  return rows;
}

void GrantController::setActive(const std::string &service,
                                std::uint32_t stripe, bool active) {
  Stripe &state = keysOf(service).Stripes[stripe];
  if (state.IsActive == active)
    return;
  state.IsActive = active;
  StripeChange change{service, stripe, std::nullopt};
  if (active)
    change.Holder = *Table.find(service)->ownerOf(stripe);
  Changes.push_back(std::move(change));
}

void GrantController::revokeAll(const TargetInstance &id,
                                const InstanceState &state) {
  const ServiceKeys *owned = Table.find(state.Service);
  if (!owned)
    return;
  Keys &keys = keysOf(state.Service);
  for (std::uint32_t i : owned->stripesOf(id)) {
    revoke(keys, i);
    setActive(state.Service, i, false);
  }
}

void GrantController::revokeEvacuated(const KeyReport &report,
                                      const InstanceState &state,
                                      const ServiceKeys &owned,
                                      base::MonoTime now) {
  const double share = Evacuations.shareDue(report.DataCentre, now);
  if (share <= 0)
    return;
  if (Evacuations.isOver(report.DataCentre, now))
    return revokeAll(report.Instance, state);
  // Without other targets, the keys are served for as long as possible.
  const bool HasOthers = std::ranges::any_of(Instances, [&](const auto &entry) {
    return entry.second.Service == report.Service &&
           isCandidate(entry.second, now);
  });
  if (!HasOthers)
    return;
  Keys &keys = keysOf(report.Service);
  std::vector<std::uint32_t> kept;
  for (std::uint32_t i : owned.stripesOf(report.Instance))
    if (!keys.Stripes[i].IsRevoked)
      kept.push_back(i);
  const auto count = static_cast<std::size_t>(
      std::ceil(share * static_cast<double>(kept.size())));
  for (std::size_t n = 0; n < count; ++n)
    revoke(keys, kept[n * kept.size() / count]);
}

std::vector<GrantController::Revocation>
GrantController::revokeOverdue(base::MonoTime now) {
  std::vector<Revocation> revoked;
  for (auto &centre : Evacuations.takeOver(now)) {
    Revocation revocation{std::move(centre)};
    for (const auto &[id, state] : Instances) {
      const ServiceKeys *owned = Table.find(state.Service);
      if (!owned || state.DataCentre != revocation.DataCentre)
        continue;
      revocation.Stripes += owned->stripesOf(id).size();
      revokeAll(id, state);
    }
    revoked.push_back(std::move(revocation));
  }
  return revoked;
}

void GrantController::revoke(Keys &keys, std::uint32_t stripe) {
  keys.Stripes[stripe].IsRevoked = true;
  keys.Revoked.insert(stripe);
}

void GrantController::onDeparture(const TargetInstance &id) {
  auto it = Instances.find(id);
  if (it == Instances.end())
    return;
  it->second.IsLeaving = true;
  revokeAll(id, it->second);
}

void GrantController::onReplaced(const TargetInstance &id, base::MonoTime now) {
  auto it = Instances.find(id);
  if (it == Instances.end())
    return;
  it->second.IsDisplaced = true;
  const bool WasIdentified = it->second.ReleasesFrom <= now;
  it->second.ReleasesFrom = it->second.HoldEnd;
  if (WasIdentified)
    revokeAll(id, it->second);
}

void GrantController::endEarlierInstances(const TargetInstance &successor) {
  // Instances are sorted by id, then by start.
  for (auto it = Instances.lower_bound({successor.Id, 0});
       it != Instances.end() && it->first < successor; ++it) {
    if (!it->second.Successor)
      setSuccessor(it->first, it->second, successor);
  }
}

void GrantController::setSuccessor(const TargetInstance &former,
                                   InstanceState &state,
                                   const TargetInstance &successor) {
  state.Successor = successor;
  state.IsLeaving = true;
  revokeAll(former, state);
  auto &list = Instances[successor].Predecessors;
  const ServiceKeys *owned = Table.find(state.Service);
  const auto add = [&](const TargetInstance &instance) {
    if (owned && !owned->stripesOf(instance).empty())
      list.push_back(instance);
  };
  add(former);
  std::ranges::for_each(state.Predecessors, add);
}

void GrantController::onEnded(const TargetInstance &instance,
                              const TargetInstance &successor,
                              base::MonoTime now) {
  const auto it = Instances.find(instance);
  if (it == Instances.end())
    return;
  // It may be at another address than the one that has a successor.
  if (it->second.ReleasesFrom > now)
    return onReplaced(instance, now);
  it->second.HoldEnd = std::min(it->second.HoldEnd, now);
  // Successors have started later, so that no row of them is a cycle.
  if (instance.StartedAtMs < successor.StartedAtMs)
    return setSuccessor(instance, it->second, successor);
  it->second.IsLeaving = true;
  revokeAll(instance, it->second);
}

const TargetInstance *
GrantController::findHeir(const InstanceState &state) const {
  const TargetInstance *heir = nullptr;
  for (const auto *it = &state; it && it->Successor;) {
    heir = &*it->Successor;
    const auto next = Instances.find(*heir);
    it = next == Instances.end() ? nullptr : &next->second;
  }
  return heir;
}

std::vector<std::uint32_t>
GrantController::listFreeStripes(const ServiceKeys *owned, const Keys &keys,
                                 std::uint32_t total,
                                 base::MonoTime now) const {
  std::vector<std::uint32_t> free;
  if (!owned) {
    free.resize(total);
    std::iota(free.begin(), free.end(), 0U);
    return free;
  }
  for (const TargetInstance &owner : owned->listOwners()) {
    auto state = Instances.find(owner);
    const bool HasEnded =
        state == Instances.end() || state->second.HoldEnd <= now;
    if (!HasEnded)
      continue;
    const auto stripes = owned->stripesOf(owner);
    free.insert(free.end(), stripes.begin(), stripes.end());
  }
  for (std::uint32_t i : keys.Revoked)
    if (keys.Stripes[i].IsReleased)
      free.push_back(i);
  std::erase_if(free, [&](std::uint32_t i) {
    return keys.Stripes[i].FormerHoldEnd > now;
  });
  std::ranges::sort(free);
  free.erase(std::unique(free.begin(), free.end()), free.end());
  return free;
}

bool GrantController::isCandidate(const InstanceState &state,
                                  base::MonoTime now) const {
  return state.HasReported && !state.IsLeaving && !state.IsDisplaced &&
         !Evacuations.isEvacuated(state.DataCentre) &&
         now - state.LastHeartbeat <=
             Config.HeartbeatInterval * (MissedHeartbeats + 1);
}

GrantController::CandidateSet
GrantController::listCandidates(const std::string &service, const Keys &keys,
                                base::MonoTime now) const {
  CandidateSet set;
  const ServiceKeys *owned = Table.find(service);
  for (const auto &[id, state] : Instances) {
    if (state.Service != service || !isCandidate(state, now))
      continue;
    Candidate candidate;
    candidate.Weight =
        state.Slots * (Config.SpeedOf ? Config.SpeedOf(id) : 1.0);
    candidate.Limit = static_cast<std::uint32_t>(maxRowsPerAnswer());
    const base::MonoTime next = state.LastHeartbeat + Config.HeartbeatInterval;
    candidate.UntilHeartbeat = std::max(next - now, base::Duration::zero());
    if (owned)
      candidate.Count = static_cast<std::uint32_t>(owned->stripesOf(id).size());
    set.Instances.push_back(id);
    set.Candidates.push_back(candidate);
  }
  const auto find = [&set](const TargetInstance &id) -> Candidate * {
    auto it = std::ranges::lower_bound(set.Instances, id);
    if (it == set.Instances.end() || *it != id)
      return nullptr;
    return &set.Candidates[static_cast<std::size_t>(it -
                                                    set.Instances.begin())];
  };
  // Stripes being transferred count for their destination.
  for (std::uint32_t i : keys.Revoked) {
    if (auto *from = find(*owned->ownerOf(i)))
      --from->Count;
    const auto &wanted = keys.Stripes[i].Destination;
    if (auto *to = wanted ? find(*wanted) : nullptr)
      ++to->Count;
  }
  return set;
}

std::vector<KeyAssignment> GrantController::plan(base::MonoTime now) {
  std::vector<KeyAssignment> proposals;
  for (auto &[service, keys] : Services) {
    if (keys.IsProposed)
      continue;
    auto assignment = planInheritances(service, now);
    if (!assignment)
      assignment = planService(service, now);
    if (assignment) {
      keys.IsProposed = true;
      proposals.push_back(std::move(*assignment));
    }
  }
  return proposals;
}

std::optional<KeyAssignment>
GrantController::planInheritance(const TargetInstance &heir,
                                 base::MonoTime now) {
  const auto it = Instances.find(heir);
  if (it == Instances.end() || !isCandidate(it->second, now))
    return std::nullopt;
  const std::string &service = it->second.Service;
  Keys &keys = keysOf(service);
  const ServiceKeys *owned = Table.find(service);
  if (!owned || keys.IsProposed)
    return std::nullopt;
  KeyAssignment assignment{service, owned->countStripes(), {heir}, {}};
  for (const TargetInstance &former : it->second.Predecessors)
    addInheritance(former, *owned, assignment, now);
  if (assignment.Moves.empty())
    return std::nullopt;
  keys.IsProposed = true;
  return assignment;
}

void GrantController::addInheritance(const TargetInstance &owner,
                                     const ServiceKeys &owned,
                                     KeyAssignment &assignment,
                                     base::MonoTime now) {
  const InstanceState &state = Instances.at(owner);
  const bool IsSameId = assignment.Owners.back().Id == owner.Id;
  Keys &keys = keysOf(assignment.Service);
  for (std::uint32_t i : owned.stripesOf(owner)) {
    Stripe &stripe = keys.Stripes[i];
    // A stripe that was released before is free for any target.
    if (stripe.IsReleased || (!IsSameId && stripe.FormerHoldEnd > now))
      continue;
    stripe.IsProposed = true;
    stripe.FormerHoldEnd = std::max(stripe.FormerHoldEnd, state.HoldEnd);
    assignment.Moves.push_back(
        {i,
         static_cast<std::uint32_t>(assignment.Owners.size() - 1),
         owned.tokenOf(i),
         {}});
  }
}

std::optional<KeyAssignment>
GrantController::planInheritances(const std::string &service,
                                  base::MonoTime now) {
  const ServiceKeys *owned = Table.find(service);
  if (!owned)
    return std::nullopt;
  KeyAssignment assignment{service, owned->countStripes(), {}, {}};
  for (const TargetInstance &owner : owned->listOwners()) {
    const auto state = Instances.find(owner);
    const TargetInstance *heir =
        state == Instances.end() ? nullptr : findHeir(state->second);
    const auto found = heir ? Instances.find(*heir) : Instances.end();
    if (found == Instances.end() || found->second.Service != service ||
        !isCandidate(found->second, now))
      continue;
    assignment.Owners.push_back(*heir);
    addInheritance(owner, *owned, assignment, now);
  }
  if (assignment.Moves.empty())
    return std::nullopt;
  dropUnusedOwners(assignment);
  return assignment;
}

std::optional<KeyAssignment>
GrantController::planService(const std::string &service, base::MonoTime now) {
  Keys &keys = keysOf(service);
  const ServiceKeys *owned = Table.find(service);
  if (!owned &&
      (!keys.FirstHeartbeat || now - *keys.FirstHeartbeat < Config.SettleTime))
    return std::nullopt;
  if (owned)
    deactivateExpired(service, *owned, now);
  const CandidateSet set = listCandidates(service, keys, now);
  if (set.Instances.empty())
    return std::nullopt;

  KeyAssignment assignment;
  assignment.Service = service;
  assignment.StripeCount =
      owned ? owned->countStripes()
            : chooseStripeCount(set.Instances.size(), maxRowsPerAnswer());
  assignment.Owners = set.Instances;
  std::vector<std::uint32_t> unplaced;
  const auto add = [&](std::uint32_t stripe, std::uint32_t owner) {
    KeyAssignment::Move move{stripe, owner, 0, {}};
    if (owned) {
      Stripe &state = keys.Stripes[stripe];
      state.IsProposed = true;
      move.Expected = owned->tokenOf(stripe);
      move.Handover = state.Handover;
    }
    assignment.Moves.push_back(std::move(move));
  };
  for (std::uint32_t i :
       listFreeStripes(owned, keys, assignment.StripeCount, now)) {
    auto wanted = set.Instances.end();
    if (owned && keys.Stripes[i].Destination)
      wanted = std::ranges::find(set.Instances, *keys.Stripes[i].Destination);
    if (wanted == set.Instances.end())
      unplaced.push_back(i);
    else
      add(i, static_cast<std::uint32_t>(wanted - set.Instances.begin()));
  }
  if (!unplaced.empty())
    for (const auto &placement :
         placeStripes(unplaced, countCandidates(service, set, now),
                      assignment.StripeCount))
      add(placement.Stripe, placement.Candidate);
  if (!assignment.Moves.empty()) {
    dropUnusedOwners(assignment);
    return assignment;
  }
  if (owned)
    planServiceTransfers(service, set, now);
  return std::nullopt;
}

void GrantController::planServiceTransfers(const std::string &service,
                                           const CandidateSet &set,
                                           base::MonoTime now) {
  Keys &keys = keysOf(service);
  const ServiceKeys &owned = *Table.find(service);
  if (planLoadTransfers(service, set, now) || now < keys.NextTransfers)
    return;
  const std::size_t most =
      std::size_t{owned.countStripes()} * Config.MaxTransferPercent / 100;
  const auto transfers =
      planTransfers(countCandidates(service, set, now), owned.countStripes());
  std::map<std::uint32_t, std::uint32_t> taken;
  keys.NextTransfers = now + (transfers.empty() ? TransferCheckInterval
                                                : Config.TransferInterval);
  for (const Transfer &transfer : transfers) {
    if (keys.Revoked.size() >= most)
      return;
    // Takes stripes at regular intervals, so that adjacent ones stay on
    // different targets.
    const auto held = owned.stripesOf(set.Instances[transfer.From]);
    std::uint32_t &turn = taken[transfer.From];
    for (std::size_t n = 0; n < held.size(); ++n) {
      constexpr std::size_t Stride = 7;
      const std::size_t index = (turn++ * Stride) % held.size();
      Stripe &stripe = keys.Stripes[held[index]];
      if (stripe.IsRevoked)
        continue;
      revoke(keys, held[index]);
      stripe.Destination = set.Instances[transfer.To];
      break;
    }
  }
}

void GrantController::deactivateExpired(const std::string &service,
                                        const ServiceKeys &owned,
                                        base::MonoTime now) {
  for (const auto &[id, state] : Instances) {
    if (state.Service != service || state.HoldEnd > now)
      continue;
    for (std::uint32_t i : owned.stripesOf(id))
      setActive(service, i, false);
  }
}

void GrantController::onApplied(const std::string &service,
                                const std::vector<std::uint32_t> &moved) {
  Keys &keys = keysOf(service);
  keys.IsProposed = false;
  for (std::uint32_t i : moved) {
    setActive(service, i, false);
    const auto FormerHoldEnd = keys.Stripes[i].FormerHoldEnd;
    const auto StaysUntil = keys.Stripes[i].StaysUntil;
    keys.Stripes[i] = Stripe{};
    keys.Stripes[i].FormerHoldEnd = FormerHoldEnd;
    keys.Stripes[i].StaysUntil = StaysUntil;
    keys.Revoked.erase(i);
  }
  for (Stripe &stripe : keys.Stripes)
    stripe.IsProposed = false;
}

void GrantController::onDropped(const std::string &service) {
  Keys &keys = keysOf(service);
  keys.IsProposed = false;
  for (Stripe &stripe : keys.Stripes)
    stripe.IsProposed = false;
}

bool GrantController::isUnreportedHolder(const TargetInstance &instance,
                                         base::MonoTime now) const {
  const auto it = Instances.find(instance);
  if (it == Instances.end() || it->second.HasReported ||
      it->second.HoldEnd <= now)
    return false;
  return isOwner(instance);
}

bool GrantController::isOwner(const TargetInstance &instance) const {
  const auto it = Instances.find(instance);
  if (it == Instances.end())
    return false;
  const ServiceKeys *owned = Table.find(it->second.Service);
  return owned && !owned->stripesOf(instance).empty();
}

bool GrantController::hasLaterInstance(const TargetInstance &instance) const {
  const auto it = Instances.upper_bound(instance);
  return it != Instances.end() && it->first.Id == instance.Id;
}

std::vector<StripeChange> GrantController::takeChanges() {
  return std::exchange(Changes, {});
}

const TargetInstance *GrantController::holderOf(const std::string &service,
                                                std::uint32_t stripe) const {
  auto it = Services.find(service);
  if (it == Services.end() || stripe >= it->second.Stripes.size() ||
      !it->second.Stripes[stripe].IsActive)
    return nullptr;
  return Table.find(service)->ownerOf(stripe);
}

} // namespace magnoliamill::keyspace
