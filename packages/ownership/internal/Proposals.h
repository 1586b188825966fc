// The commands that a leader has proposed and that have not taken effect yet.
#pragma once

#include "base/Time.h"
#include "ownership/Commands.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace magnoliamill::ownership::internal {

/// Prevents a command from being proposed again while it is pending. Repeating
/// it is harmless, since commands carry their preconditions, so a proposal that
/// may have been lost is repeated after the retry time.
class Proposals {
public:
  explicit Proposals(base::Duration retry) : Retry(retry) {}

  /// Begins a planning round.
  void begin(std::uint64_t term, base::MonoTime now);
  /// Proposes a command for \p subject (a target instance, or "term"), unless
  /// one of the same kind with the same \p expected token is pending.
  void propose(const std::string &subject, base::Token expected,
               CommandBody body);
  void release(const SlotExpectation &slot);
  void assign(const SlotAssignment &slot);

  bool isReleasing(const SlotExpectation &slot) const;
  /// The new owner in the pending assignment of \p slot.
  std::optional<base::TargetInstanceId>
  findAssigned(const SlotExpectation &slot) const;
  /// The pending change of a target's dispatcher.
  std::optional<SetDispatcher> findDispatcher(const std::string &subject,
                                              base::Token expected) const;
  /// True while a request to the target's dispatcher to release it is pending.
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
