// Appends, truncates and compacts the log of one replica.
#include "consensus/internal/RaftLog.h"

#include "consensus/MembershipCodec.h"

namespace magnoliamill::consensus::internal {

RaftLog::RaftLog(DurableState &restored)
    : BaseIndex(restored.SnapshotIndex), BaseTerm(restored.SnapshotTerm) {
  Memberships.push_back({restored.SnapshotIndex, restored.Members});
  Image = std::make_shared<SnapshotImage>(SnapshotImage{
      restored.SnapshotIndex, restored.SnapshotTerm,
      std::move(restored.Members), std::move(restored.SnapshotData)});
  for (Entry &entry : restored.Entries)
    append(std::move(entry));
}

TermNumber RaftLog::lastTerm() const {
  return Entries.empty() ? BaseTerm : Entries.back().Term;
}

std::optional<TermNumber> RaftLog::termAt(LogIndex index) const {
  if (index == BaseIndex)
    return BaseTerm;
  if (index < BaseIndex || index > lastIndex())
    return std::nullopt;
  return at(index).Term;
}

const Entry &RaftLog::at(LogIndex index) const {
  return Entries[index - BaseIndex - 1];
}

std::vector<Entry> RaftLog::read(LogIndex first, std::size_t limit) const {
  std::vector<Entry> out;
  std::size_t bytes = 0;
  for (LogIndex n = first; n <= lastIndex(); ++n) {
    const Entry &entry = at(n);
    bytes += entry.Command.size();
    if (!out.empty() && bytes > limit)
      break;
    out.push_back(entry);
  }
  return out;
}

LogIndex RaftLog::firstIndexOfTermAt(LogIndex index) const {
  const auto term = termAt(index);
  while (index > BaseIndex && termAt(index - 1) == term)
    --index;
  return index;
}

void RaftLog::append(Entry entry) {
  noteMembership(entry);
  Entries.push_back(std::move(entry));
}

void RaftLog::truncateAfter(LogIndex index) {
  while (lastIndex() > index)
    Entries.pop_back();
  while (Memberships.size() > 1 && Memberships.back().Index > index)
    Memberships.pop_back();
}

const Membership &RaftLog::membershipAt(LogIndex index) const {
  for (auto it = Memberships.rbegin(); it != Memberships.rend(); ++it)
    if (it->Index <= index)
      return it->Members;
  return Memberships.front().Members;
}

void RaftLog::compact(SnapshotImage image, std::size_t retained) {
  const LogIndex index = image.Index;
  Image = std::make_shared<SnapshotImage>(std::move(image));
  std::size_t bytes = 0;
  LogIndex keep = index;
  while (keep > BaseIndex) {
    bytes += at(keep).Command.size() + sizeof(Entry);
    if (bytes > retained)
      break;
    --keep;
  }
  discardUpTo(keep);
  // The membership in force at the snapshot stays as the first element.
  while (Memberships.size() > 1 && Memberships[1].Index <= index)
    Memberships.pop_front();
}

void RaftLog::discardUpTo(LogIndex index) {
  if (index <= BaseIndex)
    return;
  BaseTerm = *termAt(index);
  Entries.erase(Entries.begin(), Entries.begin() + static_cast<std::ptrdiff_t>(
                                                       index - BaseIndex));
  BaseIndex = index;
}

bool RaftLog::install(SnapshotImage image) {
  const bool same = termAt(image.Index) == image.Term;
  const bool dropped = !same && lastIndex() > image.Index;
  if (same) {
    discardUpTo(image.Index);
  } else {
    Entries.clear();
    BaseIndex = image.Index;
    BaseTerm = image.Term;
  }
  std::deque<MembershipAt> kept{{image.Index, image.Members}};
  if (same)
    for (MembershipAt &it : Memberships)
      if (it.Index > image.Index)
        kept.push_back(std::move(it));
  Memberships = std::move(kept);
  Image = std::make_shared<SnapshotImage>(std::move(image));
  return dropped;
}

void RaftLog::noteMembership(const Entry &entry) {
  if (entry.Kind != EntryKind::Membership)
    return;
  auto decoded = decodeMembership(entry.Command);
  // Only valid memberships are proposed, and stored records are verified by
  // checksums; text that cannot be decoded leaves the membership unchanged.
  if (decoded)
    Memberships.push_back({entry.Index, std::move(decoded).value()});
}

} // namespace magnoliamill::consensus::internal
