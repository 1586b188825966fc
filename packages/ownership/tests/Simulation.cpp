// Event loop, network, faults and checks of the simulated data centre.
#include "Simulation.h"

#include <algorithm>
#include <fmt/format.h>

namespace magnoliamill::ownership::tests {

namespace {

const base::ServiceId Service("barnstock");
const base::DataCentreId Centre("dc1");
constexpr TrueTime ElectionDelay = 400 * Ms;

settings::View makeSettings(std::uint32_t slots) {
  settings::View view;
  view.Index = 1;
  auto &service = view.Services[Service];
  service.Id = Service;
  service.Keyed = true;
  service.Slots = slots;
  service.DataCentres = {Centre};
  view.Homes[Service].assign(slots, {Centre, 1, {}});
  return view;
}

} // namespace

Simulation::Simulation(SimulationConfig config)
    : Config(config), Vms(config.Vms), Settings(makeSettings(config.Slots)),
      Random(config.Seed) {
  for (std::size_t n = 0; n < Vms.size(); ++n) {
    Vms[n].Id = base::VmId("vm" + std::to_string(n));
    startVm(Vms[n]);
  }
  for (std::size_t n = 0; n < Config.Targets; ++n)
    addTarget();
  elect(0);
  schedule(100 * Ms, [this] { injectCrash(); });
  schedule(20 * Ms, [this] { watchLeader(); });
  schedule(10 * Ms, [this] { tryWrites(); });
}

void Simulation::schedule(TrueTime delay, std::function<void()> act) {
  Events.push({Now + delay, NextOrder++, std::move(act)});
}

void Simulation::scheduleOn(Process &process, TrueTime delay,
                            std::function<void()> act) {
  const auto run = process.Run;
  schedule(delay, [this, &process, run, act = std::move(act)] {
    if (process.Dead || process.Run != run)
      return;
    if (Now < process.FrozenUntil)
      return scheduleOn(process, process.FrozenUntil - Now, act);
    act();
  });
}

TrueTime Simulation::drawDelay() {
  if (Faults && chance(Config.LatePercent))
    return static_cast<TrueTime>(draw(2500)) * Ms;
  return 200 + static_cast<TrueTime>(draw(3 * Ms));
}

void Simulation::send(Process &from, Process &to, std::function<void()> act,
                      bool MayDuplicate) {
  // A process that froze just before sending sends when it continues.
  const auto FrozenFor = std::max<TrueTime>(0, from.FrozenUntil - Now);
  if (Faults && chance(Config.LossPercent))
    return;
  if (MayDuplicate && Faults && chance(Config.LatePercent))
    scheduleOn(to, FrozenFor + drawDelay(), act);
  scheduleOn(to, FrozenFor + drawDelay(), std::move(act));
}

void Simulation::maybeFreeze(Process &process) {
  if (Faults && static_cast<int>(draw(10000)) < Config.FreezePer10000)
    process.FrozenUntil = Now + static_cast<TrueTime>(draw(3000)) * Ms;
}

void Simulation::run(TrueTime duration) {
  runUntil([] { return false; }, duration);
}

bool Simulation::runUntil(const std::function<bool()> &done, TrueTime limit) {
  const auto end = Now + limit;
  while (Now < end) {
    if (done())
      return true;
    const auto next = std::min(Now + Ms, end);
    while (!Events.empty() && Events.top().At <= next) {
      auto event = Events.top();
      Events.pop();
      Now = event.At;
      event.Act();
    }
    Now = next;
  }
  return done();
}

void Simulation::startVm(Vm &vm) {
  ++vm.Run;
  // A restarted VM is no longer leader.
  if (&vm == &Vms[LeaderVm] && Term > 0 && ElectionAt == 0)
    ElectionAt = Now + ElectionDelay;
  vm.Dead = false;
  vm.FrozenUntil = 0;
  vm.Clock = {static_cast<TrueTime>(draw(1000000)) * Ms,
              static_cast<std::int64_t>(draw(20001)) - 10000};
  vm.Replica = std::make_unique<StateMachine>(1);
  vm.Applied = 0;
  ControllerConfig config;
  config.DataCentre = Centre;
  vm.GroupController = std::make_unique<Controller>(config);
  vm.Agent = std::make_unique<DispatchAgent>(AgentConfig{vm.Id, vm.Run},
                                             vm.Clock.read(Now));
  stepController(vm,
                 SettingsChanged{std::make_shared<settings::View>(Settings)});
  scheduleOn(vm, 0, [this, &vm] { tickVm(vm); });
}

std::size_t Simulation::addTarget() {
  auto &target = Targets.emplace_back();
  target.Self.Name = "barn" + std::to_string(Targets.size());
  target.Self.Service = Service;
  target.Self.DataCentre = Centre;
  target.Self.Host = "127.0.0.1";
  target.Self.Port = static_cast<std::uint16_t>(9000 + Targets.size());
  target.Self.ChecksTokens = true;
  startTarget(target);
  return Targets.size() - 1;
}

void Simulation::startTarget(FakeTarget &target) {
  ++target.Run;
  target.Dead = false;
  target.FrozenUntil = 0;
  target.HighestDispatch = {};
  target.Granted.clear();
  target.HighestSlot.clear();
  target.ExpiresAtMs = 0;
  target.Clock = {static_cast<TrueTime>(draw(1000000)) * Ms,
                  static_cast<std::int64_t>(draw(20001)) - 10000};
  target.Self.Instance =
      base::TargetInstanceId(fmt::format("i{}", NextInstance++));
  scheduleOn(target, 0, [this, &target] { announce(target); });
}

void Simulation::announce(FakeTarget &target) {
  auto it = target.Self;
  it.ClockMs = base::toMs(target.Clock.read(Now).time_since_epoch());
  auto &leader = Vms[LeaderVm];
  send(target, leader,
       [this, &leader, it] { stepController(leader, Announced{it}); });
  maybeFreeze(target);
  scheduleOn(target, 500 * Ms, [this, &target] { announce(target); });
}

void Simulation::tickVm(Vm &vm) {
  applyLog(vm);
  stepAgent(vm, AgentTick{});
  stepController(vm, ControllerTick{Now / Ms});
  scheduleOn(vm, 25 * Ms, [this, &vm] { tickVm(vm); });
}

void Simulation::applyLog(Vm &vm) {
  if (vm.Applied == Log.size())
    return;
  while (vm.Applied < Log.size()) {
    vm.Replica->apply(vm.Applied + 1, Log[vm.Applied]);
    ++vm.Applied;
  }
  stepAgent(vm, ViewChanged{vm.Replica->viewNow()});
  stepController(vm, ViewChanged{vm.Replica->viewNow()});
}

void Simulation::stepAgent(Vm &vm, const AgentEvent &event) {
  auto actions = vm.Agent->step(event, vm.Clock.read(Now));
  checkWriters(vm);
  maybeFreeze(vm);
  if (actions.Lease)
    sendLease(vm, *actions.Lease);
  for (const auto &grant : actions.Grants)
    sendGrant(vm, grant);
  for (const auto &it : actions.DrainSlots)
    scheduleOn(vm, 5 * Ms, [this, &vm, it] {
      stepAgent(vm, SlotDrained{it.Slot, it.Token});
    });
  for (const auto &it : actions.DrainTargets)
    scheduleOn(vm, 5 * Ms, [this, &vm, it] {
      stepAgent(vm, TargetDrained{it.Instance, it.DispatchToken});
    });
}

void Simulation::stepController(Vm &vm, const ControllerEvent &event) {
  const auto actions = vm.GroupController->step(event, vm.Clock.read(Now));
  HomesReleased.insert(actions.HomesReleased.begin(),
                       actions.HomesReleased.end());
  for (const auto &command : actions.Propose) {
    auto text = encodeCommand(command);
    // A proposal may be committed long after its leader was deposed.
    const auto FrozenFor = std::max<TrueTime>(0, vm.FrozenUntil - Now);
    if (!(Faults && chance(Config.LossPercent)))
      schedule(FrozenFor + drawDelay(), [this, text] { append(text); });
    if (Faults && chance(Config.LatePercent))
      schedule(FrozenFor + drawDelay(), [this, text] { append(text); });
  }
}

void Simulation::append(const std::string &command) {
  const auto before = Reference.viewNow();
  Log.push_back(command);
  Reference.apply(Log.size(), command);
  checkView(*before, *Reference.viewNow());
  for (auto &vm : Vms)
    send(vm, vm, [this, &vm] { applyLog(vm); });
}

void Simulation::sendLease(Vm &vm, const SendLeaseRequest &lease) {
  auto &leader = Vms[LeaderVm];
  const auto run = vm.Run;
  send(vm, leader,
       [this, &leader, &vm, lease, run] { onLease(leader, vm, lease, run); });
}

void Simulation::onLease(Vm &leader, Vm &from, const SendLeaseRequest &lease,
                         std::uint64_t run) {
  // Stands in for ReplicaCore::hasLeaderLease.
  if (&leader != &Vms[LeaderVm] || ElectionAt != 0)
    return;
  const auto report = parseReport(lease.Report);
  const LeaseRequested event{from.Id, run, lease.Leaving, report.value()};
  const auto actions =
      leader.GroupController->step(event, leader.Clock.read(Now));
  for (const auto &command : actions.Propose)
    schedule(drawDelay(),
             [this, text = encodeCommand(command)] { append(text); });
  const LeaseReplied reply{lease.SentAtUs,
                           actions.LeaseGranted.value_or(Duration(0)),
                           actions.LeaseGranted.has_value()};
  maybeFreeze(leader);
  send(leader, from, [this, &from, reply] { stepAgent(from, reply); });
}

void Simulation::sendGrant(Vm &vm, const SendGrant &grant) {
  auto answered = std::make_shared<bool>(false);
  auto finish = [this, &vm, grant, answered](base::Result<std::string> body) {
    if (std::exchange(*answered, true))
      return;
    stepAgent(vm, GrantReplied{grant.Instance, grant.GrantId, std::move(body)});
  };
  scheduleOn(vm, 250 * Ms, [finish] {
    finish(base::fail(base::ResultCode::TargetTimeout, "no reply"));
  });
  auto it = std::ranges::find(Targets, grant.Port,
                              [](const auto &t) { return t.Self.Port; });
  auto &target = *it;
  // A request over TCP may be late or lost, but not duplicated.
  auto deliver = [this, &vm, &target, grant, finish] {
    auto body = onGrant(target, grant.Body);
    maybeFreeze(target);
    send(target, vm, [finish, body] { finish(body); });
  };
  if (vm.ReachesTargets)
    send(vm, target, deliver, false);
}

std::string Simulation::onGrant(FakeTarget &target, const std::string &body) {
  const auto grant = parseGrant(body).value();
  const auto clock = base::toMs(target.Clock.read(Now).time_since_epoch());
  if (grant.DispatchToken < target.HighestDispatch ||
      grant.Instance != target.Self.Instance)
    return encodeGrantReply({false, {}, target.HighestDispatch});
  target.HighestDispatch = grant.DispatchToken;
  target.ExpiresAtMs = grant.AsOfMs + grant.TtlMs;
  target.Granted.clear();
  for (const auto &it : grant.Slots) {
    target.Granted[it.Slot] = it.Token;
    target.HighestSlot[it.Slot] =
        std::max(target.HighestSlot[it.Slot], it.Token);
  }
  checkGrants(target);
  return encodeGrantReply({true, clock, {}});
}

void Simulation::elect(std::size_t n) {
  LeaderVm = n;
  ++Term;
  ElectionAt = 0;
  auto &vm = Vms[n];
  scheduleOn(vm, 0, [this, &vm, term = Term] {
    applyLog(vm);
    stepController(vm, BecameLeader{term});
  });
}

void Simulation::watchLeader() {
  auto IsUp = [&](const Vm &vm) { return !vm.Dead && Now >= vm.FrozenUntil; };
  const bool IsSpontaneous =
      Faults && Config.CrashPercent > 0 && draw(200) == 0;
  if (ElectionAt == 0 && (!IsUp(Vms[LeaderVm]) || IsSpontaneous))
    ElectionAt = Now + ElectionDelay;
  if (ElectionAt != 0 && Now >= ElectionAt) {
    const auto start = draw(Vms.size());
    for (std::size_t k = 0; k < Vms.size(); ++k) {
      const auto n = (start + k) % Vms.size();
      if (IsUp(Vms[n])) {
        auto &old = Vms[LeaderVm];
        if (n != LeaderVm)
          scheduleOn(old, 0,
                     [this, &old] { stepController(old, LostLeadership{}); });
        elect(n);
        break;
      }
    }
  }
  schedule(20 * Ms, [this] { watchLeader(); });
}

void Simulation::injectCrash() {
  if (Faults && chance(Config.CrashPercent)) {
    auto &target = Targets[draw(Targets.size())];
    switch (draw(4)) {
    case 0:
      killVm(draw(Vms.size()));
      break;
    case 1:
      startVm(Vms[draw(Vms.size())]);
      break;
    case 2:
      target.Dead = true;
      break;
    default:
      startTarget(target);
    }
    for (auto &vm : Vms)
      if (vm.Dead && chance(30))
        startVm(vm);
  }
  schedule(100 * Ms, [this] { injectCrash(); });
}

void Simulation::killTarget(std::size_t n) { Targets[n].Dead = true; }
void Simulation::killVm(std::size_t n) { Vms[n].Dead = true; }

void Simulation::heal() {
  Faults = false;
  auto unfrozen = Now;
  for (auto &vm : Vms) {
    if (vm.Dead)
      startVm(vm);
    unfrozen = std::max(unfrozen, vm.FrozenUntil);
  }
  for (auto &target : Targets) {
    if (target.Dead)
      startTarget(target);
    unfrozen = std::max(unfrozen, target.FrozenUntil);
  }
  run(unfrozen - Now);
}

void Simulation::tryWrites() {
  const auto &vm = Vms[draw(Vms.size())];
  const auto slot = static_cast<base::SlotNumber>(draw(Config.Slots));
  const auto &view = *vm.Replica->viewNow();
  auto slots = view.Slots.find(Service);
  if (!vm.Dead && Now >= vm.FrozenUntil && slots != view.Slots.end() &&
      slot < slots->second.size()) {
    const auto seen = slots->second[slot];
    auto it = std::ranges::find_if(
        Targets, [&](const auto &t) { return t.Self.Instance == seen.Owner; });
    if (it != Targets.end() &&
        vm.Agent->mayWrite(seen.Owner, base::SlotId{Service, slot},
                           vm.Clock.read(Now)))
      schedule(drawDelay(), [this, &target = *it, slot, seen] {
        const bool IsAccepted = target.holds(slot, Now) &&
                                Now >= target.FrozenUntil &&
                                target.Self.Instance == seen.Owner &&
                                seen.Token >= target.HighestSlot[slot];
        if (!IsAccepted)
          return;
        ++Writes;
        if (seen.Token < LastRequestTokens[slot])
          recordViolation(
              fmt::format("slot {} ran under an older token", slot));
        LastRequestTokens[slot] = seen.Token;
      });
  }
  schedule(10 * Ms, [this] { tryWrites(); });
}

void Simulation::checkGrants(const FakeTarget &target) {
  for (const auto &[slot, token] : target.Granted)
    for (const auto &other : Targets)
      if (&other != &target && target.holds(slot, Now) &&
          other.holds(slot, Now))
        recordViolation(fmt::format("slot {} is granted to {} and {}", slot,
                                    target.Self.Instance.Value,
                                    other.Self.Instance.Value));
}

void Simulation::checkWriters(const Vm &vm) {
  const auto &view = *vm.Replica->viewNow();
  auto MayWrite = [&](const Vm &it, const base::TargetInstanceId &target) {
    const auto &seen = *it.Replica->viewNow();
    auto slots = seen.Slots.find(Service);
    if (it.Dead || slots == seen.Slots.end())
      return false;
    for (base::SlotNumber n = 0; n < slots->second.size(); ++n)
      if (it.Agent->mayWrite(target, base::SlotId{Service, n},
                             it.Clock.read(Now)))
        return true;
    return it.Agent->mayWrite(target, std::nullopt, it.Clock.read(Now));
  };
  for (const auto &[instance, target] : view.Targets) {
    if (!MayWrite(vm, instance))
      continue;
    for (const auto &other : Vms)
      if (&other != &vm && MayWrite(other, instance))
        recordViolation(fmt::format("{} and {} may write to {}", vm.Id.Value,
                                    other.Id.Value, instance.Value));
  }
}

void Simulation::checkView(const View &before, const View &after) {
  auto old = before.Slots.find(Service);
  auto now = after.Slots.find(Service);
  if (old == before.Slots.end() || now == after.Slots.end())
    return;
  for (std::size_t n = 0; n < old->second.size(); ++n) {
    const auto &was = old->second[n];
    const auto &is = now->second[n];
    const bool IsMoved = was.Owner != is.Owner;
    if (is.Token < was.Token || (IsMoved && is.Token == was.Token))
      recordViolation(fmt::format("token of slot {} did not rise", n));
    Moves += IsMoved && !was.Owner.empty() ? 1 : 0;
  }
  for (const auto &[instance, target] : before.Targets) {
    auto it = after.Targets.find(instance);
    if (it != after.Targets.end() &&
        it->second.DispatchToken < target.DispatchToken)
      recordViolation("a dispatch token fell");
  }
}

void Simulation::recordViolation(const std::string &text) {
  Violations.push_back(fmt::format("{} ms: {}", Now / Ms, text));
}

bool Simulation::isAllServed() const {
  const auto shared = Reference.viewNow();
  const auto &view = *shared;
  auto slots = view.Slots.find(Service);
  if (slots == view.Slots.end() || slots->second.size() < Config.Slots)
    return false;
  for (base::SlotNumber n = 0; n < Config.Slots; ++n) {
    const auto &owner = slots->second[n].Owner;
    const bool IsServed = std::ranges::any_of(Vms, [&](const Vm &vm) {
      return !vm.Dead && vm.Agent->mayWrite(owner, base::SlotId{Service, n},
                                            vm.Clock.read(Now));
    });
    if (!IsServed)
      return false;
  }
  return true;
}

std::map<base::TargetInstanceId, std::vector<base::SlotNumber>>
Simulation::listOwned() const {
  std::map<base::TargetInstanceId, std::vector<base::SlotNumber>> owned;
  const auto view = Reference.viewNow();
  auto slots = view->Slots.find(Service);
  if (slots == view->Slots.end())
    return owned;
  for (base::SlotNumber n = 0; n < slots->second.size(); ++n)
    owned[slots->second[n].Owner].push_back(n);
  return owned;
}

void Simulation::setSettings(settings::View view) {
  Settings = std::move(view);
  for (auto &vm : Vms)
    stepController(vm,
                   SettingsChanged{std::make_shared<settings::View>(Settings)});
}

} // namespace magnoliamill::ownership::tests
