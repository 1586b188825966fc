// Keeps two decaying sums for each stripe: a long one, whose noise is low, and
// a short one, which replaces the long one when they differ by more than noise:
// keys may become busy for a few seconds only.
#include "fleet/StripeLoadTable.h"

#include "base/Metrics.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <prometheus/counter.h>
#include <utility>

namespace magnoliamill::fleet {
namespace {

/// Time in which the weight of a request falls to 1/e.
constexpr base::Duration SlowMemory = std::chrono::seconds(5);
/// One interval of the entries' reports.
constexpr base::Duration FastMemory = std::chrono::seconds(1);
/// The short sum applies above this number of standard deviations. A fall is
/// recognized sooner: stripes that are not busy any more need no transfers.
constexpr double RiseDeviations = 3;
constexpr double FallDeviations = 2;
/// Remembered requests of a stripe from which its measured load counts: even
/// load gives single stripes up to four by chance.
constexpr double MinStripeRequests = 5;
/// The same in the short memory.
constexpr double MinRecentRequests = 4;
/// Requests of all stripes, as far as they are remembered, from which loads are
/// known.
constexpr double MinRequests = 100;
/// Time from the first report until loads are known: all entries have reported.
constexpr base::Duration SettleTime = std::chrono::seconds(3);
/// Without reports for longer, loads are unknown. Also the longest interval
/// that a report may cover.
constexpr base::Duration MaxReportAge = std::chrono::seconds(3);
constexpr base::Duration StepInterval = std::chrono::milliseconds(250);

double toSeconds(base::Duration time) {
  return std::chrono::duration<double>(time).count();
}

void countReport(bool used) {
  static auto &taken = base::counter(
      "mill_stripe_load_reports_total",
      "Reports on one service's load by stripe that the leader has received.",
      {{"result", "used"}});
  static auto &ignored = base::counter(
      "mill_stripe_load_reports_total",
      "Reports on one service's load by stripe that the leader has received.",
      {{"result", "ignored"}});
  (used ? taken : ignored).Increment();
}

} // namespace

void StripeLoadTable::Sums::resize(std::uint32_t stripes) {
  ByStripe.resize(stripes);
  CoveredByStripe.resize(stripes);
}

void StripeLoadTable::Sums::decay(base::Duration time) {
  const double factor = std::exp(-toSeconds(time) / toSeconds(Memory));
  const auto added = static_cast<float>(std::exchange(Added, 0));
  for (std::size_t i = 0; i < ByStripe.size(); ++i) {
    ByStripe[i] *= static_cast<float>(factor);
    CoveredByStripe[i] =
        (CoveredByStripe[i] + added) * static_cast<float>(factor);
  }
  Rest *= factor;
  Total *= factor;
  Covered *= factor;
  Passed = Passed * factor + toSeconds(Memory) * (1 - factor);
}

double StripeLoadTable::Sums::perSecond(std::size_t stripe,
                                        double entries) const {
  if (Covered <= 0 || CoveredByStripe[stripe] <= 0)
    return 0;
  return std::max(
      (ByStripe[stripe] / CoveredByStripe[stripe] + Rest / Covered) * entries,
      0.0);
}

double StripeLoadTable::Sums::windowOf(std::size_t stripe,
                                       double entries) const {
  const double memory = toSeconds(Memory);
  const double seconds = std::min(CoveredByStripe[stripe] / entries, memory);
  return 2 * seconds / (2 - seconds / memory);
}

StripeLoadTable::Service::Service() : Slow(SlowMemory), Fast(FastMemory) {}

StripeLoadTable::StripeLoadTable(const keyspace::KeyTable &keys,
                                 WorkTimeHook hook)
    : Keys(&keys), ReadWorkTime(std::move(hook)) {}

void StripeLoadTable::add(const StripeLoadReport &report, base::MonoTime now) {
  for (const StripeLoad &load : report) {
    const auto *owned = Keys->find(load.Service);
    const bool IsUsable = owned && owned->countStripes() == load.StripeCount &&
                          load.Interval > base::Duration::zero() &&
                          load.Interval <= MaxReportAge &&
                          load.Busiest.size() <= load.StripeCount;
    countReport(IsUsable);
    if (!IsUsable)
      continue;
    auto [it, added] = Services.try_emplace(load.Service);
    Service &service = it->second;
    if (added || now - service.LastReport > MaxReportAge) {
      service = {};
      service.Since = service.LastStep = now;
      service.Slow.resize(load.StripeCount);
      service.Fast.resize(load.StripeCount);
    }
    step(load.Service, service, now);
    service.LastReport = now;
    std::uint64_t busiest = 0;
    for (const auto &count : load.Busiest)
      busiest += count.Requests;
    const std::size_t others = load.StripeCount - load.Busiest.size();
    const double rest = load.Requests > busiest && others > 0
                            ? static_cast<double>(load.Requests - busiest) /
                                  static_cast<double>(others)
                            : 0;
    for (Sums *sums : {&service.Slow, &service.Fast}) {
      sums->Rest += rest;
      sums->Total += load.Requests;
      sums->Covered += toSeconds(load.Interval);
      sums->Added += toSeconds(load.Interval);
      for (const auto &count : load.Busiest)
        sums->ByStripe[count.Stripe] +=
            static_cast<float>(count.Requests - rest);
    }
  }
}

const keyspace::StripeLoads *StripeLoadTable::find(const std::string &service,
                                                   base::MonoTime now) {
  const auto it = Services.find(service);
  if (it == Services.end())
    return nullptr;
  if (now - it->second.LastReport > MaxReportAge)
    return nullptr;
  step(service, it->second, now);
  return it->second.IsKnown ? &it->second.Loads : nullptr;
}

void StripeLoadTable::step(const std::string &name, Service &service,
                           base::MonoTime now) {
  const auto passed = now - service.LastStep;
  if (passed < StepInterval)
    return;
  service.LastStep = now;
  service.Slow.decay(passed);
  service.Fast.decay(passed);
  service.IsKnown =
      now - service.Since >= SettleTime && service.Slow.Total >= MinRequests;
  if (!service.IsKnown)
    return;
  estimate(service);
  service.Loads.WorkTime = ReadWorkTime ? ReadWorkTime(name) : base::Duration{};
}

void StripeLoadTable::estimate(Service &service) {
  Sums &slow = service.Slow;
  const Sums &fast = service.Fast;
  auto &loads = service.Loads;
  loads.MinCertain = MinStripeRequests / toSeconds(SlowMemory);
  loads.ByStripe.resize(slow.ByStripe.size());
  // How many report, on average.
  const double entries = slow.Covered / slow.Passed;
  for (std::size_t i = 0; i < loads.ByStripe.size(); ++i) {
    double load = slow.perSecond(i, entries);
    const double recent = fast.perSecond(i, entries);
    const double window = fast.windowOf(i, entries);
    const double noise = std::sqrt(load / window);
    if (std::max(load, recent) * toSeconds(FastMemory) >= MinRecentRequests &&
        (recent - load > noise * RiseDeviations ||
         load - recent > noise * FallDeviations)) {
      load = recent;
      // The long sum goes on as if it had the variance of the short one.
      const double seconds = 2 * window / (2 + window / toSeconds(SlowMemory));
      slow.CoveredByStripe[i] = static_cast<float>(seconds * entries);
      slow.ByStripe[i] = static_cast<float>(
          (recent / entries - slow.Rest / slow.Covered) * seconds * entries);
    }
    loads.ByStripe[i] = {static_cast<float>(load),
                         static_cast<float>(load / slow.windowOf(i, entries))};
  }
}

} // namespace magnoliamill::fleet
