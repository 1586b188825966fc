// The configuration items set by operators: routes, services and client limits.
// Each item has its own version; routes and services also have a name.
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

/// Whether requests of a route may be retried.
enum class RouteKind : std::uint8_t {
  /// May run more than once.
  Idempotent,
  /// Runs at most once per client attempt.
  AtMostOnce,
  /// Idempotent with large answers.
  Download,
};

/// A service of a route and its weight among the route's services.
struct Share {
  std::string Service;
  std::uint32_t Weight = 0;
  bool operator==(const Share &) const = default;
};

struct Route {
  std::string Name;
  ItemVersion Version = 0;
  /// A removed route is kept with its version, so that older changes are still
  /// ignored.
  bool IsRemoved = false;
  std::string Host;
  /// Starts and ends with a slash.
  std::string PathPrefix;
  RouteKind Kind = RouteKind::Idempotent;
  /// Maximum time until a request is answered.
  base::Duration Timeout{};
  /// The latency that answers should not exceed.
  base::Duration LatencyObjective{};
  /// 0 is the highest priority.
  std::uint32_t Priority = 0;
  /// Maximum number of targets that one client attempt is sent to.
  std::uint32_t MaxAttempts = 1;
  std::vector<Share> Shares;
  /// The item as written by the operator, returned by read requests. Empty in
  /// the view.
  std::string Document;
  bool operator==(const Route &) const = default;
};

struct Service {
  std::string Name;
  ItemVersion Version = 0;
  bool IsRemoved = false;
  std::string HealthPath;
  /// Maximum number of connections of one target, over all callers.
  std::uint32_t MaxConnections = 0;
  /// Whether each key is held by exactly one target.
  bool IsKeyed = false;
  /// How long a target serves keys slowly that it got without handover data.
  base::Duration WarmUpTime{};
  /// How long a target is slow after its start.
  base::Duration TargetWarmUpTime{};
  /// Requests a second that a target takes in that time; 0 for no limit.
  double WarmUpPerSecond = 0;
  std::string Document;
  bool operator==(const Service &) const = default;
};

/// Size and time limits for client requests.
struct ClientLimits {
  ItemVersion Version = 0;
  std::uint64_t MaxHeaderBytes = 16u << 10;
  std::uint64_t MaxBodyBytes = 64u << 20;
  base::Duration HeaderTimeout = std::chrono::seconds(3);
  base::Duration IdleTimeout = std::chrono::seconds(15);
  std::string Document;
  bool operator==(const ClientLimits &) const = default;
};

/// A set of items: those of one operator call, or the whole configuration.
struct ConfigItems {
  std::vector<Route> Routes;
  std::vector<Service> Services;
  std::optional<ClientLimits> Limits;

  bool empty() const { return Routes.empty() && Services.empty() && !Limits; }
};

/// Checks one route, except for the existence of its services.
/// Error: ValueInvalid.
base::Result<void> checkRoute(const Route &route);

} // namespace magnoliamill::routing
