// Drives the lease, the grants and the release of slots and targets of one VM.
#include "ownership/DispatchAgent.h"

#include "ownership/internal/LeaseHolder.h"
#include "ownership/internal/OwnedSlots.h"
#include "ownership/internal/TargetLink.h"

#include <algorithm>
#include <set>

namespace magnoliamill::ownership {

using internal::OwnedSlot;
using internal::SlotTokens;
using internal::TargetLink;

namespace {
constexpr base::Duration MinWakeInterval = std::chrono::milliseconds(5);
constexpr base::Duration MaxWakeInterval = std::chrono::milliseconds(50);
} // namespace

struct DispatchAgent::State {
  State(AgentConfig config, base::MonoTime now)
      : Config(std::move(config)), Lease(now), LastStep(now) {}

  void operator()(const AgentTick &, base::MonoTime) {}
  void operator()(const ViewChanged &event, base::MonoTime now);
  void operator()(const LeaseReplied &event, base::MonoTime now) {
    Lease.onReply(event, now);
  }
  void operator()(const GrantReplied &event, base::MonoTime now);
  void operator()(const SlotDrained &event, base::MonoTime now);
  void operator()(const TargetDrained &event, base::MonoTime now);
  void operator()(const TargetFailed &event, base::MonoTime now);
  void operator()(const TargetAnswered &event, base::MonoTime now);
  void operator()(const Stopping &, base::MonoTime) { IsStopping = true; }

  AgentActions collectActions(base::MonoTime now);
  void collectTargetActions(TargetLink &link, AgentActions &actions,
                            base::MonoTime now);
  void releaseSlots(TargetLink &link, AgentActions &actions,
                    base::MonoTime now);
  void releaseTarget(const TargetLink &link, AgentActions &actions);
  DispatchReport makeReport(base::MonoTime now) const;

  bool isMine(const TargetView &target) const {
    return target.Dispatcher == Config.Vm &&
           target.DispatcherIncarnation == Config.Incarnation;
  }
  bool isReleased(const TargetView &target) const {
    return ReleasedTargets.contains({target.Instance, target.DispatchToken});
  }
  /// True when the target must be released for another dispatcher.
  bool mustReleaseTarget(const TargetView &target) const {
    return IsStopping || target.DispatcherReleasing;
  }
  static bool mustReleaseSlot(const TargetLink &link, const OwnedSlot &slot) {
    return slot.Releasing || link.isLost() ||
           link.target().State == TargetState::Lost;
  }
  static SlotExpectation idOf(const TargetLink &link, const OwnedSlot &slot) {
    return {{link.target().Service, slot.Slot}, slot.Token};
  }
  const std::vector<OwnedSlot> &
  slotsOf(const base::TargetInstanceId &instance) const;
  SlotTokens wantedSlots(const TargetLink &link) const;
  void updateLinks(base::MonoTime now);
  void eraseOutdated();

