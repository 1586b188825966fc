// The follower's side of replication: stores entries and snapshots from the
// leader.
#include "consensus/internal/Replica.h"

namespace magnoliamill::consensus::internal {

bool Replica::acceptLeader(const Message &message) {
  if (message.Term < Term) {
    // The reply's term makes the leader of an earlier term step down.
    sendAfterPersist(message.From, AppendReply{false, CommitIndex, 0});
    return false;
  }
  if (CurrentRole == Role::Leader && message.Term == Term)
    return false;
  if (message.Term > Term || CurrentRole != Role::Follower)
    becomeFollower(message.Term, message.From);
  LeaderId = message.From;
  WithholdVotesUntil =
      std::max(WithholdVotesUntil, Now + Config.ElectionTimeoutMin);
  resetElectionTimer();
  return true;
}

void Replica::receive(const Message &message, const AppendRequest &body) {
  if (!acceptLeader(message))
    return;
  AppendReply reply{false, 0, body.Round};
  if (storeEntries(body, reply))
    commitUpTo(std::min(body.Commit, reply.Index));
  sendAfterPersist(message.From, reply);
}

bool Replica::storeEntries(const AppendRequest &request, AppendReply &reply) {
  const LogIndex end = request.PreviousIndex + request.Entries.size();
  if (end <= CommitIndex) {
    // All of these entries are committed here, so they are equal.
    reply = {true, CommitIndex, request.Round};
    return true;
  }
  if (request.PreviousIndex > CommitIndex &&
      Log.termAt(request.PreviousIndex) != request.PreviousTerm) {
    reply.Index = previousIndexHint(request.PreviousIndex);
    return false;
  }
  LogIndex expected = request.PreviousIndex;
  for (const Entry &entry : request.Entries) {
    if (entry.Index != ++expected)
      return false;
    if (entry.Index <= CommitIndex || Log.termAt(entry.Index) == entry.Term)
      continue;
    if (entry.Index <= Log.lastIndex()) {
      Log.truncateAfter(entry.Index - 1);
      Persists.noteTruncation(entry.Index - 1);
      persist().TruncateAfter = entry.Index - 1;
    }
    persist().Append.push_back(entry);
    Log.append(entry);
  }
  reply.Matched = true;
  reply.Index = end;
  return true;
}

LogIndex Replica::previousIndexHint(LogIndex previous) const {
  if (previous > Log.lastIndex())
    return Log.lastIndex();
  // Skips the whole conflicting term at once, but committed entries never
  // conflict.
  const LogIndex first = Log.firstIndexOfTermAt(previous);
  return std::max(CommitIndex, first == 0 ? 0 : first - 1);
}

void Replica::receive(const Message &message, const SnapshotRequest &body) {
  if (!acceptLeader(message))
    return;
  if (body.LastIndex <= CommitIndex)
    return sendAfterPersist(message.From,
                            AppendReply{true, CommitIndex, body.Round});
  const bool same = Incoming && Incoming->From == message.From &&
                    Incoming->Term == message.Term &&
                    Incoming->Image.Index == body.LastIndex;
  if (!same)
    Incoming = IncomingSnapshot{
        message.From,
        message.Term,
        {body.LastIndex, body.LastTerm, body.Members, std::string()}};
  std::string &data = Incoming->Image.Data;
  const bool fits = body.Offset == data.size();
  if (fits)
    data += body.Data;
  if (!fits || !body.Last)
    return sendAfterPersist(
        message.From, SnapshotReply{body.LastIndex, data.size(), body.Round});
  installSnapshot(std::move(Incoming->Image));
  sendAfterPersist(message.From, AppendReply{true, CommitIndex, body.Round});
}

void Replica::installSnapshot(SnapshotImage image) {
  const LogIndex index = image.Index;
  Incoming.reset();
  Out.Restore = RestoreSnapshot{index, image.Data};
  persist().InstallSnapshot = image;
  if (Log.install(std::move(image))) {
    Persists.noteTruncation(index);
    persist().TruncateAfter = index;
  }
  CommitIndex = index;
}

} // namespace magnoliamill::consensus::internal
