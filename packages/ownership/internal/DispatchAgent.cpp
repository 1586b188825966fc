// A VM's part as dispatcher.
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
constexpr base::Duration ShortestSleep = std::chrono::milliseconds(5);
constexpr base::Duration LongestSleep = std::chrono::milliseconds(50);
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

  AgentActions work(base::MonoTime now);
  void workTarget(TargetLink &link, AgentActions &actions, base::MonoTime now);
  void releaseSlots(TargetLink &link, AgentActions &actions,
                    base::MonoTime now);
  void relieve(const TargetLink &link, AgentActions &actions);
  DispatchReport makeReport(base::MonoTime now) const;

  bool isMine(const TargetView &target) const {
    return target.Dispatcher == Config.Vm &&
           target.DispatcherIncarnation == Config.Incarnation;
  }
  bool hasReleasedAllTargets(const TargetView &target) const {
    return Relieved.contains({target.Instance, target.DispatchToken});
  }
  /// True when the target is to be handed to another dispatcher.
  bool mustRelieve(const TargetView &target) const {
    return IsStopping || target.DispatcherReleasing;
  }
  static bool mustRelease(const TargetLink &link, const OwnedSlot &slot) {
    return slot.Releasing || link.isLost() ||
           link.target().State == TargetState::Lost;
  }
  static SlotExpectation idOf(const TargetLink &link, const OwnedSlot &slot) {
    return {{link.target().Service, slot.Slot}, slot.Token};
  }
  const std::vector<OwnedSlot> &
  slotsOf(const base::TargetInstanceId &instance) const;
  SlotTokens wantedAt(const TargetLink &link) const;
  void updateLinks(base::MonoTime now);
  void forgetSettled();

  AgentConfig Config;
  internal::LeaseHolder Lease;
  ViewPtr Present = std::make_shared<const View>();
  internal::OwnedSlots Owned;
  /// One link for each target that the view gives to this run of this VM.
  std::map<base::TargetInstanceId, TargetLink> Links;
  std::set<SlotExpectation> DrainAsked;
  std::set<SlotExpectation> Drained;
  /// Slots that are never again granted or written for under that token. An
  /// entry goes only when the slot has another token in the view.
  std::set<SlotExpectation> Released;
  std::set<RelievedTarget> ReliefAsked;
  /// The same for whole targets under a dispatch token.
  std::set<RelievedTarget> Relieved;
  bool IsStopping = false;
  base::MonoTime LastStep;
};

void DispatchAgent::State::operator()(const ViewChanged &event,
                                      base::MonoTime now) {
  const auto &next = event.Ownership;
  const bool IsOlder =
      next->Epoch < Present->Epoch ||
      (next->Epoch == Present->Epoch && next->Index < Present->Index);
  if (IsOlder)
    return;
  Present = next;
  Owned = internal::sortByOwner(*Present);
  updateLinks(now);
  forgetSettled();
}

void DispatchAgent::State::updateLinks(base::MonoTime now) {
  std::erase_if(Links, [&](const auto &entry) {
    auto it = Present->Targets.find(entry.first);
    return it == Present->Targets.end() || !isMine(it->second) ||
           it->second.DispatchToken != entry.second.target().DispatchToken;
  });
  for (const auto &[instance, target] : Present->Targets) {
    if (!isMine(target))
      continue;
    auto [it, IsNew] = Links.try_emplace(instance, target, now);
    if (!IsNew)
      it->second.setTarget(target, now);
  }
}

void DispatchAgent::State::forgetSettled() {
  auto IsSettled = [&](const SlotExpectation &it) {
    const auto *slot = internal::findSlot(*Present, it.Slot);
    return slot == nullptr || slot->Token != it.ExpectedToken;
  };
  for (auto *slots : {&DrainAsked, &Drained, &Released})
    std::erase_if(*slots, IsSettled);
  auto IsHandedOver = [&](const RelievedTarget &it) {
    auto target = Present->Targets.find(it.Instance);
    return target == Present->Targets.end() ||
           target->second.DispatchToken != it.Token;
  };
  std::erase_if(ReliefAsked, IsHandedOver);
  std::erase_if(Relieved, IsHandedOver);
}

void DispatchAgent::State::operator()(const GrantReplied &event,
                                      base::MonoTime now) {
  if (auto it = Links.find(event.Instance); it != Links.end())
    it->second.onReply(event.GrantId, event.Body, now);
}

void DispatchAgent::State::operator()(const SlotDrained &event,
                                      base::MonoTime) {
  const SlotExpectation id{event.Slot, event.Token};
  if (DrainAsked.contains(id))
    Drained.insert(id);
}

