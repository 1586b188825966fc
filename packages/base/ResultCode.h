// The result codes of the whole system. Every error that leaves a process (HTTP
// body, log line, exit code) carries one of them. A test checks that the table
// in docs/RESULT-CODES.md matches allResultCodes().
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace magnoliamill::base {

/// Numbers are stable: a code is never reused for another meaning.
enum class ResultCode : std::uint16_t {
  Ok = 0,

  // 1xxx: the daemon's settings file and startup.
  FileUnreadable = 1001,
  JsonMalformed = 1002,
  UnknownField = 1003,
  WrongType = 1004,
  OutOfRange = 1005,
  DuplicateAddress = 1006,
  MissingField = 1007,
  ListenFailed = 1008,
  DuplicateField = 1009,

  // 2xxx: the request is invalid. It was not run.
  BadRequest = 2001,
  HeaderTooLarge = 2002,
  BodyTooLarge = 2003,
  UnknownService = 2004,
  MissingKey = 2005,
  BadDeadline = 2006,
  UnknownClientAccount = 2007,
  UnknownRoute = 2008,
  RequestTimeout = 2009,
  TooManyConnections = 2010,

  // 3xxx: how a request ended. 30xx: it was not run; 31xx: its outcome is
  // unknown.
  NotRunNoTarget = 3001,
  NotRunQueueFull = 3002,
  NotRunDeadline = 3003,
  NotRunTargetRefused = 3004,
  NotRunPeerUnreachable = 3005,
  NotRunNotReady = 3006,
  NotRunNotOwner = 3007,
  NotRunCancelled = 3008,
  NotRunRepeatUnsafe = 3009,
  NotRunLeaseLost = 3010,
  NotRunLedgerUnavailable = 3011,
  NotRunQuarantined = 3012,
  NotRunTargetUnreachable = 3013,
  OutcomeUnknown = 3101,
  OutcomeUnknownDeadline = 3102,
  OutcomeUnknownPeerLost = 3103,
  OutcomeUnknownTargetLost = 3104,
  AnswerTruncated = 3105,
  RepeatInProgress = 3106,

  // 4xxx: operators' changes of the settings.
  AccessDenied = 4001,
  PathUnknown = 4002,
  PathInvalid = 4003,
  ValueInvalid = 4004,
  VersionConflict = 4005,
  ChangeIdReused = 4006,
  ChangeIdExpired = 4007,
  ValueTooLarge = 4008,
  NoQuorum = 4009,
  ChangeOutcomeUnknown = 4010,
  RateLimited = 4011,
  UnknownDataCentre = 4012,

  // 5xxx: replicated state and storage.
  NotLeader = 5001,
  LogDamaged = 5002,
  StorageFailed = 5003,
  SnapshotDamaged = 5004,
  MembershipBusy = 5005,
  MemberNotCaughtUp = 5006,
  ProposalDropped = 5007,
  WrongIncarnation = 5008,
  MemberUnknown = 5009,
  StorageFull = 5010,

  // 6xxx: ownership.
  GrantStale = 6001,
  GrantExpired = 6002,
  TargetNotAllowed = 6003,
  AnnouncementInvalid = 6004,
  HomeNotReleased = 6005,
  LeaseExpired = 6006,

  // 7xxx: connections between the system's processes.
  PeerUnreachable = 7001,
  PeerTimeout = 7002,
  PeerRefused = 7003,
  PeerQueueFull = 7004,
  PeerProtocol = 7005,

  // 8xxx: the connection to a target.
  TargetUnreachable = 8001,
  TargetTimeout = 8002,
  TargetReset = 8003,
  TargetProtocol = 8004,

  // 9xxx: internal errors and limits of the process.
  Internal = 9001,
  RingFull = 9002,
  Stopping = 9003,
};

/// Name and description of a result code.
struct ResultCodeInfo {
  ResultCode Code;
  std::string_view Name;
  /// What it means, for operators.
  std::string_view Meaning;
};

/// All codes in ascending order of number.
std::span<const ResultCodeInfo> allResultCodes();

/// The stable name of \p code, "Unknown" when it is not in the table.
std::string_view nameOf(ResultCode code);

constexpr std::uint16_t numberOf(ResultCode code) {
  return static_cast<std::uint16_t>(code);
}

} // namespace magnoliamill::base
