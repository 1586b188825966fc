// Plans homes and groups from the current settings.
#include "settings/HomeController.h"

#include <algorithm>
#include <set>

namespace magnoliamill::settings {
namespace {

using Centres = std::vector<base::DataCentreId>;

bool contains(const Centres &centres, const base::DataCentreId &centre) {
  return std::ranges::find(centres, centre) != centres.end();
}

bool isGone(const View &view, const base::DataCentreId &centre) {
  auto it = view.DataCentreRules.find(centre);
  return it != view.DataCentreRules.end() && it->second.Gone;
}

/// Plans the homes of the slots of one service.
class ServicePlanner {
public:
  ServicePlanner(const View &view, const ServiceView &service,
                 const HomeControllerConfig &config)
      : Current(view), Service(service), Config(config) {
    for (const auto &centre : service.DataCentres)
      if (!isGone(view, centre))
        Allowed.push_back(centre);
  }

  void plan(std::vector<Command> &out) {
    if (Allowed.empty())
      return;
    auto it = Current.Homes.find(Service.Id);
    if (it == Current.Homes.end()) {
      out.emplace_back(assignAll());
      return;
    }
    countSlots(it->second);
    for (std::size_t i = 0; i < it->second.size(); ++i)
      planMisplaced(slotAt(i), it->second[i], out);
    planBalance(it->second, out);
  }

private:
  base::SlotId slotAt(std::size_t i) const {
    return {Service.Id, static_cast<base::SlotNumber>(i)};
  }

  AssignHomes assignAll() const {
    AssignHomes assign;
    assign.Service = Service.Id;
    for (std::uint32_t slot = 0; slot < Service.Slots; ++slot)
      assign.Homes.push_back(Allowed[slot % Allowed.size()]);
    return assign;
  }

  /// Counts the slots of each data centre; a moving slot counts at its
  /// destination.
  void countSlots(const std::vector<SlotHome> &homes) {
    for (const auto &centre : Allowed)
      if (canServe(centre))
        Count[centre] = 0;
    for (const auto &home : homes) {
      auto it = Count.find(home.MovingTo.value_or(home.Home));
      if (it != Count.end())
        ++it->second;
      if (home.MovingTo)
        ++Moving;
    }
  }

  bool canServe(const base::DataCentreId &centre) const {
    return !Config.CanServe || Config.CanServe(Service.Id, centre);
  }

  /// The data centre with the fewest slots; of equal ones the first by name.
  std::optional<base::DataCentreId> leastLoaded() const {
    auto it = std::ranges::min_element(
        Count, {}, [](const auto &entry) { return entry.second; });
    if (it == Count.end())
      return std::nullopt;
    return it->first;
  }

  void planMisplaced(const base::SlotId &slot, const SlotHome &home,
                     std::vector<Command> &out) {
    if (isGone(Current, home.Home)) {
      reclaim(slot, home, out);
      return;
    }
    bool badmove = home.MovingTo && !contains(Allowed, *home.MovingTo);
    if (badmove && contains(Allowed, home.Home)) {
      out.emplace_back(CancelHomeMove{0, slot, home.Epoch});
      return;
    }
    bool misplaced = !home.MovingTo && !contains(Allowed, home.Home);
    if (badmove || misplaced)
      beginMove(slot, home, out);
  }

  void reclaim(const base::SlotId &slot, const SlotHome &home,
               std::vector<Command> &out) {
    auto to = leastLoaded();
    // If no data centre has a target yet, any allowed one is better than
    // leaving the slot in the data centre that is gone.
    if (!to)
      to = Allowed.front();
    ++Count[*to];
    out.emplace_back(ReclaimHome{0, slot, home.Epoch, *to});
  }

  void beginMove(const base::SlotId &slot, const SlotHome &home,
                 std::vector<Command> &out) {
    auto to = leastLoaded();
    bool atlimit = !home.MovingTo && Moving >= Config.MaxMovesPerService;
    if (!to || atlimit)
      return;
    if (!home.MovingTo)
      ++Moving;
    ++Count[*to];
    out.emplace_back(BeginHomeMove{0, slot, home.Epoch, *to});
  }

  /// Moves slots to the data centre with the fewest slots until the counts
  /// differ by at most one.
  void planBalance(const std::vector<SlotHome> &homes,
                   std::vector<Command> &out) {
    for (std::size_t i = 0; i < homes.size(); ++i) {
      if (Moving >= Config.MaxMovesPerService)
        return;
      const auto &home = homes[i];
      auto from = Count.find(home.Home);
      auto to = leastLoaded();
      if (home.MovingTo || from == Count.end() || !to ||
          from->second <= Count.at(*to) + 1)
        continue;
      --from->second;
      beginMove(slotAt(i), home, out);
    }
  }

