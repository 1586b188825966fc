// What each client account got from this VM's dispatcher: ends of requests by
// result code, and time until they ended.
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
  /// Counts one end. Callers may name any client account, so those that the
  /// service does not list are counted together as "other", and services that
  /// are not in force as "unknown": the number of labels stays bounded.
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