  AgentConfig Config;
  internal::LeaseHolder Lease;
  ViewPtr CurrentView = std::make_shared<const View>();
  internal::OwnedSlots Owned;
  /// One link for each target that the view assigns to this run of this VM.
  std::map<base::TargetInstanceId, TargetLink> Links;
  std::set<SlotExpectation> SlotDrainsRequested;
  std::set<SlotExpectation> DrainedSlots;
  /// Slots that are never again granted or written for under the given token.
  /// An entry is removed only when the slot has another token in the view.
  std::set<SlotExpectation> ReleasedSlots;
  std::set<ReleasedTarget> TargetDrainsRequested;
  /// The same for targets under a dispatch token.
  std::set<ReleasedTarget> ReleasedTargets;
  bool IsStopping = false;
  base::MonoTime LastStep;
};

void DispatchAgent::State::operator()(const ViewChanged &event,
                                      base::MonoTime now) {
  const auto &next = event.Ownership;
  const bool IsOlder =
      next->Epoch < CurrentView->Epoch ||
      (next->Epoch == CurrentView->Epoch && next->Index < CurrentView->Index);
  if (IsOlder)
    return;
  CurrentView = next;
  Owned = internal::groupByOwner(*CurrentView);
  updateLinks(now);
  eraseOutdated();
}

void DispatchAgent::State::updateLinks(base::MonoTime now) {
  std::erase_if(Links, [&](const auto &entry) {
    auto it = CurrentView->Targets.find(entry.first);
    return it == CurrentView->Targets.end() || !isMine(it->second) ||
           it->second.DispatchToken != entry.second.target().DispatchToken;
  });
  for (const auto &[instance, target] : CurrentView->Targets) {
    if (!isMine(target))
      continue;
    auto [it, IsNew] = Links.try_emplace(instance, target, now);
    if (!IsNew)
      it->second.setTarget(target, now);
  }
}

void DispatchAgent::State::eraseOutdated() {
  auto IsOutdated = [&](const SlotExpectation &it) {
    const auto *slot = internal::findSlot(*CurrentView, it.Slot);
    return slot == nullptr || slot->Token != it.ExpectedToken;
  };
  for (auto *slots : {&SlotDrainsRequested, &DrainedSlots, &ReleasedSlots})
    std::erase_if(*slots, IsOutdated);
  auto IsHandedOver = [&](const ReleasedTarget &it) {
    auto target = CurrentView->Targets.find(it.Instance);
    return target == CurrentView->Targets.end() ||
           target->second.DispatchToken != it.Token;
  };
  std::erase_if(TargetDrainsRequested, IsHandedOver);
  std::erase_if(ReleasedTargets, IsHandedOver);
}

void DispatchAgent::State::operator()(const GrantReplied &event,
                                      base::MonoTime now) {
  if (auto it = Links.find(event.Instance); it != Links.end())
    it->second.onReply(event.GrantId, event.Body, now);
}

void DispatchAgent::State::operator()(const SlotDrained &event,
                                      base::MonoTime) {
  const SlotExpectation id{event.Slot, event.Token};
  if (SlotDrainsRequested.contains(id))
    DrainedSlots.insert(id);
}

void DispatchAgent::State::operator()(const TargetDrained &event,
                                      base::MonoTime) {
  const ReleasedTarget id{event.Instance, event.DispatchToken};
  if (TargetDrainsRequested.contains(id))
    ReleasedTargets.insert(id);
}

void DispatchAgent::State::operator()(const TargetFailed &event,
                                      base::MonoTime now) {
  if (auto it = Links.find(event.Instance); it != Links.end())
    it->second.onRequestFailed(now);
}

void DispatchAgent::State::operator()(const TargetAnswered &event,
                                      base::MonoTime) {
  if (auto it = Links.find(event.Instance); it != Links.end())
    it->second.onRequestAnswered();
}

const std::vector<OwnedSlot> &
DispatchAgent::State::slotsOf(const base::TargetInstanceId &instance) const {
  static const std::vector<OwnedSlot> None;
  auto it = Owned.find(instance);
  return it == Owned.end() ? None : it->second;
}

SlotTokens DispatchAgent::State::wantedSlots(const TargetLink &link) const {
  SlotTokens wanted;
  for (const auto &slot : slotsOf(link.target().Instance)) {
    const auto id = idOf(link, slot);
    const bool IsLeaving =
        mustReleaseSlot(link, slot) && DrainedSlots.contains(id);
    if (!link.isLost() && !IsLeaving && !ReleasedSlots.contains(id))
      wanted[slot.Slot] = slot.Token;
  }
  return wanted;
}

AgentActions DispatchAgent::State::collectActions(base::MonoTime now) {
  AgentActions actions;
  for (auto &[instance, link] : Links)
    collectTargetActions(link, actions, now);
  auto report = makeReport(now);
  if (Lease.isDue(report, now))
    actions.Lease = Lease.send(std::move(report), IsStopping, now);
  return actions;
}

void DispatchAgent::State::collectTargetActions(TargetLink &link,
                                                AgentActions &actions,
                                                base::MonoTime now) {
  link.expireOutstandingGrant(now);
  link.endUnprobedLost(now);
  if (link.detectLost(now))
    actions.Abandon.push_back({link.target().Instance});
  releaseSlots(link, actions, now);
  releaseTarget(link, actions);
  if (!Lease.isValid(now) || isReleased(link.target()))
    return;
  if (auto grant = link.sendIfDue(Config.Vm, wantedSlots(link), now))
    actions.Grants.push_back(std::move(*grant));
}

void DispatchAgent::State::releaseSlots(TargetLink &link, AgentActions &actions,
                                        base::MonoTime now) {
  for (const auto &slot : slotsOf(link.target().Instance)) {
    const auto id = idOf(link, slot);
    if (!mustReleaseSlot(link, slot) || ReleasedSlots.contains(id))
      continue;
    if (!link.isLost() && SlotDrainsRequested.insert(id).second)
      actions.DrainSlots.push_back(
          {id.Slot, link.target().Instance, slot.Token});
    const bool IsDone = link.isLost() || DrainedSlots.contains(id);
    if (IsDone && link.isSlotFree(slot.Slot, now))
      ReleasedSlots.insert(id);
  }
}

void DispatchAgent::State::releaseTarget(const TargetLink &link,
                                         AgentActions &actions) {
  const auto &target = link.target();
  if (!mustReleaseTarget(target) || isReleased(target))
    return;
  const ReleasedTarget id{target.Instance, target.DispatchToken};
  if (link.isLost())
    ReleasedTargets.insert(id);
  else if (TargetDrainsRequested.insert(id).second)
    actions.DrainTargets.push_back({target.Instance, target.DispatchToken});
}

DispatchReport DispatchAgent::State::makeReport(base::MonoTime now) const {
  DispatchReport report;
  report.ViewIndex = CurrentView->Index;
  for (const auto &[instance, link] : Links) {
    if (link.isLost())
      report.Lost.push_back(instance);
    else if (link.isReady(now))
      report.Ready.push_back(instance);
    if (!link.isLost() && link.isFailing())
      report.Failing.push_back(instance);
  }
  report.ReleasedSlots.assign(ReleasedSlots.begin(), ReleasedSlots.end());
  report.ReleasedTargets.assign(ReleasedTargets.begin(), ReleasedTargets.end());
  return report;
}

DispatchAgent::DispatchAgent(AgentConfig config, base::MonoTime now)
    : Self(std::make_unique<State>(std::move(config), now)) {}
DispatchAgent::~DispatchAgent() = default;
DispatchAgent::DispatchAgent(DispatchAgent &&) noexcept = default;
DispatchAgent &DispatchAgent::operator=(DispatchAgent &&) noexcept = default;

AgentActions DispatchAgent::step(const AgentEvent &event, base::MonoTime now) {
  std::visit([&](const auto &it) { (*Self)(it, now); }, event);
  Self->LastStep = now;
  return Self->collectActions(now);
}

base::MonoTime DispatchAgent::nextWake() const {
  auto next =
      std::min(Self->Lease.nextWake(), Self->LastStep + MaxWakeInterval);
  for (const auto &[instance, link] : Self->Links)
    next = std::min(next, link.nextWake());
  // A link that waits for the lease is always due; the minimum interval
  // prevents a busy loop.
  return std::max(next, Self->LastStep + MinWakeInterval);
}

bool DispatchAgent::hasLease(base::MonoTime now) const {
  return Self->Lease.isValid(now);
}

bool DispatchAgent::mayWrite(const base::TargetInstanceId &instance,
                             const std::optional<base::SlotId> &slot,
                             base::MonoTime now) const {
  auto it = Self->Links.find(instance);
  if (!hasLease(now) || it == Self->Links.end())
    return false;
  const auto &link = it->second;
  const auto &target = link.target();
  if (Self->mustReleaseTarget(target) || Self->isReleased(target) ||
      target.State == TargetState::Lost)
    return false;
  if (!slot)
    return target.State == TargetState::Active && link.isReady(now);
  const auto *owned = internal::findSlot(*Self->CurrentView, *slot);
  return owned != nullptr && slot->Service == target.Service &&
         owned->Owner == instance && !owned->Releasing &&
         !Self->ReleasedSlots.contains({*slot, owned->Token}) &&
         link.holds(slot->Slot, owned->Token, now);
}

bool DispatchAgent::hasReleasedAllTargets() const {
  return Self->IsStopping && Self->Links.empty();
}

} // namespace magnoliamill::ownership
