// The public face of Replica.
#include "consensus/ReplicaCore.h"

#include "consensus/internal/Replica.h"

namespace magnoliamill::consensus {

struct ReplicaCore::State {
  internal::Replica Inner;
};

ReplicaCore::ReplicaCore(ReplicaConfig config, DurableState restored,
                         base::MonoTime now)
    : Self(new State{internal::Replica(std::move(config), restored, now)}) {}
ReplicaCore::~ReplicaCore() = default;
ReplicaCore::ReplicaCore(ReplicaCore &&) noexcept = default;
ReplicaCore &ReplicaCore::operator=(ReplicaCore &&) noexcept = default;

Actions ReplicaCore::step(const Event &event, base::MonoTime now) {
  return Self->Inner.step(event, now);
}

base::MonoTime ReplicaCore::nextWake() const { return Self->Inner.nextWake(); }

Role ReplicaCore::role() const { return Self->Inner.role(); }

TermNumber ReplicaCore::term() const { return Self->Inner.term(); }

std::optional<ReplicaId> ReplicaCore::leader() const {
  return Self->Inner.leader();
}

LogIndex ReplicaCore::commitIndex() const { return Self->Inner.commitIndex(); }

LogIndex ReplicaCore::lastIndex() const {
  return Self->Inner.log().lastIndex();
}

LogIndex ReplicaCore::snapshotIndex() const {
  return Self->Inner.log().snapshot()->Index;
}

const Membership &ReplicaCore::membership() const {
  return Self->Inner.log().membership();
}

bool ReplicaCore::isCaughtUp(const ReplicaId &replica) const {
  return Self->Inner.isCaughtUp(replica);
}

bool ReplicaCore::hasLeaderLease(base::MonoTime now) const {
  return Self->Inner.hasLeaderLease(now);
}

} // namespace magnoliamill::consensus