  const View &Current;
  const ServiceView &Service;
  const HomeControllerConfig &Config;
  Centres Allowed;
  // Number of slots per allowed data centre that has targets.
  std::map<base::DataCentreId, std::uint64_t> Count;
  std::uint32_t Moving = 0;
};

/// True when the group of \p epoch can no longer reach a quorum. This is only
/// certain once all registered VMs of the data centre have reported: a replica
/// that does not hold the epoch then has lost its state and cannot come back
/// under the same identity.
bool isQuorumLost(const std::vector<ReplicaReport> &fresh, std::uint64_t epoch,
                  std::size_t registered) {
  std::set<consensus::ReplicaId> holders;
  for (const auto &report : fresh) {
    if (report.KnownEpoch != epoch)
      return false;
    if (report.HeldEpoch == epoch)
      holders.insert(report.Replica);
  }
  if (fresh.size() < registered)
    return false;
  return std::ranges::all_of(fresh, [&](const ReplicaReport &report) {
    if (!holders.contains(report.Replica))
      return true;
    auto alive = std::ranges::count_if(report.Voters, [&](const auto &voter) {
      return holders.contains(voter);
    });
    return static_cast<std::size_t>(alive) * 2 <= report.Voters.size() &&
           !report.Voters.empty();
  });
}

std::vector<consensus::ReplicaId>
pickMembers(const std::vector<ReplicaReport> &fresh, std::size_t most) {
  std::vector<consensus::ReplicaId> members;
  for (const auto &report : fresh)
    if (report.Candidate && members.size() < most)
      members.push_back(report.Replica);
  return members;
}

} // namespace

HomeController::HomeController(HomeControllerConfig config)
    : Config(std::move(config)) {}

void HomeController::report(const ReplicaReport &report, base::MonoTime now) {
  LastReports[report.Replica.Vm] = {report, now};
}

bool HomeController::CommandThrottle::tryAcquire(const View &view,
                                                 base::MonoTime now,
                                                 base::Duration retry) {
  if (view.Index == Index && now - At < retry)
    return false;
  Index = view.Index;
  At = now;
  return true;
}

std::vector<Command> HomeController::step(const View &view,
                                          base::MonoTime now) {
  std::vector<Command> out;
  planGroups(view, now, out);
  if (!out.empty() &&
      !GroupThrottle.tryAcquire(view, now, Config.RetryInterval))
    out.clear();
  if (HomeThrottle.tryAcquire(view, now, Config.RetryInterval))
    planHomes(view, out);
  if (out.size() > Config.MaxCommands)
    out.resize(Config.MaxCommands);
  return out;
}

void HomeController::planHomes(const View &view,
                               std::vector<Command> &out) const {
  for (const auto &[id, service] : view.Services)
    if (service.Keyed)
      ServicePlanner(view, service, Config).plan(out);
}

HomeController::Reports
HomeController::freshReports(const base::DataCentreId &centre,
                             base::MonoTime now) const {
  Reports fresh;
  for (const auto &[vm, seen] : LastReports)
    if (seen.Report.DataCentre == centre &&
        now - seen.At <= Config.ReportLifetime)
      fresh.push_back(seen.Report);
  return fresh;
}

bool HomeController::isStartDue(const View &view,
                                const base::DataCentreId &centre,
                                const Reports &fresh, base::MonoTime now) {
  auto registered = static_cast<std::size_t>(
      std::ranges::count_if(view.Vms, [&](const auto &it) {
        return it.second.DataCentre == centre;
      }));
  auto candidates = pickMembers(fresh, Config.MaxGroupMembers).size();
  auto group = view.Groups.find(centre);
  bool first = group == view.Groups.end();
  auto rule = view.DataCentreRules.find(centre);
  bool abandoned = !first && rule != view.DataCentreRules.end() &&
                   rule->second.AbandonedEpoch >= group->second.Epoch;
  bool lost = !first && isQuorumLost(fresh, group->second.Epoch, registered);
  if (candidates == 0 || !(first || abandoned || lost)) {
    WaitingSince.erase(centre);
    return false;
  }
  if (candidates >= std::min(Config.MaxGroupMembers, registered) && !lost)
    return true;
  auto since = WaitingSince.emplace(centre, now).first->second;
  return now - since >= (lost ? Config.LostGroupDelay : Config.GroupStartDelay);
}

void HomeController::planGroups(const View &view, base::MonoTime now,
                                std::vector<Command> &out) {
  std::set<base::DataCentreId> centres;
  for (const auto &[id, vm] : view.Vms)
    if (!isGone(view, vm.DataCentre))
      centres.insert(vm.DataCentre);
  for (const auto &centre : centres) {
    auto fresh = freshReports(centre, now);
    if (!isStartDue(view, centre, fresh, now))
      continue;
    auto group = view.Groups.find(centre);
    StartDataCentreGroup start;
    start.DataCentre = centre;
    start.Members = pickMembers(fresh, Config.MaxGroupMembers);
    start.ExpectedEpoch = group == view.Groups.end() ? 0 : group->second.Epoch;
    out.emplace_back(std::move(start));
  }
}

} // namespace magnoliamill::settings
