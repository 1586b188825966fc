// A dispatcher's connection state with one target: the target's clock, the
// grants it may hold, and whether it answers.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "base/Token.h"
#include "ownership/DispatchAgent.h"
#include "ownership/GrantCodec.h"
#include "ownership/Timing.h"
#include "ownership/View.h"

#include <map>
#include <optional>

namespace magnoliamill::ownership::internal {

using SlotTokens = std::map<base::SlotNumber, base::Token>;

/// Exists for one dispatch token; a new token gets a new link.
class TargetLink {
public:
  TargetLink(const TargetView &target, base::MonoTime now);

  void setTarget(const TargetView &target, base::MonoTime now);
  const TargetView &target() const { return Target; }

  /// The grant to send now, if one is due. \p wanted are the slots that the
  /// target should hold.
  std::optional<SendGrant>
  sendIfDue(const base::VmId &vm, const SlotTokens &wanted, base::MonoTime now);
  void onReply(std::uint64_t grant, const base::Result<std::string> &body,
               base::MonoTime now);
  /// Counts a grant as failed if GrantReplied has not come in twice its
  /// timeout.
  void expireOutstandingGrant(base::MonoTime now);
  /// A client request, as opposed to a grant, failed or was answered.
  void onRequestFailed(base::MonoTime now);
  void onRequestAnswered();
  /// Ends the lost state, after a while, of a target that can't be probed by
  /// grants.
  void endUnprobedLost(base::MonoTime now);

  /// Marks the target as lost if it does not answer and no grant to it can be
  /// valid any more. True only for the call that marks it.
  bool detectLost(base::MonoTime now);
  bool isLost() const { return Lost; }
  bool isFailing() const { return Failures > 0; }
  /// True while the target has acknowledged a grant that is still valid, or
  /// does not check tokens and is not lost.
  bool isReady(base::MonoTime now) const;
  /// True when the target holds \p slot under \p token and would accept a
  /// request for it.
  bool holds(base::SlotNumber slot, base::Token token,
             base::MonoTime now) const;
  /// True when no grant of \p slot can be valid at the target any more.
  bool isSlotFree(base::SlotNumber slot, base::MonoTime now) const;
  base::MonoTime nextWake() const;

private:
  /// A clock value of the target, taken between SentAt and ReceivedAt on this
  /// VM's clock.
  struct ClockReading {
    std::int64_t ClockMs = 0;
    base::MonoTime SentAt{};
    base::MonoTime ReceivedAt{};
  };
  struct OutstandingGrant {
    std::uint64_t Id = 0;
    base::MonoTime SentAt{};
    SlotTokens Slots;
    /// On this VM's clock, the grant is certainly valid before ValidUntil and
    /// certainly expired after ExpiredAfter.
    base::MonoTime ValidUntil{};
    base::MonoTime ExpiredAfter{};
  };

  SendGrant send(const base::VmId &vm, const SlotTokens &wanted,
                 base::MonoTime now);
  void onAccepted(std::int64_t clock, base::MonoTime now);
  void onFailed(base::MonoTime now);
  /// The latest time at which any grant to the target can be valid.
  base::MonoTime latestGrantEnd() const;

  TargetView Target;
  std::optional<ClockReading> Clock;
  std::optional<OutstandingGrant> Pending;
  std::uint64_t LastGrantId = 0;
  base::MonoTime NextSend;
  /// The slots in the last acknowledged grant, and the earliest time that it
  /// can expire.
  SlotTokens Acknowledged;
  base::MonoTime AcknowledgedUntil{};
  /// The latest expiry of grants from earlier dispatchers. Cleared when the
  /// target has accepted this dispatch token, since it then refuses theirs.
  base::MonoTime EarlierGrantsUntil;
  /// The latest expiry of grants that this VM sent, by slot.
  std::map<base::SlotNumber, base::MonoTime> HeldUntil;
  /// The same for grants without a reply, which may arrive after later ones.
  std::map<base::SlotNumber, base::MonoTime> UnconfirmedUntil;
  int Failures = 0;
  base::MonoTime FirstFailure{};
  base::MonoTime LostSince{};
  bool Lost = false;
};

} // namespace magnoliamill::ownership::internal
