// Deficit round robin over client accounts in two priority levels.
#include "dispatch/FairQueue.h"

#include <algorithm>

namespace magnoliamill::dispatch {

FairQueue::FairQueue(FairQueueConfig config) : Config(std::move(config)) {}

FairQueue::PriorityLevel &FairQueue::levelOf(settings::Urgency urgency) {
  return urgency == settings::Urgency::Urgent ? Urgent : Normal;
}

std::uint32_t FairQueue::weightOf(const base::ClientAccountId &account) const {
  if (!Config.WeightOf)
    return 1;
  return std::max<std::uint32_t>(1, Config.WeightOf(account));
}

std::optional<RequestInfo> FairQueue::push(RequestInfo info) {
  AccountQueue &queue = levelOf(info.Class).AccountQueues[info.ClientAccount];
  queue.Waiting.push_back(std::move(info));
  ++Size;
  if (Size <= Config.Limit)
    return std::nullopt;
  return evictFromHeaviestAccount();
}

std::optional<RequestInfo> FairQueue::evictFromHeaviestAccount() {
  base::ClientAccountId heaviest;
  double most = -1;
  for (const PriorityLevel *level : {&Normal, &Urgent})
    for (const auto &[account, queue] : level->AccountQueues) {
      double held = static_cast<double>(sizeOf(account)) / weightOf(account);
      if (held > most) {
        most = held;
        heaviest = account;
      }
    }
  // Normal requests are evicted before urgent ones of the same client account.
  for (PriorityLevel *level : {&Normal, &Urgent}) {
    auto it = level->AccountQueues.find(heaviest);
    if (it == level->AccountQueues.end() || it->second.Waiting.empty())
      continue;
    RequestInfo evicted = std::move(it->second.Waiting.back());
    it->second.Waiting.pop_back();
    --Size;
    if (it->second.Waiting.empty())
      level->AccountQueues.erase(it);
    return evicted;
  }
  return std::nullopt;
}

std::optional<RequestInfo>
FairQueue::popLevel(PriorityLevel &level,
                    const std::function<bool(const RequestInfo &)> &eligible) {
  // One pass over all account queues, and a second one for those whose credit
  // is renewed.
  std::size_t visits = 2 * level.AccountQueues.size();
  auto it = level.AccountQueues.lower_bound(level.NextAccount);
  for (; visits > 0; --visits) {
    if (it == level.AccountQueues.end())
      it = level.AccountQueues.begin();
    AccountQueue &queue = it->second;
    auto found = std::ranges::find_if(queue.Waiting, eligible);
    if (found == queue.Waiting.end()) {
      // Account queues that cannot use their credit do not save it.
      queue.Credit = 0;
      ++it;
      continue;
    }
    if (queue.Credit == 0)
      queue.Credit = weightOf(it->first);
    RequestInfo info = std::move(*found);
    queue.Waiting.erase(found);
    --queue.Credit;
    --Size;
    bool ends = queue.Credit == 0;
    if (queue.Waiting.empty()) {
      it = level.AccountQueues.erase(it);
    } else if (ends) {
      ++it;
    }
    level.NextAccount =
        it == level.AccountQueues.end() ? base::ClientAccountId() : it->first;
    return info;
  }
  return std::nullopt;
}

std::optional<RequestInfo>
FairQueue::pop(const std::function<bool(const RequestInfo &)> &eligible) {
  bool NormalFirst = UrgentServed >= Config.MaxUrgentInRow;
  PriorityLevel &first = NormalFirst ? Normal : Urgent;
  PriorityLevel &second = NormalFirst ? Urgent : Normal;
  auto info = popLevel(first, eligible);
  if (!info)
    info = popLevel(second, eligible);
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
FairQueue::removeIf(const std::function<bool(const RequestInfo &)> &matches) {
  std::vector<RequestInfo> removed;
  for (PriorityLevel *level : {&Urgent, &Normal})
    for (auto it = level->AccountQueues.begin();
         it != level->AccountQueues.end();) {
      auto &waiting = it->second.Waiting;
      for (auto item = waiting.begin(); item != waiting.end();) {
        if (!matches(*item)) {
          ++item;
          continue;
        }
        removed.push_back(std::move(*item));
        item = waiting.erase(item);
        --Size;
      }
      it = waiting.empty() ? level->AccountQueues.erase(it) : std::next(it);
    }
  return removed;
}

std::size_t FairQueue::sizeOf(const base::ClientAccountId &account) const {
  std::size_t held = 0;
  for (const PriorityLevel *level : {&Urgent, &Normal}) {
    auto it = level->AccountQueues.find(account);
    if (it != level->AccountQueues.end())
      held += it->second.Waiting.size();
  }
  return held;
}

std::size_t FairQueue::countAhead(const base::ClientAccountId &account) const {
  std::size_t own = sizeOf(account);
  std::size_t ahead = own;
  // The rounds that the client account's queued requests need, plus one for the
  // new request.
  std::size_t rounds = own / weightOf(account) + 1;
  for (const PriorityLevel *level : {&Urgent, &Normal})
    for (const auto &[other, queue] : level->AccountQueues)
      if (other != account)
        ahead += std::min(queue.Waiting.size(), rounds * weightOf(other));
  return ahead;
}

std::size_t FairQueue::countAheadOf(settings::Urgency urgency) const {
  if (urgency == settings::Urgency::Normal)
    return Size;
  std::size_t urgent = 0;
  for (const auto &[account, queue] : Urgent.AccountQueues)
    urgent += queue.Waiting.size();
  // Normal requests are served in between, so that they are not starved.
  return urgent + std::min(Size - urgent, urgent / Config.MaxUrgentInRow);
}

std::optional<base::MonoTime> FairQueue::earliestDeadline() const {
  std::optional<base::MonoTime> earliest;
  for (const PriorityLevel *level : {&Urgent, &Normal})
    for (const auto &[account, queue] : level->AccountQueues)
      for (const RequestInfo &info : queue.Waiting)
        if (!earliest || info.Deadline < *earliest)
          earliest = info.Deadline;
  return earliest;
}

} // namespace magnoliamill::dispatch
