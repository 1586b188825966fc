# The protocol of the fleet shape: the state that its cores replicate, the view
# updates sent to entries, and the frames of the links between them.
# After a change run scripts/generate-protocol and commit the generated files.
@0xb5a1c57f0e6d2a94;

using Cxx = import "/capnp/c++.capnp";
using Mill = import "mill.capnp";
$Cxx.namespace("magnoliamill::fleet::wire");

# ---- configuration items ----
struct Share { service @0 :Text; weight @1 :UInt32; }
struct Route {
  name @0 :Text;
  version @1 :UInt64;
  isRemoved @2 :Bool;
  host @3 :Text;
  pathPrefix @4 :Text;
  kind @5 :UInt8;
  timeoutMs @6 :UInt32;
  latencyObjectiveMs @7 :UInt32;
  priority @8 :UInt32;
  maxAttempts @9 :UInt32;
  shares @10 :List(Share);
  document @11 :Text;
}
struct Service {
  name @0 :Text;
  version @1 :UInt64;
  isRemoved @2 :Bool;
  healthPath @3 :Text;
  maxConnections @4 :UInt32;
  isKeyed @5 :Bool;
  warmMs @6 :UInt32;
  document @7 :Text;
  # How long a target is slow after its start, and how many requests a second it
  # takes in that time; 0 for no limit.
  targetWarmUpMs @8 :UInt32;
  warmUpPerSecond @9 :Float64;
}
struct Limits {
  version @0 :UInt64;
  maxHeaderBytes @1 :UInt64;
  maxBodyBytes @2 :UInt64;
  headerTimeoutMs @3 :UInt32;
  idleTimeoutMs @4 :UInt32;
  document @5 :Text;
}
struct Items {
  routes @0 :List(Route);
  services @1 :List(Service);
  # At most one element.
  limits @2 :List(Limits);
}

# ---- the replicated state ----
struct TargetLife { id @0 :Text; born @1 :UInt64; }
struct StripeMove {
  stripe @0 :UInt32;
  owner @1 :UInt32;
  expected @2 :UInt64;
  handover @3 :Text;
  # Of a stripe in a snapshot: an earlier life of its owner had it before.
  isInherited @4 :Bool;
}
struct Assignment {
  service @0 :Text;
  stripeCount @1 :UInt32;
  owners @2 :List(TargetLife);
  moves @3 :List(StripeMove);
}
struct Command {
  union {
    items @0 :Items;
    assignment @1 :Assignment;
    # The target receives no new work from now on.
    departure @2 :TargetLife;
    evacuation @4 :Evacuation;
    grant @5 :Grant;
  }
  # Of a departure: log indices of earlier ones that no longer bind.
  expired @3 :List(UInt64);
}
# The targets of a data centre get no requests, or may get them again.
struct Evacuation { dataCentre @0 :Text; isActive @1 :Bool; }
# An answer to the heartbeat with this number may grant a target stripes that it
# didn't report.
struct Grant {
  service @0 :Text;
  life @1 :TargetLife;
  heartbeat @2 :UInt64;
  address @3 :Text;
}
# The last such heartbeat of an owner.
struct LastGrant { owner @0 :UInt32; heartbeat @1 :UInt64; address @2 :Text; }
struct ServiceKeys {
  service @0 :Text;
  stripeCount @1 :UInt32;
  owners @2 :List(TargetLife);
  # One for each assigned stripe; the field expected contains its token.
  stripes @3 :List(StripeMove);
  lastGrants @4 :List(LastGrant);
}
struct Departure { life @0 :TargetLife; index @1 :UInt64; }
struct State {
  items @0 :Items;
  keys @1 :List(ServiceKeys);
  departures @2 :List(Departure);
  # Data centres that are evacuated.
  evacuations @3 :List(Text);
}

# ---- view of the entries ----
struct Target {
  life @0 :TargetLife;
  sequence @1 :UInt64;
  address @2 :Text;
  service @3 :Text;
  dataCentre @4 :Text;
  slots @5 :UInt32;
  state @6 :UInt8;
  # How much longer the target is slow after its start.
  warmUpLeftMs @7 :UInt32;
}
# Stripes whose holder has changed. Elements of holderOf are indices into the
# field holders, plus one; 0 means no holder.
struct Holders {
  service @0 :Text;
  stripeCount @1 :UInt32;
  holders @2 :List(TargetLife);
  stripes @3 :List(UInt32);
  holderOf @4 :List(UInt32);
  # Replaces the lists stripes and holderOf when most stripes have changed: the
  # holder of each stripe, with the same numbering.
  holderOfEach @5 :List(UInt16);
}
struct VmAddress { host @0 :Text; dataCentre @1 :Text; }
struct ViewUpdate {
  term @0 :UInt64;
  number @1 :UInt64;
  # Targets and holders replace all known ones.
  isWhole @2 :Bool;
  items @3 :Items;
  targets @4 :List(Target);
  goneTargets @5 :List(TargetLife);
  holders @6 :List(Holders);
  cores @7 :List(VmAddress);
  # The evacuated data centres replace the known ones.
  hasEvacuations @8 :Bool;
  evacuations @9 :List(Text);
}

