// Routes a request at the entry VM: to the dispatcher of the slot's owner, to
// another data centre, or into a bounded wait while ownership changes. No I/O:
// takes events and returns actions.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "dispatch/RequestInfo.h"
#include "ownership/View.h"
#include "protocol/Messages.h"
#include "settings/View.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <unordered_map>
#include <vector>

namespace magnoliamill::dispatch {

struct RouterConfig {
  base::VmId Self;
  base::DataCentreId DataCentre;
  /// Maximum number of requests that may wait for a route at the same time.
  std::size_t MaxHeld = 4096;
  std::uint64_t Seed = 1;
  /// Whether the link to a VM is alive. If empty, every VM counts as alive.
  std::function<bool(const base::VmId &)> IsAlive;
};

/// Forward the request to Vm, which may be the router's own VM.
struct RouteTo {
  base::RequestId Request;
  base::VmId Vm;
};

struct RouteEnd {
  base::RequestId Request;
  protocol::RequestFailure Failure;
};

struct RouteActions {
  std::vector<RouteTo> Forward;
  std::vector<RouteEnd> End;
};

class Router {
public:
  explicit Router(RouterConfig config);

  RouteActions setSettings(settings::ViewPtr view, base::MonoTime now);
  RouteActions setOwnership(ownership::ViewPtr view, base::MonoTime now);
  /// \p MayLeaveDataCentre is false for a request that came from another data
  /// centre, to prevent routing loops.
  RouteActions submit(RequestInfo info, bool MayLeaveDataCentre,
                      base::MonoTime now);
  /// The VM that the request was forwarded to reported a failure. Requests that
  /// did not run and may succeed on a new route, and idempotent requests whose
  /// VM was lost, are routed again; all other failures are reported in End.
  RouteActions onFailure(const base::RequestId &id,
                         const protocol::RequestFailure &failure,
                         base::MonoTime now);
  /// The request was answered, or its caller disconnected.
  void forget(const base::RequestId &id);
  RouteActions tick(base::MonoTime now);
  base::MonoTime nextWake(base::MonoTime now) const;
  std::size_t countHeld() const { return Held.size(); }

private:
  struct Pending {
    RequestInfo Info;
    bool MayLeaveDataCentre = true;
    base::VmId AssignedVm;
    std::uint32_t Attempts = 0;
    base::MonoTime NotBefore{};
  };

  void route(const base::RequestId &id, Pending &pending, base::MonoTime now,
             RouteActions &actions);
  void hold(const base::RequestId &id, base::ResultCode code,
            RouteActions &actions);
  RouteActions routeHeld(base::MonoTime now);
  base::VmId chooseVm(const Pending &pending, base::MonoTime now);
  base::VmId chooseForService(const base::ServiceId &service);
  base::VmId chooseInDataCentre(const base::DataCentreId &centre);
  base::DataCentreId homeOf(const RequestInfo &info) const;
  bool isAlive(const base::VmId &vm) const;

  RouterConfig Config;
  settings::ViewPtr Settings;
  ownership::ViewPtr Ownership;
  std::mt19937_64 Random;
  // Invariant: all requests between submit and their end, held or forwarded.
  std::unordered_map<base::RequestId, Pending> Requests;
  std::vector<base::RequestId> Held;
  // Number of this router's unfinished requests at each VM, for load balancing.
  std::map<base::VmId, std::uint32_t> Outstanding;
};

} // namespace magnoliamill::dispatch
