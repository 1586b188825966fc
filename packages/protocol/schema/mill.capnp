# The internal protocol between the VMs of the system.
# After a change run scripts/generate-protocol and commit the generated files.
@0xd10bdddab8fc5c35;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("magnoliamill::protocol::wire");

enum GroupKind { settings @0; dataCentre @1; }

struct ReplicaId { vm @0 :Text; incarnation @1 :UInt64; }
struct Membership { voters @0 :List(ReplicaId); learners @1 :List(ReplicaId); }

enum EntryKind { command @0; membership @1; noOp @2; }
struct Entry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :EntryKind;
  command @3 :Data;
}

struct VoteRequest {
  lastIndex @0 :UInt64;
  lastTerm @1 :UInt64;
  preVote @2 :Bool;
  transfer @3 :Bool;
}
struct VoteReply { preVote @0 :Bool; granted @1 :Bool; }
struct AppendRequest {
  previousIndex @0 :UInt64;
  previousTerm @1 :UInt64;
  commit @2 :UInt64;
  entries @3 :List(Entry);
  round @4 :UInt64;
}
struct AppendReply { matched @0 :Bool; index @1 :UInt64; round @2 :UInt64; }
struct SnapshotRequest {
  lastIndex @0 :UInt64;
  lastTerm @1 :UInt64;
  members @2 :Membership;
  offset @3 :UInt64;
  data @4 :Data;
  last @5 :Bool;
  round @6 :UInt64;
}
struct SnapshotReply {
  lastIndex @0 :UInt64;
  nextOffset @1 :UInt64;
  round @2 :UInt64;
}

# A message between two replicas of one group.
struct GroupMessage {
  group @0 :GroupKind;
  from @1 :ReplicaId;
  to @2 :ReplicaId;
  term @3 :UInt64;
  body :union {
    voteRequest @4 :VoteRequest;
    voteReply @5 :VoteReply;
    appendRequest @6 :AppendRequest;
    appendReply @7 :AppendReply;
    snapshotRequest @8 :SnapshotRequest;
    snapshotReply @9 :SnapshotReply;
    timeoutNow @10 :Void;
  }
}

# A numeric result code with a readable message. Refused calls return it; RPC
# exceptions are used for faults of the link only.
struct Failure { code @0 :UInt16; message @1 :Text; retryAfterMs @2 :UInt32; }

struct HttpHeader { name @0 :Text; value @1 :Text; }

struct ProposeRequest { group @0 :GroupKind; command @1 :Data; }
struct ProposeReply { index @0 :UInt64; outcome @1 :Data; }

struct FetchRequest {
  group @0 :GroupKind;
  after @1 :UInt64;
  waitMs @2 :UInt32;
  vm @3 :Text;
  inForce @4 :UInt64;
}
struct FetchReply {
  # Null when the log still contains the entries after the requested index.
  snapshot @0 :Data;
  snapshotIndex @1 :UInt64;
  entries @2 :List(Entry);
  commit @3 :UInt64;
}

struct LeaseRequest {
  vm @0 :Text;
  incarnation @1 :UInt64;
  sentAtUs @2 :Int64;
  leaving @3 :Bool;
  report @4 :Data;
}
struct LeaseReply {
  sentAtUs @0 :Int64;
  durationMs @1 :UInt32;
  granted @2 :Bool;
}

struct AnnounceRequest { announcement @0 :Data; }
struct AnnounceReply { reply @0 :Data; }

enum LedgerStep { begin @0; finish @1; forget @2; lookup @3; }
struct LedgerRequest {
  step @0 :LedgerStep;
  service @1 :Text;
  idempotencyKey @2 :Text;
  request @3 :Text;
  status @4 :UInt16;
  headers @5 :List(HttpHeader);
  body @6 :Data;
}
struct LedgerReply {
  known @0 :Bool;
  finished @1 :Bool;
  status @2 :UInt16;
  headers @3 :List(HttpHeader);
  body @4 :Data;
  complete @5 :Bool;
}

struct QueryRequest { what @0 :Text; argument @1 :Text; }
struct QueryReply { document @0 :Data; }

struct ForwardRequest {
  id @0 :Text;
  service @1 :Text;
  clientAccount @2 :Text;
  key @3 :Text;
  idempotencyKey @4 :Text;
  method @5 :Text;
  target @6 :Text;
  headers @7 :List(HttpHeader);
  body @8 :Data;
  deadlineMs @9 :UInt32;
  hops @10 :UInt8;
}
struct AnswerHead {
  status @0 :UInt16;
  headers @1 :List(HttpHeader);
  length :union { unknown @2 :Void; known @3 :UInt64; }
  servedBy @4 :Text;
}
struct ForwardAnswer {
  head @0 :AnswerHead;
  # The first part of the body.
  chunk @1 :Data;
  # Null when chunk is the whole body.
  rest @2 :BodyReader;
}

# The rest of an answer's body, read by the requesting VM. Dropping the
# capability cancels the request.
interface BodyReader {
  read @0 () -> (result :Part);
  struct Part {
    chunk @0 :Data;
    union {
      more @1 :Void;
      end @2 :Void;
      failure @3 :Failure;
    }
  }
}

interface Peer {
  # Identifies the VMs and keeps the link from being detected as silent.
  heartbeat @0 (vm :Text, incarnation :UInt64) -> (vm :Text, incarnation :UInt64);
  # One-way: the answer only acknowledges that the batch was read from the link.
  deliver @1 (messages :List(GroupMessage)) -> ();
  propose @2 (request :ProposeRequest) -> (result :Result(ProposeReply));
  fetch @3 (request :FetchRequest) -> (result :Result(FetchReply));
  renewLease @4 (request :LeaseRequest) -> (result :Result(LeaseReply));
  announce @5 (request :AnnounceRequest) -> (result :Result(AnnounceReply));
  ledger @6 (request :LedgerRequest) -> (result :Result(LedgerReply));
  query @7 (request :QueryRequest) -> (result :Result(QueryReply));
  # Dropping the call cancels the request.
  forward @8 (request :ForwardRequest) -> (result :Result(ForwardAnswer));

  struct Result(T) {
    union {
      ok @0 :T;
      failure @1 :Failure;
    }
  }
}