# ---- frames ----
struct Hello {
  host @0 :Text;
  dataCentre @1 :Text;
  isCore @2 :Bool;
  incarnation @3 :UInt64;
  wantsView @4 :Bool;
  knownView @5 :ViewMark;
  # Host of the leader that the sender follows; empty when it knows none.
  leader @6 :Text;
  # Version of this protocol that the sender understands; 0 before version 2.
  protocol @7 :UInt16;
}
# A call by a target or an operator, passed to the leader.
struct Call {
  id @0 :UInt64;
  kind @1 :UInt8;
  name @2 :Text;
  body @3 :Data;
}
struct CallReply {
  id @0 :UInt64;
  status @1 :UInt16;
  body @2 :Data;
}
struct Frame {
  union {
    hello @0 :Hello;
    consensus @1 :List(Mill.GroupMessage);
    view @2 :ViewUpdate;
    call @3 :Call;
    reply @4 :CallReply;
    # Confirms that the view with this number is, or was, the leader's newest.
    viewCurrent @5 :ViewMark;
    ping @6 :Void;
    pong @7 :Void;
    speeds @8 :List(SpeedSample);
    permitAsk @9 :PermitAsk;
    permitReply @10 :PermitReply;
    permitEnd @11 :PermitEnd;
    crashes @12 :CrashReport;
    # An entry asks for other entries.
    entriesAsk @13 :Void;
    entries @14 :List(VmAddress);
    stripeLoads @15 :List(StripeLoad);
  }
}
# An entry asks for a permit to send a request to a target.
struct PermitAsk {
  number @0 :UInt64;
  service @1 :Text;
  # The holder of the key; absent for services without keys.
  holder @2 :TargetLife;
  dataCentre @3 :Text;
  isUrgent @4 :Bool;
  mayWait @5 :Bool;
  objectiveMs @6 :UInt32;
  timeoutMs @7 :UInt32;
  # Hash of what the request contains; 0 when absent.
  content @8 :UInt64;
  # Priority of the route; 0 is the highest.
  priority @9 :UInt32;
}
struct PermitReply {
  number @0 :UInt64;
  decision @1 :UInt8;
  target @2 :TargetLife;
  retryAfterMs @3 :UInt32;
  # How many entries ask this core for permits.
  entryCount @4 :UInt32;
  # The core's view at the time of the decision.
  view @5 :ViewMark;
}
struct PermitEnd {
  number @0 :UInt64;
  use @1 :UInt8;
  latencyUs @2 :UInt64;
  # The target has answered, and says how many requests per second it takes from
  # all entries.
  hasNotice @3 :Bool;
  hasRateLimit @4 :Bool;
  rateLimit @5 :Float64;
  # The view by which the entry did not send the request: it does not list the
  # target as ready. Absent otherwise.
  returnedBy @6 :ViewMark;
  # The load that the target reported with its answer. Absent without a report.
  load @7 :TargetLoad;
}
struct TargetLoad {
  running @0 :UInt32;
  waiting @1 :UInt32;
  slots @2 :UInt32;
  # How long work takes on the target's machine; 100 is usual.
  slownessPercent @3 :UInt32;
}
# Requests under which targets have ended.
struct CrashReport {
  crashes @0 :List(TargetCrash);
  # Contents of requests that a target has answered.
  cleared @1 :List(UInt64);
}
struct TargetCrash {
  # Hash of what the request contains.
  content @0 :UInt64;
  # Names the instance of the target.
  target @1 :Text;
  ageMs @2 :UInt32;
}
# Response time statistics of one target, from one entry and one interval.
struct SpeedSample {
  life @0 :TargetLife;
  answers @1 :UInt32;
  meanLogRatio @2 :Float32;
}
# Requests of one service that an entry received in one interval.
struct StripeLoad {
  service @0 :Text;
  # The number of stripes by which the requests were counted.
  stripeCount @1 :UInt32;
  intervalMs @2 :UInt32;
  requests @3 :UInt32;
  # The busiest stripes, and the requests of each.
  stripes @4 :List(UInt32);
  counts @5 :List(UInt32);
}
struct ViewMark {
  term @0 :UInt64;
  number @1 :UInt64;
  # In confirmations: how long ago the leader gave it.
  ageMs @2 :UInt32;
}
