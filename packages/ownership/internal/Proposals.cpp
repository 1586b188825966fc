// Tracks proposed commands until they have taken effect or are due for
// repetition.
#include "ownership/internal/Proposals.h"

#include <utility>

namespace magnoliamill::ownership::internal {

void Proposals::begin(std::uint64_t term, base::MonoTime now) {
  Term = term;
  Now = now;
  auto IsOld = [&](base::MonoTime at) { return now >= at + Retry; };
  std::erase_if(Commands, [&](const auto &it) { return IsOld(it.second.At); });
  std::erase_if(Releases, [&](const auto &it) { return IsOld(it.second); });
  std::erase_if(Assignments,
                [&](const auto &it) { return IsOld(it.second.At); });
}

void Proposals::propose(const std::string &subject, base::Token expected,
                        CommandBody body) {
  const Key key{body.index(), subject, expected};
  if (!Commands.try_emplace(key, Sent{Now, body}).second)
    return;
  Round.push_back({Term, std::move(body)});
}

void Proposals::release(const SlotExpectation &slot) {
  if (Releases.try_emplace(slot, Now).second)
    RoundReleases.Slots.push_back(slot);
}

void Proposals::assign(const SlotAssignment &slot) {
  const SlotExpectation key{slot.Slot, slot.ExpectedToken};
  if (Assignments.try_emplace(key, SentAssignment{Now, slot.NewOwner}).second)
    RoundAssignments.Slots.push_back(slot);
}

bool Proposals::isReleasing(const SlotExpectation &slot) const {
  return Releases.contains(slot);
}

std::optional<base::TargetInstanceId>
Proposals::findAssigned(const SlotExpectation &slot) const {
  auto it = Assignments.find(slot);
  if (it == Assignments.end())
    return std::nullopt;
  return it->second.Owner;
}

std::optional<SetDispatcher>
Proposals::findDispatcher(const std::string &subject,
                          base::Token expected) const {
  static const std::size_t Kind = CommandBody(SetDispatcher{}).index();
  auto it = Commands.find({Kind, subject, expected});
  if (it == Commands.end())
    return std::nullopt;
  return std::get<SetDispatcher>(it->second.Body);
}

bool Proposals::isHandingOver(const std::string &subject,
                              base::Token expected) const {
  static const std::size_t Kind = CommandBody(BeginDispatchRelease{}).index();
  return Commands.contains({Kind, subject, expected});
}

std::vector<Command> Proposals::takeCommands() {
  if (!RoundReleases.Slots.empty())
    Round.push_back({Term, std::exchange(RoundReleases, {})});
  if (!RoundAssignments.Slots.empty())
    Round.push_back({Term, std::exchange(RoundAssignments, {})});
  return std::exchange(Round, {});
}

} // namespace magnoliamill::ownership::internal
