// What a dispatcher knows of one target: its clock, the grants it may hold, and
// whether it answers.
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

/// Lives for one dispatch token; a new token starts with a new link.
class TargetLink {
public:
  TargetLink(const TargetView &target, base::MonoTime now);

  void setTarget(const TargetView &target, base::MonoTime now);
  const TargetView &target() const { return Target; }

  /// The grant to send now, if one is due. \p wanted are the slots that the
  /// target is to hold.
  std::optional<SendGrant>
  sendIfDue(const base::VmId &vm, const SlotTokens &wanted, base::MonoTime now);
  void onReply(std::uint64_t grant, const base::Result<std::string> &body,
               base::MonoTime now);
  /// Counts a grant without any reply as failed.
  void expireOutstandingGrant(base::MonoTime now);
  /// A request failed or succeeded outside of the grants.
  void onRequestFailed(base::MonoTime now);
  void onRequestAnswered();
  /// Ends the state Lost of a target that can't be asked by grants.
  void endUnprobedLost(base::MonoTime now);

  /// True once when the target has become lost: it does not answer and no grant
  /// to it can be valid any more.
  bool detectLost(base::MonoTime now);
  bool isLost() const { return Lost; }
  bool isFailing() const { return Failures > 0; }
  /// True while the target has acknowledged a grant that is still valid, or
  /// does not know grants.
  bool isReady(base::MonoTime now) const;
  /// True when the target holds \p slot under \p token and would take a request
  /// for it.
  bool holds(base::SlotNumber slot, base::Token token,
             base::MonoTime now) const;
  /// True when no grant of \p slot can be valid at the target any more.
  bool isSlotFree(base::SlotNumber slot, base::MonoTime now) const;
  base::MonoTime nextWake() const;

private:
  /// A clock value of the target, read at some time between SentAt and
  /// ReceivedAt on this VM's clock.
  struct ClockReading {
    std::int64_t ClockMs = 0;
    base::MonoTime SentAt{};
    base::MonoTime ReceivedAt{};
  };
  struct OutstandingGrant {
    std::uint64_t Id = 0;
    base::MonoTime SentAt{};
    SlotTokens Slots;
    /// By this VM's clock the grant is surely valid before ValidUntil and
    /// surely over after Until.
    base::MonoTime ValidUntil{};
    base::MonoTime ExpiredAfter{};
  };

  SendGrant send(const base::VmId &vm, const SlotTokens &wanted,
                 base::MonoTime now);
  void onAccepted(std::int64_t clock, base::MonoTime now);
  void onFailed(base::MonoTime now);
  base::MonoTime latestGrantEnd() const;

  TargetView Target;
  std::optional<ClockReading> Clock;
  std::optional<OutstandingGrant> Pending;
  std::uint64_t LastGrantId = 0;
  base::MonoTime NextSend;
  /// What the target holds by its last acknowledgement, and until when at
  /// least.
  SlotTokens Acknowledged;
  base::MonoTime AcknowledgedUntil{};
  /// Grants of earlier dispatchers end by then; cleared when the target has
  /// accepted this dispatch token, since it then refuses theirs.
  base::MonoTime EarlierGrantsUntil;
  /// Until when a slot may be held because of a grant sent from here.
  std::map<base::SlotNumber, base::MonoTime> HeldUntil;
  /// The same for grants without reply, which may arrive after later ones.
  std::map<base::SlotNumber, base::MonoTime> UnconfirmedUntil;
  int Failures = 0;
  base::MonoTime FirstFailure{};
  base::MonoTime LostSince{};
  bool Lost = false;
};

} // namespace magnoliamill::ownership::internal
