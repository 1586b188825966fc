// Used by an entry: counts the requests for each stripe of keyed services.
#pragma once

#include "base/Time.h"
#include "fleet/StripeLoad.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace magnoliamill::fleet {

class StripeLoadMeter {
public:
  explicit StripeLoadMeter(base::MonoTime now) : Since(now) {}

  /// Counts a request that was received, also if it is refused later. \p count
  /// is the number of stripes in the view, above 0.
  void onRequest(const std::string &service, std::uint32_t stripe,
                 std::uint32_t count) {
    Counts &counts = ByService[service];
    // Counts by another number of stripes can't be added.
    if (std::exchange(counts.StripeCount, count) != count) {
      counts.Requests = 0;
      counts.ByStripe.clear();
    }
    ++counts.Requests;
    ++counts.ByStripe[stripe];
  }

  /// Returns what was counted since the last call.
  StripeLoadReport take(base::MonoTime now) {
    StripeLoadReport report;
    const auto interval = now - std::exchange(Since, now);
    for (const auto &[service, counts] : ByService) {
      StripeLoad load{
          service, counts.StripeCount, interval, counts.Requests, {}};
      for (const auto &[stripe, requests] : counts.ByStripe)
        load.Busiest.push_back({stripe, requests});
      // Ties are broken by the stripe, so that reports are reproducible.
      const auto last =
          load.Busiest.begin() + static_cast<std::ptrdiff_t>(
                                     std::min(MaxBusiest, load.Busiest.size()));
      std::ranges::partial_sort(
          load.Busiest, last, {}, [](const StripeLoad::Count &it) {
            return std::pair(UINT32_MAX - it.Requests, it.Stripe);
          });
      load.Busiest.erase(last, load.Busiest.end());
      report.push_back(std::move(load));
    }
    ByService.clear();
    return report;
  }

private:
  /// Stripes of a service in a report: half a kilobyte a second, since an
  /// entry's link may have 1.5 Mbit/s. An entry with 14 requests a second
  /// reports all of them.
  static constexpr std::size_t MaxBusiest = 64;

  struct Counts {
    std::uint32_t StripeCount = 0;
    std::uint32_t Requests = 0;
    std::unordered_map<std::uint32_t, std::uint32_t> ByStripe;
  };
  base::MonoTime Since;
  std::map<std::string, Counts> ByService;
};

} // namespace magnoliamill::fleet
