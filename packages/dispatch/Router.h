// Decides at the entry VM where a request goes: to the dispatcher of its owner,
// to another data centre, or into a short wait while ownership changes. No I/O.
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
  /// Requests that may wait for a route at once.
  std::size_t MaxHeld = 4096;
  std::uint64_t Seed = 1;
  /// Whether the link to a VM answers.
  std::function<bool(const base::VmId &)> IsAlive;
};

/// Hand the request to this VM; Vm may be the router's own.
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
  /// \p MayLeaveDataCentre: false for a request that came from another data
  /// centre, so that it cannot travel in a circle.
  RouteActions submit(RequestInfo info, bool MayLeaveDataCentre,
                      base::MonoTime now);
  /// The VM that the request went to failed it. Not-run failures that a new
  /// route can mend are tried again, the rest is passed on in End.
  RouteActions onFailure(const base::RequestId &id,
                         const protocol::RequestFailure &failure,
                         base::MonoTime now);
  /// The request was answered, or its caller went away.
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
  // Invariant: every request between submit and its end, held or at a VM.
  std::unordered_map<base::RequestId, Pending> Requests;
  std::vector<base::RequestId> Held;
  // Requests that this router has at each VM, for the choice between VMs.
  std::map<base::VmId, std::uint32_t> Outstanding;
};

} // namespace magnoliamill::dispatch
