// Bounded queue that serves client accounts by weight (deficit round robin),
// urgent requests ahead of normal ones without starving them.
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
  /// Requests that may wait, over all client accounts.
  std::size_t Limit = 64;
  /// Urgent requests served in a row while a normal one waits.
  std::uint32_t MaxUrgentInRow = 4;
  std::function<std::uint32_t(const base::ClientAccountId &)> WeightOf;
};

class FairQueue {
public:
  explicit FairQueue(FairQueueConfig config);

  /// Puts \p info in. When the queue is full, the newest request of the client
  /// account that holds most relative to its weight leaves instead: that may be
  /// \p info. Returns what left.
  std::optional<RequestInfo> push(RequestInfo info);
  /// The next request to serve for which \p eligible holds.
  std::optional<RequestInfo>
  pop(const std::function<bool(const RequestInfo &)> &eligible);
  /// Takes out one request by id.
  std::optional<RequestInfo> remove(const base::RequestId &id);
  /// Takes out all requests for which \p leaves holds.
  std::vector<RequestInfo>
  removeIf(const std::function<bool(const RequestInfo &)> &leaves);

  std::size_t size() const { return Size; }
  std::size_t sizeOf(const base::ClientAccountId &account) const;
  /// How many requests would be served before a new one of \p account: its own,
  /// and for each of them a weighted share of the others'.
  std::size_t countAhead(const base::ClientAccountId &account) const;
  /// The earliest deadline of a waiting request.
  std::optional<base::MonoTime> earliestDeadline() const;
  void setLimit(std::size_t limit) { Config.Limit = limit; }

private:
  /// One client account's requests of one class.
  struct AccountQueue {
    std::deque<RequestInfo> Waiting;
    // Requests this lane may still serve in the present round.
    std::uint32_t Credit = 0;
  };
  struct PriorityLevel {
    std::map<base::ClientAccountId, AccountQueue> AccountQueues;
    // The client account whose turn it is.
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
  // Invariant: the sum of all lanes' lengths.
  std::size_t Size = 0;
  // Urgent requests served since the last normal one.
  std::uint32_t UrgentServed = 0;
};

} // namespace magnoliamill::dispatch
