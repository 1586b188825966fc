// Bounded queue that serves client accounts by weight (deficit round robin),
// and urgent requests before normal ones without starving the latter.
#pragma once

#include "dispatch/RequestInfo.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace magnoliamill::dispatch {

struct FairQueueConfig {
  /// Maximum number of queued requests over all client accounts.
  std::size_t Limit = 64;
  /// Maximum number of urgent requests served in a row while a normal one is
  /// queued.
  std::uint32_t MaxUrgentInRow = 4;
  std::function<std::uint32_t(const base::ClientAccountId &)> WeightOf;
};

class FairQueue {
public:
  explicit FairQueue(FairQueueConfig config);

  /// Adds \p info. If the queue is full, evicts the newest request of the
  /// client account with the most requests relative to its weight, normal ones
  /// before urgent ones. This may be \p info. Returns the evicted request.
  std::optional<RequestInfo> push(RequestInfo info);
  /// Removes and returns the next request to serve for which \p eligible is
  /// true.
  std::optional<RequestInfo>
  pop(const std::function<bool(const RequestInfo &)> &eligible);
  /// Removes one request by id.
  std::optional<RequestInfo> remove(const base::RequestId &id);
  /// Removes and returns all requests for which \p matches is true.
  std::vector<RequestInfo>
  removeIf(const std::function<bool(const RequestInfo &)> &matches);

  std::size_t size() const { return Size; }
  std::size_t sizeOf(const base::ClientAccountId &account) const;
  /// How many requests would be served before a new one of \p account: its own,
  /// plus the weighted share of the other accounts in the same rounds.
  std::size_t countAhead(const base::ClientAccountId &account) const;
  /// How many queued requests of all client accounts are served before a new
  /// one of this urgency, if no others arrive.
  std::size_t countAheadOf(settings::Urgency urgency) const;
  /// The earliest deadline of a queued request.
  std::optional<base::MonoTime> earliestDeadline() const;
  void setLimit(std::size_t limit) { Config.Limit = limit; }

private:
  /// One client account's requests of one priority level.
  struct AccountQueue {
    std::deque<RequestInfo> Waiting;
    // Requests that may still be served in the current round.
    std::uint32_t Credit = 0;
  };
  struct PriorityLevel {
    std::map<base::ClientAccountId, AccountQueue> AccountQueues;
    // The client account that is served next.
    base::ClientAccountId NextAccount;
  };

  PriorityLevel &levelOf(settings::Urgency urgency);
  std::optional<RequestInfo>
  popLevel(PriorityLevel &level,
           const std::function<bool(const RequestInfo &)> &eligible);
  std::optional<RequestInfo> evictFromHeaviestAccount();
  std::uint32_t weightOf(const base::ClientAccountId &account) const;

  FairQueueConfig Config;
  PriorityLevel Urgent;
  PriorityLevel Normal;
  // Invariant: the total length of all account queues.
  std::size_t Size = 0;
  // Urgent requests served since the last normal one.
  std::uint32_t UrgentServed = 0;
};

} // namespace magnoliamill::dispatch
