// Counts, per client account, the requests that ended at this VM's dispatcher
// by result code, and the time that they took.
#pragma once

#include "base/Ids.h"
#include "base/ResultCode.h"
#include "base/Time.h"
#include "settings/View.h"

#include <map>
#include <string>
#include <tuple>

namespace prometheus {
class Counter;
} // namespace prometheus

namespace magnoliamill::node {

/// Not thread-safe.
class ClientAccountCounters {
public:
  /// Counts one ended request, which took \p duration. Callers may name any
  /// client account, so accounts that the service does not list are counted
  /// together as "other" and services that are not in force as "unknown". This
  /// bounds the number of labels.
  void count(const settings::View &settings, const base::ServiceId &service,
             const base::ClientAccountId &account, base::ResultCode code,
             base::Duration duration);

private:
  struct Counters {
    prometheus::Counter *Ended = nullptr;
    prometheus::Counter *Seconds = nullptr;
  };
  using Key = std::tuple<std::string, std::string, base::ResultCode>;

  std::map<Key, Counters> CountersByLabel;
};

} // namespace magnoliamill::node
