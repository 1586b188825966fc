// Routes requests by the current views, with a bounded wait while they change.
#include "dispatch/Router.h"

#include <algorithm>

namespace magnoliamill::dispatch {
namespace {

// Wait before a request that was sent back is routed again; doubles up to
// MaxBackoff.
constexpr base::Duration InitialBackoff = std::chrono::milliseconds(2);
constexpr base::Duration MaxBackoff = std::chrono::milliseconds(50);
constexpr base::Duration MaxTickInterval = std::chrono::milliseconds(100);
// Retry time that is given to refused callers.
constexpr std::uint32_t RetryAfterMs = 500;

// Maximum number of attempts for an idempotent request whose dispatching VM was
// lost.
constexpr std::uint32_t MaxIdempotentAttempts = 3;

bool isReroutable(base::ResultCode code) {
  using enum base::ResultCode;
  return code == NotRunNotOwner || code == NotRunLeaseLost ||
         code == NotRunPeerUnreachable || code == NotRunNotReady;
}

} // namespace

Router::Router(RouterConfig config)
    : Config(std::move(config)), Settings(std::make_shared<settings::View>()),
      Ownership(std::make_shared<ownership::View>()), Random(Config.Seed) {}

RouteActions Router::setSettings(settings::ViewPtr view, base::MonoTime now) {
  Settings = std::move(view);
  return routeHeld(now);
}

RouteActions Router::setOwnership(ownership::ViewPtr view, base::MonoTime now) {
  Ownership = std::move(view);
  return routeHeld(now);
}

RouteActions Router::submit(RequestInfo info, bool MayLeaveDataCentre,
                            base::MonoTime now) {
  RouteActions actions;
  base::RequestId id = info.Id;
  auto [it, added] = Requests.try_emplace(id);
  if (!added) {
    actions.End.push_back(
        {id,
         {base::ResultCode::Internal, "the request id is already in use", 0}});
    return actions;
  }
  it->second.Info = std::move(info);
  it->second.MayLeaveDataCentre = MayLeaveDataCentre;
  route(id, it->second, now, actions);
  return actions;
}

RouteActions Router::onFailure(const base::RequestId &id,
                               const protocol::RequestFailure &failure,
                               base::MonoTime now) {
  RouteActions actions;
  auto it = Requests.find(id);
  if (it == Requests.end())
    return actions;
  Pending &pending = it->second;
  --Outstanding[pending.AssignedVm];
  pending.AssignedVm = {};
  bool MayRepeat = pending.Info.Idempotent &&
                   failure.Code == base::ResultCode::OutcomeUnknownPeerLost &&
                   pending.Attempts < MaxIdempotentAttempts;
  if (!MayRepeat && !isReroutable(failure.Code)) {
    actions.End.push_back({id, failure});
    Requests.erase(it);
    return actions;
  }
  auto doublings = std::min<std::uint32_t>(pending.Attempts, 6);
  pending.NotBefore =
      now + std::min(MaxBackoff, InitialBackoff * (1 << doublings));
  hold(id, failure.Code, actions);
  return actions;
}

void Router::forget(const base::RequestId &id) {
  auto it = Requests.find(id);
  if (it == Requests.end())
    return;
  if (!it->second.AssignedVm.empty())
    --Outstanding[it->second.AssignedVm];
  Requests.erase(it);
  std::erase(Held, id);
}

RouteActions Router::tick(base::MonoTime now) { return routeHeld(now); }

base::MonoTime Router::nextWake(base::MonoTime now) const {
  base::MonoTime wake = now + MaxTickInterval;
  for (const auto &id : Held) {
    const Pending &pending = Requests.at(id);
    wake = std::min(wake, std::max(pending.NotBefore, now + InitialBackoff));
    wake = std::min(wake, pending.Info.Deadline);
  }
  return wake;
}

void Router::route(const base::RequestId &id, Pending &pending,
                   base::MonoTime now, RouteActions &actions) {
  base::VmId vm = chooseVm(pending, now);
  if (vm.empty()) {
    hold(id, base::ResultCode::NotRunNoTarget, actions);
    return;
  }
  ++pending.Attempts;
  pending.AssignedVm = vm;
  ++Outstanding[vm];
  actions.Forward.push_back({id, vm});
}

void Router::hold(const base::RequestId &id, base::ResultCode code,
                  RouteActions &actions) {
  if (Held.size() < Config.MaxHeld) {
    Held.push_back(id);
    return;
  }
  Requests.erase(id);
  actions.End.push_back(
      {id, {code, "too many requests are waiting for a route", RetryAfterMs}});
}

RouteActions Router::routeHeld(base::MonoTime now) {
  RouteActions actions;
  std::vector<base::RequestId> waiting;
  waiting.swap(Held);
  for (const auto &id : waiting) {
    auto it = Requests.find(id);
    if (it == Requests.end())
      continue;
    if (it->second.Info.Deadline <= now) {
      Requests.erase(it);
      actions.End.push_back(
          {id,
           {base::ResultCode::NotRunNoTarget,
            "no target became available before the deadline", RetryAfterMs}});
      continue;
    }
    if (now < it->second.NotBefore) {
      Held.push_back(id);
      continue;
    }
    route(id, it->second, now, actions);
  }
  return actions;
}

base::DataCentreId Router::homeOf(const RequestInfo &info) const {
  if (!info.Slot)
    return {};
  auto it = Settings->Homes.find(info.Service);
  if (it == Settings->Homes.end() || *info.Slot >= it->second.size())
    return {};
  return it->second[*info.Slot].Home;
}

base::VmId Router::chooseVm(const Pending &pending, base::MonoTime) {
  const RequestInfo &info = pending.Info;
  if (!info.Slot) {
    base::VmId vm = chooseForService(info.Service);
    if (!vm.empty() || !pending.MayLeaveDataCentre)
      return vm;
    auto service = Settings->Services.find(info.Service);
    if (service == Settings->Services.end())
      return {};
    for (const auto &centre : service->second.DataCentres)
      if (centre != Config.DataCentre)
        if (base::VmId other = chooseInDataCentre(centre); !other.empty())
          return other;
    return {};
  }
  base::DataCentreId home = homeOf(info);
  if (home.empty())
    return {};
  if (home != Config.DataCentre)
    return pending.MayLeaveDataCentre ? chooseInDataCentre(home) : base::VmId();
  for (const auto &hot : Ownership->HotKeys)
    if (hot.KeyHash == info.KeyHash && hot.Service == info.Service) {
      auto owner = Ownership->Targets.find(hot.Slot.Owner);
      return owner == Ownership->Targets.end() ? base::VmId()
                                               : owner->second.Dispatcher;
    }
  auto slots = Ownership->Slots.find(info.Service);
  if (slots == Ownership->Slots.end() || *info.Slot >= slots->second.size())
    return {};
  auto owner = Ownership->Targets.find(slots->second[*info.Slot].Owner);
  if (owner == Ownership->Targets.end())
    return {};
  return owner->second.Dispatcher;
}

base::VmId Router::chooseForService(const base::ServiceId &service) {
  // Total slots of the service's active targets per dispatching VM.
  std::map<base::VmId, std::uint32_t> capacity;
  for (const auto &[instance, target] : Ownership->Targets)
    if (target.Service == service &&
        target.State == ownership::TargetState::Active &&
        !target.Dispatcher.empty() && isAlive(target.Dispatcher))
      capacity[target.Dispatcher] += target.Slots;
  base::VmId best;
  double least = 0;
  std::uniform_real_distribution<double> jitter(0.0, 0.01);
  for (const auto &[vm, slots] : capacity) {
    auto it = Outstanding.find(vm);
    double load = it == Outstanding.end() ? 0 : it->second;
    double share = load / slots + jitter(Random);
    if (best.empty() || share < least) {
      best = vm;
      least = share;
    }
  }
  return best;
}

base::VmId Router::chooseInDataCentre(const base::DataCentreId &centre) {
  std::vector<base::VmId> alive;
  for (const auto &[id, vm] : Settings->Vms)
    if (vm.DataCentre == centre && isAlive(id))
      alive.push_back(id);
  if (alive.empty())
    return {};
  std::uniform_int_distribution<std::size_t> pick(0, alive.size() - 1);
  return alive[pick(Random)];
}

bool Router::isAlive(const base::VmId &vm) const {
  return vm == Config.Self || !Config.IsAlive || Config.IsAlive(vm);
}

} // namespace magnoliamill::dispatch
