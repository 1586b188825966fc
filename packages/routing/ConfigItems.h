// The items of an operator's configuration: routes, services, limits. Each has
// a name and a version of its own.
#pragma once

#include "base/Result.h"
#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliamill::routing {

using ItemVersion = std::uint64_t;

/// What may be repeated on a route.
enum class RouteKind : std::uint8_t {
  /// May run more than once.
  Idempotent,
  /// May run once for each client attempt.
  AtMostOnce,
  /// Idempotent, with large answers.
  Download,
};

/// One service of a route and its part of the route's requests.
struct Share {
  std::string Service;
  std::uint32_t Weight = 0;
  bool operator==(const Share &) const = default;
};

struct Route {
  std::string Name;
  ItemVersion Version = 0;
  /// A removed route keeps its version, so that an older change stays void.
  bool IsRemoved = false;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  RouteKind Kind = RouteKind::Idempotent;
  /// The longest time that a request is kept waiting.
  base::Duration Timeout{};
  /// The time within which an answer is worth most.
  base::Duration LatencyObjective{};
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  /// Targets that one client attempt may be sent to.
  std::uint32_t MaxAttempts = 1;
  std::vector<Share> Shares;
  /// The item as the operator wrote it, for reading back. Empty in the view.
  std::string Document;
  bool operator==(const Route &) const = default;
};

struct Service {
  std::string Name;
  ItemVersion Version = 0;
  bool IsRemoved = false;
  std::string HealthPath;
  /// Connections that one target takes from all callers together.
  std::uint32_t MaxConnections = 0;
  /// True when each key has one holder.
  bool IsKeyed = false;
  /// How long keys that came without a handover are slow.
  base::Duration WarmUpTime{};
  std::string Document;
  bool operator==(const Service &) const = default;
};

/// What a client may send, and how long it may take.
struct ClientLimits {
  ItemVersion Version = 0;
  std::uint64_t MaxHeaderBytes = 16u << 10;
  std::uint64_t MaxBodyBytes = 64u << 20;
  base::Duration HeaderTimeout = std::chrono::seconds(3);
  base::Duration IdleTimeout = std::chrono::seconds(15);
  std::string Document;
  bool operator==(const ClientLimits &) const = default;
};

/// A set of items: one call of an operator, or everything.
struct ConfigItems {
  std::vector<Route> Routes;
  std::vector<Service> Services;
  std::optional<ClientLimits> Limits;

  bool empty() const { return Routes.empty() && Services.empty() && !Limits; }
};

/// Checks \p items by themselves and against the services of \p IsService.
/// Error: ValueInvalid with the first fault.
template <typename ServiceTest>
base::Result<void> checkItems(const ConfigItems &items, ServiceTest IsService);

/// The faults of one route apart from its services. Error: ValueInvalid.
base::Result<void> checkRoute(const Route &route);

template <typename ServiceTest>
base::Result<void> checkItems(const ConfigItems &items, ServiceTest IsService) {
  for (const Route &route : items.Routes) {
    if (route.IsRemoved)
      continue;
    if (auto checked = checkRoute(route); !checked)
      return checked;
    for (const Share &share : route.Shares)
      if (!IsService(std::string_view(share.Service)))
        return base::fail(base::ResultCode::ValueInvalid,
                          "route " + route.Name +
                              " names the unknown service " + share.Service);
  }
  return base::ok();
}

} // namespace magnoliamill::routing
