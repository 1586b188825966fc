// Counters per partner with a bounded number of labels.
#include "node/PartnerCounters.h"

#include "base/Metrics.h"

#include <chrono>
#include <prometheus/counter.h>

namespace magnoliamill::node {
namespace {

std::string labelPartner(const settings::View &settings,
                         const base::ServiceId &service,
                         const base::PartnerId &partner) {
  auto it = settings.Services.find(service);
  bool listed = it != settings.Services.end() &&
                it->second.PartnerWeights.contains(partner);
  return listed ? partner.Value : "other";
}

std::string labelService(const settings::View &settings,
                         const base::ServiceId &service) {
  return settings.Services.contains(service) ? service.Value : "unknown";
}

} // namespace

void PartnerCounters::count(const settings::View &settings,
                            const base::ServiceId &service,
                            const base::PartnerId &partner,
                            base::ResultCode code, base::Duration took) {
  Key key{labelService(settings, service),
          labelPartner(settings, service, partner), code};
  auto &counters = Known[key];
  if (!counters.Ended) {
    const auto &[serviceLabel, partnerLabel, number] = key;
    counters.Ended = &base::counter(
        "mill_partner_requests_total",
        "Ends of requests at the dispatcher, by partner and result code.",
        {{"service", serviceLabel},
         {"partner", partnerLabel},
         {"code", std::to_string(base::numberOf(code))}});
    counters.Seconds = &base::counter(
        "mill_partner_seconds_total",
        "Time from a request's arrival at the dispatcher to its end.",
        {{"service", serviceLabel}, {"partner", partnerLabel}});
  }
  counters.Ended->Increment();
  counters.Seconds->Increment(std::chrono::duration<double>(took).count());
}

} // namespace magnoliamill::node
