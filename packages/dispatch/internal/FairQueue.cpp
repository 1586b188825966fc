// Deficit round robin over client accounts in two bands.
#include "dispatch/FairQueue.h"

#include <algorithm>

namespace magnoliamill::dispatch {

FairQueue::FairQueue(FairQueueConfig config) : Config(std::move(config)) {}

FairQueue::Band &FairQueue::bandOf(settings::Urgency urgency) {
  return urgency == settings::Urgency::Urgent ? Urgent : Normal;
}

std::uint32_t FairQueue::weightOf(const base::ClientAccountId &account) const {
  if (!Config.WeightOf)
    return 1;
  return std::max<std::uint32_t>(1, Config.WeightOf(account));
}

std::optional<RequestInfo> FairQueue::push(RequestInfo info) {
  Lane &lane = bandOf(info.Class).Lanes[info.ClientAccount];
  lane.Waiting.push_back(std::move(info));
  ++Size;
  if (Size <= Config.Limit)
    return std::nullopt;
  return evictHeaviest();
}

std::optional<RequestInfo> FairQueue::evictHeaviest() {
  base::ClientAccountId heaviest;
  double most = -1;
  for (const Band *band : {&Normal, &Urgent})
    for (const auto &[account, lane] : band->Lanes) {
      double held = static_cast<double>(sizeOf(account)) / weightOf(account);
      if (held > most) {
        most = held;
        heaviest = account;
      }
    }
  // Normal requests leave before urgent ones of the same client account.
  for (Band *band : {&Normal, &Urgent}) {
    auto it = band->Lanes.find(heaviest);
    if (it == band->Lanes.end() || it->second.Waiting.empty())
      continue;
    RequestInfo evicted = std::move(it->second.Waiting.back());
    it->second.Waiting.pop_back();
    --Size;
    if (it->second.Waiting.empty())
      band->Lanes.erase(it);
    return evicted;
  }
  return std::nullopt;
}

std::optional<RequestInfo>
FairQueue::popBand(Band &band,
                   const std::function<bool(const RequestInfo &)> &eligible) {
  // One lap over all lanes, and one more for lanes whose credit is renewed.
  std::size_t visits = 2 * band.Lanes.size();
  auto it = band.Lanes.lower_bound(band.Turn);
  for (; visits > 0; --visits) {
    if (it == band.Lanes.end())
      it = band.Lanes.begin();
    Lane &lane = it->second;
    auto found = std::ranges::find_if(lane.Waiting, eligible);
    if (found == lane.Waiting.end()) {
      // Credit is not saved up by lanes that cannot use it.
      lane.Credit = 0;
      ++it;
      continue;
    }
    if (lane.Credit == 0)
      lane.Credit = weightOf(it->first);
    RequestInfo info = std::move(*found);
    lane.Waiting.erase(found);
    --lane.Credit;
    --Size;
    bool ends = lane.Credit == 0;
    if (lane.Waiting.empty()) {
      it = band.Lanes.erase(it);
    } else if (ends) {
      ++it;
    }
    band.Turn = it == band.Lanes.end() ? base::ClientAccountId() : it->first;
    return info;
  }
  return std::nullopt;
}

std::optional<RequestInfo>
FairQueue::pop(const std::function<bool(const RequestInfo &)> &eligible) {
  bool NormalFirst = UrgentServed >= Config.UrgentRun;
  Band &first = NormalFirst ? Normal : Urgent;
  Band &second = NormalFirst ? Urgent : Normal;
  auto info = popBand(first, eligible);
  if (!info)
    info = popBand(second, eligible);
  if (!info)
    return std::nullopt;
  UrgentServed =
      info->Class == settings::Urgency::Urgent ? UrgentServed + 1 : 0;
  return info;
}

std::optional<RequestInfo> FairQueue::remove(const base::RequestId &id) {
  auto removed =
      removeIf([&id](const RequestInfo &info) { return info.Id == id; });
  if (removed.empty())
    return std::nullopt;
  return std::move(removed.front());
}

std::vector<RequestInfo>
FairQueue::removeIf(const std::function<bool(const RequestInfo &)> &leaves) {
  std::vector<RequestInfo> removed;
  for (Band *band : {&Urgent, &Normal})
    for (auto it = band->Lanes.begin(); it != band->Lanes.end();) {
      auto &waiting = it->second.Waiting;
      for (auto item = waiting.begin(); item != waiting.end();) {
        if (!leaves(*item)) {
          ++item;
          continue;
        }
        removed.push_back(std::move(*item));
        item = waiting.erase(item);
        --Size;
      }
      it = waiting.empty() ? band->Lanes.erase(it) : std::next(it);
    }
  return removed;
}

std::size_t FairQueue::sizeOf(const base::ClientAccountId &account) const {
  std::size_t held = 0;
  for (const Band *band : {&Urgent, &Normal}) {
    auto it = band->Lanes.find(account);
    if (it != band->Lanes.end())
      held += it->second.Waiting.size();
  }
  return held;
}

std::size_t FairQueue::countAhead(const base::ClientAccountId &account) const {
  std::size_t own = sizeOf(account);
  std::size_t ahead = own;
  // The rounds that the client account's own requests need, and one for the new
  // one.
  std::size_t rounds = own / weightOf(account) + 1;
  for (const Band *band : {&Urgent, &Normal})
    for (const auto &[other, lane] : band->Lanes)
      if (other != account)
        ahead += std::min(lane.Waiting.size(), rounds * weightOf(other));
  return ahead;
}

std::optional<base::MonoTime> FairQueue::earliestDeadline() const {
  std::optional<base::MonoTime> earliest;
  for (const Band *band : {&Urgent, &Normal})
    for (const auto &[account, lane] : band->Lanes)
      for (const RequestInfo &info : lane.Waiting)
        if (!earliest || info.Deadline < *earliest)
          earliest = info.Deadline;
  return earliest;
}

} // namespace magnoliamill::dispatch
