// Validates single configuration items.
#include "routing/ConfigItems.h"

namespace magnoliamill::routing {
namespace {

/// The latency objective must exceed the timeout by less than this.
constexpr base::Duration MaxObjectiveExcess = std::chrono::minutes(1);

auto invalidRoute(const Route &route, std::string_view fault) {
  return base::fail(base::ResultCode::ValueInvalid,
                    "route " + route.Name + ": " + std::string(fault));
}

} // namespace

base::Result<void> checkRoute(const Route &route) {
  if (route.Host.empty())
    return invalidRoute(route, "the host is empty");
  const bool HasSlashes =
      route.PathPrefix.starts_with('/') && route.PathPrefix.ends_with('/');
  if (!HasSlashes)
    return invalidRoute(route,
                        "the path prefix does not start and end with '/'");
  if (route.Timeout <= base::Duration::zero())
    return invalidRoute(route, "the timeout is not positive");
  if (route.LatencyObjective - route.Timeout >= MaxObjectiveExcess)
    return invalidRoute(route, "the latency objective exceeds the timeout by a "
                               "minute or more");
  std::uint64_t sum = 0;
  for (const Share &share : route.Shares)
    sum += share.Weight;
  if (sum == 0)
    return invalidRoute(route, "the weights add up to 0");
  return base::ok();
}

} // namespace magnoliamill::routing
