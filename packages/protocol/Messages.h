// What the system's own processes say to each other, as plain types. The
// Cap'n Proto schema in schema/ carries them; peer/ translates.
#pragma once

#include "base/Ids.h"
#include "base/Result.h"
#include "base/Token.h"
#include "consensus/Types.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace magnoliamill::protocol {

/// Which replicated log a message is about.
enum class GroupKind : std::uint8_t { Settings, DataCentre };

struct GroupMessage {
  GroupKind Group = GroupKind::Settings;
  consensus::Message Message;
};

struct HttpHeader {
  std::string Name;
  std::string Value;
};

/// A caller's request on its way from the entry VM to the dispatcher.
struct ForwardRequest {
  base::RequestId Id;
  base::ServiceId Service;
  base::ClientAccountId ClientAccount;
  /// Empty for services without keys.
  std::string Key;
  /// Empty when the caller gave none.
  std::string IdempotencyKey;
  std::string Method;
  /// Path and query as the target sees them.
  std::string Target;
  std::vector<HttpHeader> Headers;
  std::string Body;
  /// What is left of the deadline, in milliseconds; shrinks with every hop.
  std::uint32_t DeadlineMs = 0;
  /// Hops between VMs so far; a request that went round is refused.
  std::uint8_t Hops = 0;
};

/// Everything about an answer but its body.
struct AnswerHead {
  std::uint16_t Status = 0;
  std::vector<HttpHeader> Headers;
  /// Length of the body when known beforehand.
  std::optional<std::uint64_t> Length;
  /// The VM, target instance and token that served it, for logs and headers.
  std::string ServedBy;
};

/// A refusal or loss, as it is told to the caller.
struct RequestFailure {
  base::ResultCode Code = base::ResultCode::Internal;
  std::string Message;
  /// When the caller may come back; 0 when that is not known.
  std::uint32_t RetryAfterMs = 0;
};

/// Receives one answer: either Fail once, or Head once, then Chunk any number
/// of times, then End or (when the body ends short) Fail. The three are called
/// on the thread of the one who gives the answer; receivers post to their own.
/// End and Fail may follow a chunk without waiting for its more().
struct AnswerSink {
  std::function<void(AnswerHead)> Head;
  /// \p more asks for the next chunk: the giver holds at most one
  /// unacknowledged chunk, which bounds memory.
  std::function<void(std::string chunk, std::function<void()> more)> Chunk;
  std::function<void()> End;
  std::function<void(RequestFailure)> Fail;
};

/// Cancels a request that was handed over. May be called from any thread.
using CancelHook = std::function<void()>;

struct ProposeRequest {
  GroupKind Group = GroupKind::Settings;
  std::string Command;
};
struct ProposeReply {
  consensus::LogIndex Index = 0;
  /// The state machine's own outcome, in the form the group's package defines.
  std::string Outcome;
};

/// Pulls committed entries after an index; answered at once when there are
/// some, otherwise after at most WaitMs.
struct FetchRequest {
  GroupKind Group = GroupKind::Settings;
  consensus::LogIndex After = 0;
  std::uint32_t WaitMs = 0;
  /// Tells what the asking VM has in force, for `status`.
  base::VmId Vm;
  consensus::LogIndex InForce = 0;
};
struct FetchReply {
  /// Set when the log no longer reaches back to After.
  std::optional<std::string> Snapshot;
  consensus::LogIndex SnapshotIndex = 0;
  std::vector<consensus::Entry> Entries;
  consensus::LogIndex Commit = 0;
};

/// Renews the lease of a dispatcher. SentAtUs repeats in the reply: the lease
/// counts from the sending, on the sender's monotonic clock.
struct LeaseRequest {
  base::VmId Vm;
  std::uint64_t Incarnation = 0;
  std::int64_t SentAtUs = 0;
  /// True when the VM is stopping: its targets are to be given to others.
  bool Leaving = false;
  /// What the VM reports of its targets, in the form of package ownership.
  std::string Report;
};
struct LeaseReply {
  std::int64_t SentAtUs = 0;
  std::uint32_t DurationMs = 0;
  bool Granted = false;
};

/// An announcement of a target, passed on to the data-centre group's leader.
struct AnnounceRequest {
  /// JSON as the target sent it, checked by the entry VM.
  std::string Announcement;
};
struct AnnounceReply {
  std::string Reply;
};

/// One step in the life of an idempotency key, kept at a second VM.
enum class LedgerStep : std::uint8_t { Begin, Finish, Forget, Lookup };
struct LedgerRequest {
  LedgerStep Step = LedgerStep::Begin;
  base::ServiceId Service;
  std::string IdempotencyKey;
  base::RequestId Request;
  /// Finish: the stored answer.
  std::uint16_t Status = 0;
  std::vector<HttpHeader> Headers;
  std::string Body;
};
struct LedgerReply {
  /// False when the VM may have forgotten keys by a restart: then that it does
  /// not know a key proves nothing.
  bool Complete = false;
  /// Another request with this key was begun.
  bool Known = false;
  bool Finished = false;
  std::uint16_t Status = 0;
  std::vector<HttpHeader> Headers;
  std::string Body;
};

/// A question about what a VM has, for operators (owners, targets, status).
struct QueryRequest {
  std::string What;
  std::string Argument;
};
struct QueryReply {
  /// JSON.
  std::string Document;
};

template <typename T> using Reply = std::function<void(base::Result<T>)>;

} // namespace magnoliamill::protocol
