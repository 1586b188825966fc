// Data types of the replicated log: replica ids, memberships, log entries and
// the messages between replicas.
#pragma once

#include "base/Ids.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace magnoliamill::consensus {

using TermNumber = std::uint64_t;
/// Positions in the log start at 1; 0 means "before the first entry".
using LogIndex = std::uint64_t;

/// Identifies a replica. A replica that lost its disk or memory returns with a
/// higher incarnation and is a different member: it never votes under the old
/// id.
struct ReplicaId {
  base::VmId Vm;
  std::uint64_t Incarnation = 0;
  auto operator<=>(const ReplicaId &) const = default;
};

/// The voters of a group, and the learners, which only receive the log.
struct Membership {
  std::vector<ReplicaId> Voters;
  std::vector<ReplicaId> Learners;
  bool operator==(const Membership &) const = default;
};

enum class EntryKind : std::uint8_t { Command, Membership, NoOp };

/// One entry of the log. Command holds the command for the state machine, or
/// the membership as encoded by encodeMembership.
struct Entry {
  LogIndex Index = 0;
  TermNumber Term = 0;
  EntryKind Kind = EntryKind::Command;
  std::string Command;
  bool operator==(const Entry &) const = default;
};

struct VoteRequest {
  LogIndex LastIndex = 0;
  TermNumber LastTerm = 0;
  /// A pre-vote asks for votes without increasing the term.
  bool PreVote = false;
  /// Set when the current leader requested the election (leadership transfer):
  /// receivers then do not withhold their votes to protect its lease.
  bool Transfer = false;
};

struct VoteReply {
  bool PreVote = false;
  bool Granted = false;
};

struct AppendRequest {
  LogIndex PreviousIndex = 0;
  TermNumber PreviousTerm = 0;
  LogIndex Commit = 0;
  std::vector<Entry> Entries;
  /// The leader's number for this round. The reply repeats it, which tells the
  /// leader when a quorum still followed it.
  std::uint64_t Round = 0;
};

struct AppendReply {
  bool Matched = false;
  /// If Matched, the last index up to which the logs are known to be equal;
  /// otherwise the previous index that the leader should try next.
  LogIndex Index = 0;
  std::uint64_t Round = 0;
};

struct SnapshotRequest {
  LogIndex LastIndex = 0;
  TermNumber LastTerm = 0;
  Membership Members;
  /// Data is the part of the state machine's snapshot that starts at byte
  /// Offset.
  std::uint64_t Offset = 0;
  std::string Data;
  bool Last = true;
  std::uint64_t Round = 0;
};

struct SnapshotReply {
  LogIndex LastIndex = 0;
  std::uint64_t NextOffset = 0;
  std::uint64_t Round = 0;
};

/// Asks the receiver to start an election at once (leadership transfer).
struct TimeoutNow {};

using MessageBody =
    std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply,
                 SnapshotRequest, SnapshotReply, TimeoutNow>;

/// A message between two replicas of one group.
struct Message {
  ReplicaId From;
  ReplicaId To;
  TermNumber Term = 0;
  MessageBody Body;
};

} // namespace magnoliamill::consensus
