// Decides from the ledger replies of the VMs that record a key whether a
// request with this key may run.
#pragma once

#include "base/Result.h"
#include "protocol/Messages.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace magnoliamill::dispatch {

enum class LedgerDecision {
  /// Not decided yet: replies are missing.
  Pending,
  /// Recorded by a majority, so no earlier request can have begun.
  MayRun,
  /// An earlier request has this stored answer.
  Replay,
  /// An earlier request began; whether it ran is not known here.
  Unknown,
  /// No majority recorded the key with complete records, so an earlier request
  /// cannot be ruled out.
  Unavailable,
};

/// A request runs only if a majority of the key's VMs, all with complete
/// records, recorded it and knew of no other. Two majorities share a VM, so of
/// two requests with the same key at most one runs.
class LedgerQuorum {
public:
  explicit LedgerQuorum(std::size_t vms) : VmCount(vms) {}

  void add(const base::Result<protocol::LedgerReply> &reply) {
    ++Replies;
    if (!reply)
      return;
    const auto &known = reply.value();
    if (known.Known && known.Finished && known.Status != 0)
      Stored = known;
    else if (known.Known)
      Conflict = true;
    else if (known.Complete)
      ++Recorded;
  }

  LedgerDecision decision() const {
    if (Stored)
      return LedgerDecision::Replay;
    bool all = Replies == VmCount;
    if (Conflict)
      return all ? LedgerDecision::Unknown : LedgerDecision::Pending;
    if (Recorded > VmCount / 2)
      return LedgerDecision::MayRun;
    return all ? LedgerDecision::Unavailable : LedgerDecision::Pending;
  }

  /// The stored answer, set if the decision is Replay.
  const std::optional<protocol::LedgerReply> &stored() const { return Stored; }

private:
  std::size_t VmCount;
  std::size_t Replies = 0;
  // VMs with complete records that recorded the request and knew of no other.
  std::size_t Recorded = 0;
  bool Conflict = false;
  std::optional<protocol::LedgerReply> Stored;
};

} // namespace magnoliamill::dispatch
