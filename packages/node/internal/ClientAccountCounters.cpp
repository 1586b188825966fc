// Prometheus counters per client account with a bounded number of labels.
#include "node/ClientAccountCounters.h"

#include "base/Metrics.h"

#include <chrono>
#include <prometheus/counter.h>

namespace magnoliamill::node {
namespace {

std::string labelClientAccount(const settings::View &settings,
                               const base::ServiceId &service,
                               const base::ClientAccountId &account) {
  auto it = settings.Services.find(service);
  bool listed = it != settings.Services.end() &&
                it->second.ClientAccountWeights.contains(account);
  return listed ? account.Value : "other";
}

std::string labelService(const settings::View &settings,
                         const base::ServiceId &service) {
  return settings.Services.contains(service) ? service.Value : "unknown";
}

} // namespace

void ClientAccountCounters::count(const settings::View &settings,
                                  const base::ServiceId &service,
                                  const base::ClientAccountId &account,
                                  base::ResultCode code,
                                  base::Duration duration) {
  Key key{labelService(settings, service),
          labelClientAccount(settings, service, account), code};
  auto &counters = CountersByLabel[key];
  if (!counters.Ended) {
    const auto &[serviceLabel, accountLabel, number] = key;
    counters.Ended =
        &base::counter("mill_client_account_requests_total",
                       "Ends of requests at the dispatcher, by client account "
                       "and result code.",
                       {{"service", serviceLabel},
                        {"client_account", accountLabel},
                        {"code", std::to_string(base::numberOf(code))}});
    counters.Seconds = &base::counter(
        "mill_client_account_seconds_total",
        "Time from a request's arrival at the dispatcher to its end.",
        {{"service", serviceLabel}, {"client_account", accountLabel}});
  }
  counters.Ended->Increment();
  counters.Seconds->Increment(std::chrono::duration<double>(duration).count());
}

} // namespace magnoliamill::node
