// Defines the messages between the processes of the system as plain types.
// internal/ converts them to and from the Cap'n Proto types of schema/.
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

/// The replicated log that a message belongs to.
enum class GroupKind : std::uint8_t { Settings, DataCentre };

struct GroupMessage {
  GroupKind Group = GroupKind::Settings;
  consensus::Message Message;
};

struct HttpHeader {
  std::string Name;
  std::string Value;
};

/// A caller's request, forwarded from the entry VM to the dispatcher.
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
  /// Time left until the deadline, in milliseconds; decreases with every hop. 0
  /// when not set.
  std::uint32_t DeadlineMs = 0;
  /// Number of hops between VMs so far; requests in a forwarding loop are
  /// refused.
  std::uint8_t Hops = 0;
};

/// An answer without its body.
struct AnswerHead {
  std::uint16_t Status = 0;
  std::vector<HttpHeader> Headers;
  /// Length of the body in bytes, when known in advance.
  std::optional<std::uint64_t> Length;
  /// The VM, target instance and token that served it, for logs and headers.
  std::string ServedBy;
};

/// The refusal or loss of a request, as reported to the caller.
struct RequestFailure {
  base::ResultCode Code = base::ResultCode::Internal;
  std::string Message;
  /// Time after which the caller may retry, in milliseconds; 0 when unknown.
  std::uint32_t RetryAfterMs = 0;
};

/// Receives one answer: either Fail once, or Head once, then Chunk any number
/// of times, then End or (when the body is truncated) Fail. All are called on
/// the thread of the sender; receivers post to their own. End and Fail may
/// follow a chunk without waiting for its more().
struct AnswerSink {
  std::function<void(AnswerHead)> Head;
  /// The receiver calls \p more to request the next chunk. At most one chunk is
  /// unacknowledged at a time, which bounds memory.
  std::function<void(std::string chunk, std::function<void()> more)> Chunk;
  std::function<void()> End;
  std::function<void(RequestFailure)> Fail;
};

/// Cancels a request. May be called from any thread.
using CancelHook = std::function<void()>;

struct ProposeRequest {
  GroupKind Group = GroupKind::Settings;
  std::string Command;
};
struct ProposeReply {
  consensus::LogIndex Index = 0;
  /// Outcome of the state machine, in the format defined by the group's
  /// package.
  std::string Outcome;
};

/// Requests the committed entries after an index; answered immediately when
/// there are some, otherwise after at most WaitMs milliseconds.
struct FetchRequest {
  GroupKind Group = GroupKind::Settings;
  consensus::LogIndex After = 0;
  std::uint32_t WaitMs = 0;
  /// The requesting VM and the index that it has applied, for `status`.
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

/// Renews the lease of a dispatcher. The reply repeats SentAtUs, in
/// microseconds on the sender's monotonic clock: the lease starts when the
/// request was sent.
struct LeaseRequest {
  base::VmId Vm;
  std::uint64_t Incarnation = 0;
  std::int64_t SentAtUs = 0;
  /// True when the VM is stopping: its targets are to be assigned to other VMs.
  bool Leaving = false;
  /// The VM's report on its targets, in the format of package ownership.
  std::string Report;
};
struct LeaseReply {
  std::int64_t SentAtUs = 0;
  std::uint32_t DurationMs = 0;
  bool Granted = false;
};

/// A target's announcement, passed to the leader of the data-centre group.
struct AnnounceRequest {
  /// JSON as sent by the target, validated by the entry VM.
  std::string Announcement;
};
struct AnnounceReply {
  std::string Reply;
};

/// An operation on the record of an idempotency key, which a second VM keeps.
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
  /// False when the VM may have lost keys in a restart: an unknown key then
  /// does not prove that no request with it was begun.
  bool Complete = false;
  /// Another request with this key was begun.
  bool Known = false;
  bool Finished = false;
  std::uint16_t Status = 0;
  std::vector<HttpHeader> Headers;
  std::string Body;
};

/// An operator's query about the state of a VM (owners, targets, status).
struct QueryRequest {
  std::string What;
  std::string Argument;
};
struct QueryReply {
  /// JSON.
  std::string Document;
};

/// Receives the reply to a call, or the error that ended it.
template <typename T> using Reply = std::function<void(base::Result<T>)>;

} // namespace magnoliamill::protocol
