// The commands that a leader has proposed and whose effect it waits for.
#pragma once

#include "base/Time.h"
#include "ownership/Commands.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace magnoliamill::ownership::internal {

/// Keeps a decision from being proposed again while it is on its way. Repeating
/// is harmless, since commands name what they were decided from; so a lost
/// proposal is simply repeated after a while.
class Proposals {
public:
  explicit Proposals(base::Duration retry) : Retry(retry) {}

  /// Begins a round of decisions.
  void begin(std::uint64_t term, base::MonoTime now);
  /// Proposes a command about a target, unless one of its kind under
  /// \p expected is on its way.
  void propose(const std::string &subject, base::Token expected,
               CommandBody body);
  void release(const SlotExpectation &slot);
  void assign(const SlotAssignment &slot);

  bool isReleasing(const SlotExpectation &slot) const;
  /// The owner that \p slot is on its way to.
  std::optional<base::TargetInstanceId>
  findAssigned(const SlotExpectation &slot) const;
  /// The dispatcher that a target under \p expected is on its way to.
  std::optional<SetDispatcher> findDispatcher(const std::string &subject,
                                              base::Token expected) const;
  /// True while the dispatcher of a target is asked to hand it over.
  bool isHandingOver(const std::string &subject, base::Token expected) const;
  /// The commands of this round.
  std::vector<Command> takeCommands();

private:
  struct Key {
    std::size_t Kind = 0;
    std::string Subject;
    base::Token Expected;
    auto operator<=>(const Key &) const = default;
  };
  struct Sent {
    base::MonoTime At;
    CommandBody Body;
  };
  struct SentAssignment {
    base::MonoTime At;
    base::TargetInstanceId Owner;
  };

  base::Duration Retry;
  std::uint64_t Term = 0;
  base::MonoTime Now{};
  std::map<Key, Sent> Commands;
  std::map<SlotExpectation, base::MonoTime> Releases;
  std::map<SlotExpectation, SentAssignment> Assignments;
  std::vector<Command> Round;
  BeginRelease RoundReleases;
  AssignSlots RoundAssignments;
};

} // namespace magnoliamill::ownership::internal
