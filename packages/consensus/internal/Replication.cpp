// The leader's side of replication: rounds, entries, snapshots and leadership
// transfer.
#include "consensus/internal/Quorum.h"
#include "consensus/internal/Replica.h"

namespace magnoliamill::consensus::internal {

namespace {

/// Maximum number of unanswered requests with entries per replica.
constexpr std::size_t MaxInFlight = 16;

} // namespace

LogIndex Replica::appendAsLeader(EntryKind kind, std::string command) {
  Entry entry{Log.lastIndex() + 1, Term, kind, std::move(command)};
  const LogIndex index = entry.Index;
  persist().Append.push_back(entry);
  Log.append(std::move(entry));
  return index;
}

void Replica::refreshPeers() {
  const Membership &members = Log.membership();
  std::erase_if(Peers, [&](const auto &it) {
    return !contains(members.Voters, it.first) &&
           !contains(members.Learners, it.first);
  });
  for (const auto *list : {&members.Voters, &members.Learners})
    for (const ReplicaId &id : *list)
      if (id != Config.Self && !Peers.contains(id))
        Peers[id].startProbe(Log.lastIndex() + 1);
}

void Replica::startRound() {
  Rounds.start(Now, 2 * Config.ElectionTimeoutMax);
  NextHeartbeat = Now + Config.HeartbeatInterval;
}

void Replica::replicateToAll(bool force) {
  for (auto &[id, peer] : Peers)
    replicateTo(id, peer, force);
}

void Replica::replicateTo(const ReplicaId &id, Progress &peer, bool force) {
  if (peer.Mode == ProgressMode::Snapshot) {
    if (force)
      sendChunk(id, peer);
    return;
  }
  if (peer.Mode == ProgressMode::Probe && peer.ProbeSent && !force)
    return;
  bool sent = false;
  while (sendEntries(id, peer, force && !sent)) {
    sent = true;
    if (peer.Mode != ProgressMode::Replicate)
      return;
  }
}

bool Replica::sendEntries(const ReplicaId &id, Progress &peer, bool force) {
  const LogIndex previous = peer.Next - 1;
  const auto term = Log.termAt(previous);
  if (!term) {
    peer.startSnapshot(Log.snapshot());
    sendChunk(id, peer);
    return false;
  }
  AppendRequest request{previous, *term, CommitIndex, {}, Rounds.current()};
  if (peer.InFlight.size() < MaxInFlight)
    request.Entries = Log.read(peer.Next, Config.MaxAppendBytes);
  if (request.Entries.empty() && !force)
    return false;
  if (peer.Mode == ProgressMode::Probe)
    peer.ProbeSent = true;
  if (peer.Mode == ProgressMode::Replicate && !request.Entries.empty()) {
    peer.Next = request.Entries.back().Index + 1;
    peer.InFlight.push_back(request.Entries.back().Index);
  }
  send(id, std::move(request));
  return true;
}

void Replica::sendChunk(const ReplicaId &id, Progress &peer) {
  const SnapshotImage &image = *peer.Sending;
  const auto offset = std::min<std::uint64_t>(peer.Offset, image.Data.size());
  SnapshotRequest request{image.Index,
                          image.Term,
                          image.Members,
                          offset,
                          image.Data.substr(offset, Config.MaxAppendBytes),
                          false,
                          Rounds.current()};
  request.Last = offset + request.Data.size() == image.Data.size();
  send(id, std::move(request));
}

Progress *Replica::confirmContact(const Message &message, std::uint64_t round) {
  if (message.Term > Term) {
    becomeFollower(message.Term, std::nullopt);
    return nullptr;
  }
  const auto it = Peers.find(message.From);
  if (CurrentRole != Role::Leader || message.Term < Term || it == Peers.end())
    return nullptr;
  Progress &peer = it->second;
  if (round > peer.AckedRound && round <= Rounds.current())
    peer.AckedRound = round;
  if (const auto at = Rounds.sentAt(round))
    peer.ContactSentAt = std::max(peer.ContactSentAt, *at);
  return &peer;
}

void Replica::receive(const Message &message, const AppendReply &body) {
  Progress *peer = confirmContact(message, body.Round);
  if (peer == nullptr)
    return;
  const ReplicaId id = message.From;
  if (body.Matched && body.Index <= Log.lastIndex()) {
    peer->noteMatch(body.Index);
    const bool installed = peer->Mode == ProgressMode::Snapshot &&
                           peer->Match >= peer->Sending->Index;
    if (peer->Mode == ProgressMode::Probe || installed)
      peer->startReplicate();
    replicateTo(id, *peer, false);
  } else if (!body.Matched && peer->Mode != ProgressMode::Snapshot) {
    const LogIndex next = std::max(body.Index, peer->Match) + 1;
    peer->startProbe(std::min(next, Log.lastIndex() + 1));
    replicateTo(id, *peer, false);
  }
  commitByQuorum();
  resolveReads();
  continueTransfer();
}

void Replica::receive(const Message &message, const SnapshotReply &body) {
  Progress *peer = confirmContact(message, body.Round);
  if (peer == nullptr)
    return;
  if (peer->Mode == ProgressMode::Snapshot &&
      body.LastIndex == peer->Sending->Index &&
      body.NextOffset <= peer->Sending->Data.size()) {
    const bool advanced = body.NextOffset > peer->Offset;
    // If the receiver restarted, its offset goes back; sending then resumes
    // with the next round.
    peer->Offset = body.NextOffset;
    if (advanced)
      sendChunk(message.From, *peer);
  }
  resolveReads();
}

void Replica::handle(const TransferLeadership &event) {
  if (CurrentRole != Role::Leader || PendingTransfer)
    return;
  const ReplicaId *target = nullptr;
  for (const ReplicaId &id : Log.membership().Voters) {
    if (id == Config.Self)
      continue;
    if (event.Preferred && id != *event.Preferred)
      continue;
    const bool better = target == nullptr ||
                        Peers[id].ContactSentAt > Peers[*target].ContactSentAt;
    if (better)
      target = &id;
  }
  if (target == nullptr)
    return;
  PendingTransfer = Transfer{*target, Now + Config.ElectionTimeoutMin, false};
  continueTransfer();
}

void Replica::continueTransfer() {
  if (CurrentRole != Role::Leader || !PendingTransfer ||
      PendingTransfer->TimeoutSent)
    return;
  const auto it = Peers.find(PendingTransfer->Target);
  if (it == Peers.end() || it->second.Match != Log.lastIndex())
    return;
  PendingTransfer->TimeoutSent = true;
  send(PendingTransfer->Target, TimeoutNow{});
}

base::MonoTime Replica::quorumContact() const {
  return reachedByQuorum<base::MonoTime>(
      Log.membership().Voters, [this](const ReplicaId &id) {
        if (id == Config.Self)
          return base::MonoTime::max() - std::chrono::hours(24);
        const auto it = Peers.find(id);
        return it == Peers.end() ? base::MonoTime::min()
                                 : it->second.ContactSentAt;
      });
}

bool Replica::hasLeaderLease(base::MonoTime now) const {
  if (CurrentRole != Role::Leader || PendingTransfer ||
      CommitIndex < FirstIndexOfTerm)
    return false;
  return now < quorumContact() + leaseDuration();
}

bool Replica::isCaughtUp(const ReplicaId &replica) const {
  if (replica == Config.Self)
    return true;
  const auto it = Peers.find(replica);
  return it != Peers.end() && it->second.Match >= CommitIndex;
}

} // namespace magnoliamill::consensus::internal
