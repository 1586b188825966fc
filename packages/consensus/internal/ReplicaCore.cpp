// Forwards the public interface to internal::Replica.
#include "consensus/ReplicaCore.h"

#include "consensus/internal/Replica.h"

namespace magnoliamill::consensus {

struct ReplicaCore::State {
  internal::Replica Inner;
};

ReplicaCore::ReplicaCore(ReplicaConfig config, DurableState restored,
                         base::MonoTime now)
    : Internals(
          new State{internal::Replica(std::move(config), restored, now)}) {}
ReplicaCore::~ReplicaCore() = default;
ReplicaCore::ReplicaCore(ReplicaCore &&) noexcept = default;
ReplicaCore &ReplicaCore::operator=(ReplicaCore &&) noexcept = default;

Actions ReplicaCore::step(const Event &event, base::MonoTime now) {
  return Internals->Inner.step(event, now);
}

base::MonoTime ReplicaCore::nextWake() const {
  return Internals->Inner.nextWake();
}

Role ReplicaCore::role() const { return Internals->Inner.role(); }

TermNumber ReplicaCore::term() const { return Internals->Inner.term(); }

std::optional<ReplicaId> ReplicaCore::leader() const {
  return Internals->Inner.leader();
}

LogIndex ReplicaCore::commitIndex() const {
  return Internals->Inner.commitIndex();
}

LogIndex ReplicaCore::lastIndex() const {
  return Internals->Inner.log().lastIndex();
}

LogIndex ReplicaCore::snapshotIndex() const {
  return Internals->Inner.log().snapshot()->Index;
}

const Membership &ReplicaCore::membership() const {
  return Internals->Inner.log().membership();
}

bool ReplicaCore::isMembershipCommitted() const {
  return Internals->Inner.log().membershipIndex() <= commitIndex();
}

bool ReplicaCore::isCaughtUp(const ReplicaId &replica) const {
  return Internals->Inner.isCaughtUp(replica);
}

bool ReplicaCore::hasLeaderLease(base::MonoTime now) const {
  return Internals->Inner.hasLeaderLease(now);
}

} // namespace magnoliamill::consensus