void DispatchAgent::State::operator()(const TargetDrained &event,
                                      base::MonoTime) {
  const RelievedTarget id{event.Instance, event.DispatchToken};
  if (ReliefAsked.contains(id))
    Relieved.insert(id);
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

SlotTokens DispatchAgent::State::wantedAt(const TargetLink &link) const {
  SlotTokens wanted;
  for (const auto &slot : slotsOf(link.target().Instance)) {
    const auto id = idOf(link, slot);
    const bool IsLeaving = mustRelease(link, slot) && Drained.contains(id);
    if (!link.isLost() && !IsLeaving && !Released.contains(id))
      wanted[slot.Slot] = slot.Token;
  }
  return wanted;
}

AgentActions DispatchAgent::State::work(base::MonoTime now) {
  AgentActions actions;
  for (auto &[instance, link] : Links)
    workTarget(link, actions, now);
  auto report = makeReport(now);
  if (Lease.isDue(report, now))
    actions.Lease = Lease.send(std::move(report), IsStopping, now);
  return actions;
}

void DispatchAgent::State::workTarget(TargetLink &link, AgentActions &actions,
                                      base::MonoTime now) {
  link.expireOutstanding(now);
  link.reviveUnchecked(now);
  if (link.becomesLost(now))
    actions.Abandon.push_back({link.target().Instance});
  releaseSlots(link, actions, now);
  relieve(link, actions);
  if (!Lease.holds(now) || hasReleasedAllTargets(link.target()))
    return;
  if (auto grant = link.sendIfDue(Config.Vm, wantedAt(link), now))
    actions.Grants.push_back(std::move(*grant));
}

void DispatchAgent::State::releaseSlots(TargetLink &link, AgentActions &actions,
                                        base::MonoTime now) {
  for (const auto &slot : slotsOf(link.target().Instance)) {
    const auto id = idOf(link, slot);
    if (!mustRelease(link, slot) || Released.contains(id))
      continue;
    if (!link.isLost() && DrainAsked.insert(id).second)
      actions.DrainSlots.push_back(
          {id.Slot, link.target().Instance, slot.Token});
    const bool IsDone = link.isLost() || Drained.contains(id);
    if (IsDone && link.isFreeOf(slot.Slot, now))
      Released.insert(id);
  }
}

void DispatchAgent::State::relieve(const TargetLink &link,
                                   AgentActions &actions) {
  const auto &target = link.target();
  if (!mustRelieve(target) || hasReleasedAllTargets(target))
    return;
  const RelievedTarget id{target.Instance, target.DispatchToken};
  if (link.isLost())
    Relieved.insert(id);
  else if (ReliefAsked.insert(id).second)
    actions.DrainTargets.push_back({target.Instance, target.DispatchToken});
}

DispatchReport DispatchAgent::State::makeReport(base::MonoTime now) const {
  DispatchReport report;
  report.InForce = Present->Index;
  for (const auto &[instance, link] : Links) {
    if (link.isLost())
      report.Lost.push_back(instance);
    else if (link.isReady(now))
      report.Ready.push_back(instance);
    if (!link.isLost() && link.isFailing())
      report.Failing.push_back(instance);
  }
  report.Released.assign(Released.begin(), Released.end());
  report.Relieved.assign(Relieved.begin(), Relieved.end());
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
  return Self->work(now);
}

base::MonoTime DispatchAgent::nextWake() const {
  auto next = std::min(Self->Lease.nextWake(), Self->LastStep + LongestSleep);
  for (const auto &[instance, link] : Self->Links)
    next = std::min(next, link.nextWake());
  // A target that waits for the lease is due all the time.
  return std::max(next, Self->LastStep + ShortestSleep);
}

bool DispatchAgent::hasLease(base::MonoTime now) const {
  return Self->Lease.holds(now);
}

bool DispatchAgent::mayWrite(const base::TargetInstanceId &instance,
                             const std::optional<base::SlotId> &slot,
                             base::MonoTime now) const {
  auto it = Self->Links.find(instance);
  if (!hasLease(now) || it == Self->Links.end())
    return false;
  const auto &link = it->second;
  const auto &target = link.target();
  if (Self->mustRelieve(target) || Self->hasReleasedAllTargets(target) ||
      target.State == TargetState::Lost)
    return false;
  if (!slot)
    return target.State == TargetState::Active && link.isReady(now);
  const auto *owned = internal::findSlot(*Self->Present, *slot);
  return owned != nullptr && slot->Service == target.Service &&
         owned->Owner == instance && !owned->Releasing &&
         !Self->Released.contains({*slot, owned->Token}) &&
         link.holds(slot->Slot, owned->Token, now);
}

bool DispatchAgent::hasReleasedAllTargets() const {
  return Self->IsStopping && Self->Links.empty();
}

} // namespace magnoliamill::ownership
