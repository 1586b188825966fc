// Encodes commands, snapshots and frames as Cap'n Proto messages and decodes
// them.
#include "fleet/internal/FleetCodec.h"

#include "fleet/Commands.h"
#include "fleet/Frame.h"
#include "protocol/internal/ConsensusCodec.h"
#include "protocol/internal/Wire.h"

#include <algorithm>
#include <capnp/serialize.h>
#include <cmath>
#include <cstring>
#include <fleet.capnp.h>
#include <kj/array.h>
#include <kj/exception.h>
#include <limits>
#include <map>

namespace magnoliamill::fleet {

using base::ResultCode;
using protocol::internal::asData;
using protocol::internal::asText;
using protocol::internal::toString;

namespace {

/// Limit on the words that a reader may traverse: bounds the work on a
/// malicious message.
constexpr std::uint64_t TraversalLimitWords = std::uint64_t{64} << 20;

capnp::uint sizeOf(const auto &list) {
  return static_cast<capnp::uint>(list.size());
}

std::uint32_t toMs(base::Duration duration) {
  return static_cast<std::uint32_t>(base::toMs(duration));
}

base::Duration fromMs(std::uint32_t ms) {
  return std::chrono::milliseconds(ms);
}

// ---- items of configuration ----

void encode(const routing::Route &route, wire::Route::Builder to) {
  to.setName(asText(route.Name));
  to.setVersion(route.Version);
  to.setIsRemoved(route.IsRemoved);
  to.setHost(asText(route.Host));
  to.setPathPrefix(asText(route.PathPrefix));
  to.setKind(static_cast<std::uint8_t>(route.Kind));
  to.setTimeoutMs(toMs(route.Timeout));
  to.setLatencyObjectiveMs(toMs(route.LatencyObjective));
  to.setPriority(route.Priority);
  to.setMaxAttempts(route.MaxAttempts);
  to.setDocument(asText(route.Document));
  auto shares = to.initShares(sizeOf(route.Shares));
  for (capnp::uint i = 0; i < shares.size(); ++i) {
    shares[i].setService(asText(route.Shares[i].Service));
    shares[i].setWeight(route.Shares[i].Weight);
  }
}

routing::RouteKind decodeKind(std::uint8_t kind) {
  KJ_REQUIRE(kind <= static_cast<std::uint8_t>(routing::RouteKind::Download),
             "unknown kind of route");
  return static_cast<routing::RouteKind>(kind);
}

routing::Route decode(wire::Route::Reader from) {
  routing::Route route;
  route.Name = toString(from.getName());
  route.Version = from.getVersion();
  route.IsRemoved = from.getIsRemoved();
  route.Host = toString(from.getHost());
  route.PathPrefix = toString(from.getPathPrefix());
  route.Kind = decodeKind(from.getKind());
  route.Timeout = fromMs(from.getTimeoutMs());
  route.LatencyObjective = fromMs(from.getLatencyObjectiveMs());
  route.Priority = from.getPriority();
  route.MaxAttempts = from.getMaxAttempts();
  route.Document = toString(from.getDocument());
  for (auto share : from.getShares())
    route.Shares.push_back({toString(share.getService()), share.getWeight()});
  return route;
}

void encode(const routing::Service &service, wire::Service::Builder to) {
  to.setName(asText(service.Name));
  to.setVersion(service.Version);
  to.setIsRemoved(service.IsRemoved);
  to.setHealthPath(asText(service.HealthPath));
  to.setMaxConnections(service.MaxConnections);
  to.setIsKeyed(service.IsKeyed);
  to.setWarmMs(toMs(service.WarmUpTime));
  to.setDocument(asText(service.Document));
  to.setTargetWarmUpMs(toMs(service.TargetWarmUpTime));
  to.setWarmUpPerSecond(service.WarmUpPerSecond);
}

routing::Service decode(wire::Service::Reader from) {
  routing::Service service;
  service.Name = toString(from.getName());
  service.Version = from.getVersion();
  service.IsRemoved = from.getIsRemoved();
  service.HealthPath = toString(from.getHealthPath());
  service.MaxConnections = from.getMaxConnections();
  service.IsKeyed = from.getIsKeyed();
  service.WarmUpTime = fromMs(from.getWarmMs());
  service.Document = toString(from.getDocument());
  service.TargetWarmUpTime = fromMs(from.getTargetWarmUpMs());
  service.WarmUpPerSecond = from.getWarmUpPerSecond();
  KJ_REQUIRE(service.WarmUpPerSecond >= 0, "negative rate of a warm-up");
  return service;
}

void encode(const routing::ClientLimits &limits, wire::Limits::Builder to) {
  to.setVersion(limits.Version);
  to.setMaxHeaderBytes(limits.MaxHeaderBytes);
  to.setMaxBodyBytes(limits.MaxBodyBytes);
  to.setHeaderTimeoutMs(toMs(limits.HeaderTimeout));
  to.setIdleTimeoutMs(toMs(limits.IdleTimeout));
  to.setDocument(asText(limits.Document));
}

routing::ClientLimits decode(wire::Limits::Reader from) {
  routing::ClientLimits limits;
  limits.Version = from.getVersion();
  limits.MaxHeaderBytes = from.getMaxHeaderBytes();
  limits.MaxBodyBytes = from.getMaxBodyBytes();
  limits.HeaderTimeout = fromMs(from.getHeaderTimeoutMs());
  limits.IdleTimeout = fromMs(from.getIdleTimeoutMs());
  limits.Document = toString(from.getDocument());
  return limits;
}

void encode(const routing::ConfigItems &items, wire::Items::Builder to) {
  auto routes = to.initRoutes(sizeOf(items.Routes));
  for (capnp::uint i = 0; i < routes.size(); ++i)
    encode(items.Routes[i], routes[i]);
  auto services = to.initServices(sizeOf(items.Services));
  for (capnp::uint i = 0; i < services.size(); ++i)
    encode(items.Services[i], services[i]);
  if (items.Limits)
    encode(*items.Limits, to.initLimits(1)[0]);
}

routing::ConfigItems decode(wire::Items::Reader from) {
  routing::ConfigItems items;
  for (auto route : from.getRoutes())
    items.Routes.push_back(decode(route));
  for (auto service : from.getServices())
    items.Services.push_back(decode(service));
  if (from.getLimits().size() > 0)
    items.Limits = decode(from.getLimits()[0]);
  return items;
}

// ---- the replicated state ----

void encode(const keyspace::TargetInstance &instance,
            wire::TargetLife::Builder to) {
  to.setId(asText(instance.Id));
  to.setBorn(instance.StartedAtMs);
}

void encode(const VmAddress &vm, wire::VmAddress::Builder to) {
  to.setHost(asText(vm.Host));
  to.setDataCentre(asText(vm.DataCentre));
}

VmAddress decode(wire::VmAddress::Reader from) {
  return {toString(from.getHost()), toString(from.getDataCentre())};
}

keyspace::TargetInstance decode(wire::TargetLife::Reader from) {
  return {toString(from.getId()), from.getBorn()};
}

void encode(const std::vector<keyspace::TargetInstance> &instances,
            capnp::List<wire::TargetLife>::Builder to) {
  for (capnp::uint i = 0; i < to.size(); ++i)
    encode(instances[i], to[i]);
}

std::vector<keyspace::TargetInstance>
decode(capnp::List<wire::TargetLife>::Reader from) {
  std::vector<keyspace::TargetInstance> instances;
  for (auto instance : from)
    instances.push_back(decode(instance));
  return instances;
}

void encode(const keyspace::KeyAssignment &assignment,
            wire::Assignment::Builder to) {
  to.setService(asText(assignment.Service));
  to.setStripeCount(assignment.StripeCount);
  encode(assignment.Owners, to.initOwners(sizeOf(assignment.Owners)));
  auto moves = to.initMoves(sizeOf(assignment.Moves));
  for (capnp::uint i = 0; i < moves.size(); ++i) {
    moves[i].setStripe(assignment.Moves[i].Stripe);
    moves[i].setOwner(assignment.Moves[i].Owner);
    moves[i].setExpected(assignment.Moves[i].Expected);
    moves[i].setHandover(asText(assignment.Moves[i].Handover));
  }
}

keyspace::KeyAssignment decode(wire::Assignment::Reader from) {
  keyspace::KeyAssignment assignment;
  assignment.Service = toString(from.getService());
  assignment.StripeCount = from.getStripeCount();
  assignment.Owners = decode(from.getOwners());
  for (auto move : from.getMoves())
    assignment.Moves.push_back({move.getStripe(), move.getOwner(),
                                move.getExpected(),
                                toString(move.getHandover())});
  return assignment;
}

void encodeKeys(const std::string &service, const keyspace::ServiceKeys &keys,
                wire::ServiceKeys::Builder to) {
  to.setService(asText(service));
  to.setStripeCount(keys.countStripes());
  const auto owners = keys.listOwners();
  encode(owners, to.initOwners(sizeOf(owners)));
  std::size_t assigned = 0;
  for (const auto &owner : owners)
    assigned += keys.stripesOf(owner).size();
  auto stripes = to.initStripes(static_cast<capnp::uint>(assigned));
  capnp::uint n = 0;
  for (std::uint32_t i = 0; i < owners.size(); ++i) {
    for (std::uint32_t stripe : keys.stripesOf(owners[i])) {
      auto entry = stripes[n++];
      entry.setStripe(stripe);
      entry.setOwner(i);
      entry.setExpected(keys.tokenOf(stripe));
      entry.setHandover(asText(keys.handoverOf(stripe)));
      entry.setIsInherited(keys.isInherited(stripe));
    }
  }
  std::vector<std::uint32_t> granted;
  for (std::uint32_t i = 0; i < owners.size(); ++i)
    if (keys.lastGrantOf(owners[i]))
      granted.push_back(i);
  auto grants = to.initLastGrants(sizeOf(granted));
  for (capnp::uint i = 0; i < grants.size(); ++i) {
    const auto &last = *keys.lastGrantOf(owners[granted[i]]);
    grants[i].setOwner(granted[i]);
    grants[i].setHeartbeat(last.Number);
    grants[i].setAddress(asText(last.Address));
  }
}

keyspace::ServiceKeys decodeKeys(wire::ServiceKeys::Reader from) {
  const std::uint32_t count = from.getStripeCount();
  KJ_REQUIRE(count > 0 && count <= keyspace::KeyCount,
             "the number of stripes is out of range");
  keyspace::ServiceKeys keys(count);
  const auto owners = decode(from.getOwners());
  for (auto stripe : from.getStripes()) {
    KJ_REQUIRE(stripe.getStripe() < count && stripe.getOwner() < owners.size(),
               "a stripe or owner is out of range");
    keys.assign(stripe.getStripe(), owners[stripe.getOwner()],
                stripe.getExpected(), toString(stripe.getHandover()));
    if (stripe.getIsInherited())
      keys.markInherited(stripe.getStripe());
  }
  for (auto last : from.getLastGrants()) {
    KJ_REQUIRE(last.getOwner() < owners.size(), "an owner is out of range");
    keys.recordGrant(owners[last.getOwner()],
                     {toString(last.getAddress()), last.getHeartbeat()});
  }
  return keys;
}

void encodeTexts(const auto &texts, capnp::List<capnp::Text>::Builder to) {
  capnp::uint n = 0;
  for (const auto &text : texts)
    to.set(n++, asText(text));
}

/// Sorted.
std::vector<std::string> decodeTexts(capnp::List<capnp::Text>::Reader from) {
  std::vector<std::string> texts;
  for (auto text : from)
    texts.push_back(toString(text));
  std::ranges::sort(texts);
  return texts;
}

// ---- the view ----

void encode(const Target &target, wire::Target::Builder to) {
  encode(target.Instance, to.initLife());
  to.setSequence(target.Sequence);
  to.setAddress(asText(target.Address));
  to.setService(asText(target.Service));
  to.setDataCentre(asText(target.DataCentre));
  to.setSlots(target.Slots);
  to.setState(static_cast<std::uint8_t>(target.State));
  const auto now = base::readMonotonic();
  if (target.WarmUntil > now)
    to.setWarmUpLeftMs(toMs(target.WarmUntil - now));
}

Target decode(wire::Target::Reader from) {
  Target target;
  target.Instance = decode(from.getLife());
  target.Sequence = from.getSequence();
  target.Address = toString(from.getAddress());
  target.Service = toString(from.getService());
  target.DataCentre = toString(from.getDataCentre());
  target.Slots = from.getSlots();
  KJ_REQUIRE(from.getState() <= static_cast<std::uint8_t>(TargetState::Leaving),
             "unknown target state");
  target.State = static_cast<TargetState>(from.getState());
  if (from.getWarmUpLeftMs() > 0)
    target.WarmUntil = base::readMonotonic() + fromMs(from.getWarmUpLeftMs());
  return target;
}

/// The distinct holders in a list of changes, numbered from 1; 0 means no
/// holder.
struct NumberedHolders {
  explicit NumberedHolders(const std::vector<HolderChange> &changes) {
    for (const HolderChange &change : changes) {
      if (!change.Holder)
        continue;
      auto [it, added] = Numbers.emplace(
          *change.Holder, static_cast<std::uint32_t>(Instances.size() + 1));
      if (added)
        Instances.push_back(*change.Holder);
    }
  }
  std::uint32_t numberOf(const HolderChange &change) const {
    return change.Holder ? Numbers.at(*change.Holder) : 0;
  }
  std::map<keyspace::TargetInstance, std::uint32_t> Numbers;
  std::vector<keyspace::TargetInstance> Instances;
};

void encode(const ServiceHolders &holders, bool whole,
            wire::Holders::Builder to) {
  to.setService(asText(holders.Service));
  to.setStripeCount(holders.StripeCount);
  const NumberedHolders numbered(holders.Changes);
  encode(numbered.Instances, to.initHolders(sizeOf(numbered.Instances)));
  const bool IsDense = whole && numbered.Instances.size() <
                                    std::numeric_limits<std::uint16_t>::max();
  if (IsDense) {
    auto each = to.initHolderOfEach(holders.StripeCount);
    for (const HolderChange &change : holders.Changes)
      each.set(change.Stripe,
               static_cast<std::uint16_t>(numbered.numberOf(change)));
    return;
  }
  auto stripes = to.initStripes(sizeOf(holders.Changes));
  auto numbers = to.initHolderOf(sizeOf(holders.Changes));
  for (capnp::uint i = 0; i < stripes.size(); ++i) {
    stripes.set(i, holders.Changes[i].Stripe);
    numbers.set(i, numbered.numberOf(holders.Changes[i]));
  }
}

ServiceHolders decode(wire::Holders::Reader from) {
  ServiceHolders holders;
  holders.Service = toString(from.getService());
  holders.StripeCount = from.getStripeCount();
  KJ_REQUIRE(holders.StripeCount <= keyspace::KeyCount, "too many stripes");
  const auto instances = decode(from.getHolders());
  const auto add = [&](std::uint32_t stripe, std::uint32_t number) {
    KJ_REQUIRE(number <= instances.size(), "a holder is out of range");
    HolderChange change{stripe, std::nullopt};
    if (number > 0)
      change.Holder = instances[number - 1];
    holders.Changes.push_back(std::move(change));
  };
  const auto each = from.getHolderOfEach();
  for (capnp::uint i = 0; i < each.size(); ++i)
    add(i, each[i]);
  const auto stripes = from.getStripes();
  const auto numbers = from.getHolderOf();
  KJ_REQUIRE(stripes.size() == numbers.size(),
             "the lists of stripes and holders differ in length");
  for (capnp::uint i = 0; i < stripes.size(); ++i)
    add(stripes[i], numbers[i]);
  return holders;
}

void encode(const ViewUpdate &update, wire::ViewUpdate::Builder to) {
  to.setTerm(update.Version.Term);
  to.setNumber(update.Version.Number);
  to.setIsWhole(update.IsWhole);
  encode(update.Items, to.initItems());
  auto targets = to.initTargets(sizeOf(update.Targets));
  for (capnp::uint i = 0; i < targets.size(); ++i)
    encode(update.Targets[i], targets[i]);
  encode(update.GoneTargets, to.initGoneTargets(sizeOf(update.GoneTargets)));
  auto holders = to.initHolders(sizeOf(update.Holders));
  for (capnp::uint i = 0; i < holders.size(); ++i)
    encode(update.Holders[i], update.IsWhole, holders[i]);
  auto cores = to.initCores(sizeOf(update.Cores));
  for (capnp::uint i = 0; i < cores.size(); ++i)
    encode(update.Cores[i], cores[i]);
  to.setHasEvacuations(update.Evacuated.has_value());
  if (update.Evacuated)
    encodeTexts(*update.Evacuated,
                to.initEvacuations(sizeOf(*update.Evacuated)));
}

ViewUpdate decode(wire::ViewUpdate::Reader from) {
  ViewUpdate update;
  update.Version = {from.getTerm(), from.getNumber()};
  update.IsWhole = from.getIsWhole();
  update.Items = decode(from.getItems());
  for (auto target : from.getTargets())
    update.Targets.push_back(decode(target));
  update.GoneTargets = decode(from.getGoneTargets());
  for (auto holders : from.getHolders())
    update.Holders.push_back(decode(holders));
  for (auto core : from.getCores())
    update.Cores.push_back(decode(core));
  if (from.getHasEvacuations())
    update.Evacuated = decodeTexts(from.getEvacuations());
  return update;
}

// ---- frames ----

void encodeVersion(const ViewVersion &version, wire::ViewMark::Builder to) {
  to.setTerm(version.Term);
  to.setNumber(version.Number);
}

ViewVersion decode(wire::ViewMark::Reader from) {
  return {from.getTerm(), from.getNumber()};
}

std::uint32_t toWireMs(base::Duration time) {
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(base::toMs(time), 0, UINT32_MAX));
}

void encode(const dispatch::TargetLoad &load, wire::TargetLoad::Builder to) {
  to.setRunning(load.Running);
  to.setWaiting(load.Waiting);
  to.setSlots(load.Slots);
  to.setSlownessPercent(load.SlownessPercent);
}

dispatch::TargetLoad decode(wire::TargetLoad::Reader from) {
  return {from.getRunning(), from.getWaiting(), from.getSlots(),
          from.getSlownessPercent()};
}

void encode(const StripeLoad &load, wire::StripeLoad::Builder to) {
  to.setService(asText(load.Service));
  to.setStripeCount(load.StripeCount);
  to.setIntervalMs(toWireMs(load.Interval));
  to.setRequests(load.Requests);
  auto stripes = to.initStripes(sizeOf(load.Busiest));
  auto counts = to.initCounts(sizeOf(load.Busiest));
  for (capnp::uint i = 0; i < stripes.size(); ++i) {
    stripes.set(i, load.Busiest[i].Stripe);
    counts.set(i, load.Busiest[i].Requests);
  }
}

StripeLoad decode(wire::StripeLoad::Reader from) {
  StripeLoad load{toString(from.getService()),
                  from.getStripeCount(),
                  std::chrono::milliseconds(from.getIntervalMs()),
                  from.getRequests(),
                  {}};
  const auto stripes = from.getStripes();
  const auto counts = from.getCounts();
  KJ_REQUIRE(load.StripeCount <= keyspace::KeyCount &&
                 stripes.size() == counts.size(),
             "the counts of requests do not fit the stripes");
  for (capnp::uint i = 0; i < stripes.size(); ++i) {
    KJ_REQUIRE(stripes[i] < load.StripeCount, "a stripe is out of range");
    load.Busiest.push_back({stripes[i], counts[i]});
  }
  return load;
}

struct FrameEncoder {
  wire::Frame::Builder To;

  void operator()(const Hello &hello) {
    auto to = To.initHello();
    to.setHost(asText(hello.Host));
    to.setDataCentre(asText(hello.DataCentre));
    to.setIsCore(hello.IsCore);
    to.setIncarnation(hello.Incarnation);
    to.setWantsView(hello.WantsView);
    encodeVersion(hello.KnownView, to.initKnownView());
    to.setLeader(asText(hello.Leader));
    to.setProtocol(hello.Protocol);
  }
  void operator()(const ConsensusBatch &batch) {
    auto to = To.initConsensus(sizeOf(batch));
    for (capnp::uint i = 0; i < to.size(); ++i)
      protocol::internal::encode(
          protocol::GroupMessage{protocol::GroupKind::Settings, batch[i]},
          to[i]);
  }
  void operator()(const ViewUpdate &update) { encode(update, To.initView()); }
  void operator()(const Call &call) {
    auto to = To.initCall();
    to.setId(call.Id);
    to.setKind(static_cast<std::uint8_t>(call.Kind));
    to.setName(asText(call.Name));
    to.setBody(asData(call.Body));
  }
  void operator()(const CallReply &reply) {
    auto to = To.initReply();
    to.setId(reply.Id);
    to.setStatus(reply.Status);
    to.setBody(asData(reply.Body));
  }
  void operator()(const ViewCurrent &current) {
    auto to = To.initViewCurrent();
    encodeVersion(current.Version, to);
    to.setAgeMs(toWireMs(current.Age));
  }
  void operator()(const EntriesAsk &) { To.setEntriesAsk(); }
  void operator()(const EntryList &list) {
    auto to = To.initEntries(sizeOf(list.Entries));
    for (capnp::uint i = 0; i < to.size(); ++i)
      encode(list.Entries[i], to[i]);
  }
  void operator()(const UnknownFrame &) {
    KJ_FAIL_REQUIRE("unknown frames are not sent");
  }
  void operator()(const Ping &) { To.setPing(); }
  void operator()(const Pong &) { To.setPong(); }
  void operator()(const SpeedReport &report) {
    auto to = To.initSpeeds(sizeOf(report));
    for (capnp::uint i = 0; i < to.size(); ++i) {
      encode(report[i].Instance, to[i].initLife());
      to[i].setAnswers(report[i].Answers);
      to[i].setMeanLogRatio(static_cast<float>(report[i].MeanLogRatio));
    }
  }
  void operator()(const StripeLoadReport &report) {
    auto to = To.initStripeLoads(sizeOf(report));
    for (capnp::uint i = 0; i < to.size(); ++i)
      encode(report[i], to[i]);
  }
  void operator()(const dispatch::CrashReport &report) {
    auto to = To.initCrashes();
    auto crashes = to.initCrashes(sizeOf(report.Crashes));
    for (capnp::uint i = 0; i < crashes.size(); ++i) {
      crashes[i].setContent(report.Crashes[i].Content);
      crashes[i].setTarget(asText(report.Crashes[i].Target));
      crashes[i].setAgeMs(toWireMs(report.Crashes[i].Age));
    }
    auto cleared = to.initCleared(sizeOf(report.Cleared));
    for (capnp::uint i = 0; i < cleared.size(); ++i)
      cleared.set(i, report.Cleared[i]);
  }
  void operator()(const PermitAsk &ask) {
    auto to = To.initPermitAsk();
    to.setNumber(ask.Number);
    to.setService(asText(ask.Request.Service));
    if (ask.Request.Holder)
      encode(*ask.Request.Holder, to.initHolder());
    to.setDataCentre(asText(ask.Request.DataCentre));
    to.setIsUrgent(ask.Request.IsUrgent);
    to.setMayWait(ask.Request.MayWait);
    to.setObjectiveMs(toWireMs(ask.Request.LatencyObjective));
    to.setTimeoutMs(toWireMs(ask.Request.Timeout));
    to.setContent(ask.Request.Content);
    to.setPriority(ask.Request.Priority);
  }
  void operator()(const PermitReply &reply) {
    auto to = To.initPermitReply();
    to.setNumber(reply.Number);
    to.setDecision(static_cast<std::uint8_t>(reply.Decision));
    encode(reply.Target, to.initTarget());
    to.setRetryAfterMs(toWireMs(reply.RetryAfter));
    to.setEntryCount(reply.EntryCount);
    encodeVersion(reply.View, to.initView());
  }
  void operator()(const PermitEnd &end) {
    auto to = To.initPermitEnd();
    to.setNumber(end.Number);
    to.setUse(static_cast<std::uint8_t>(end.Use));
    to.setLatencyUs(static_cast<std::uint64_t>(end.Latency.count()));
    if (end.ReturnedBy)
      encodeVersion(*end.ReturnedBy, to.initReturnedBy());
    to.setHasNotice(end.Notice.has_value());
    if (end.Notice && end.Notice->Load)
      encode(*end.Notice->Load, to.initLoad());
    if (!end.Notice || !end.Notice->RateLimit)
      return;
    to.setHasRateLimit(true);
    to.setRateLimit(*end.Notice->RateLimit);
  }
};

dispatch::CrashReport decode(wire::CrashReport::Reader from) {
  dispatch::CrashReport report;
  for (auto crash : from.getCrashes())
    report.Crashes.push_back({crash.getContent(), crash.getTarget().cStr(),
                              std::chrono::milliseconds(crash.getAgeMs())});
  for (const auto content : from.getCleared())
    report.Cleared.push_back(content);
  return report;
}

PermitAsk decode(wire::PermitAsk::Reader from) {
  PermitAsk ask;
  ask.Number = from.getNumber();
  ask.Request.Service = toString(from.getService());
  if (from.hasHolder())
    ask.Request.Holder = decode(from.getHolder());
  ask.Request.DataCentre = toString(from.getDataCentre());
  ask.Request.IsUrgent = from.getIsUrgent();
  ask.Request.MayWait = from.getMayWait();
  ask.Request.LatencyObjective =
      std::chrono::milliseconds(from.getObjectiveMs());
  ask.Request.Timeout = std::chrono::milliseconds(from.getTimeoutMs());
  ask.Request.Content = from.getContent();
  ask.Request.Priority = from.getPriority();
  return ask;
}

PermitReply decode(wire::PermitReply::Reader from) {
  KJ_REQUIRE(from.getDecision() <=
                 static_cast<std::uint8_t>(admission::PermitDecision::Unknown),
             "unknown decision on a permit");
  return {from.getNumber(),
          static_cast<admission::PermitDecision>(from.getDecision()),
          decode(from.getTarget()),
          std::chrono::milliseconds(from.getRetryAfterMs()),
          from.getEntryCount(),
          decode(from.getView())};
}

PermitEnd decode(wire::PermitEnd::Reader from) {
  // A longer time can't be measured within a request's deadline.
  constexpr std::uint64_t MaxLatencyUs = 3'600'000'000;
  KJ_REQUIRE(from.getUse() <=
                 static_cast<std::uint8_t>(admission::PermitUse::Abandoned),
             "unknown use of a permit");
  PermitEnd end{from.getNumber(),
                static_cast<admission::PermitUse>(from.getUse()),
                base::Duration(static_cast<base::Duration::rep>(
                    std::min(from.getLatencyUs(), MaxLatencyUs)))};
  if (from.hasReturnedBy())
    end.ReturnedBy = decode(from.getReturnedBy());
  if (!from.getHasNotice())
    return end;
  end.Notice.emplace();
  if (from.hasLoad())
    end.Notice->Load = decode(from.getLoad());
  if (!from.getHasRateLimit())
    return end;
  KJ_REQUIRE(from.getRateLimit() >= 0, "negative rate limit");
  end.Notice->RateLimit = from.getRateLimit();
  return end;
}

Hello decode(wire::Hello::Reader from) {
  return {toString(from.getHost()),
          toString(from.getDataCentre()),
          from.getIsCore(),
          from.getIncarnation(),
          from.getWantsView(),
          decode(from.getKnownView()),
          toString(from.getLeader()),
          std::max(from.getProtocol(), FirstProtocolVersion)};
}

Call decode(wire::Call::Reader from) {
  KJ_REQUIRE(from.getKind() <=
                 static_cast<std::uint8_t>(CallKind::EndEvacuation),
             "unknown kind of call");
  return {from.getId(), static_cast<CallKind>(from.getKind()),
          toString(from.getName()), toString(from.getBody())};
}

Frame decode(wire::Frame::Reader from) {
  switch (from.which()) {
  case wire::Frame::HELLO:
    return decode(from.getHello());
  case wire::Frame::CONSENSUS: {
    ConsensusBatch batch;
    for (auto message : from.getConsensus())
      batch.push_back(protocol::internal::decode(message).Message);
    return batch;
  }
  case wire::Frame::VIEW:
    return decode(from.getView());
  case wire::Frame::CALL:
    return decode(from.getCall());
  case wire::Frame::REPLY:
    return CallReply{from.getReply().getId(), from.getReply().getStatus(),
                     toString(from.getReply().getBody())};
  case wire::Frame::VIEW_CURRENT:
    return ViewCurrent{
        decode(from.getViewCurrent()),
        std::chrono::milliseconds(from.getViewCurrent().getAgeMs())};
  case wire::Frame::PING:
    return Ping{};
  case wire::Frame::PONG:
    return Pong{};
  case wire::Frame::SPEEDS: {
    SpeedReport report;
    for (auto sample : from.getSpeeds()) {
      const double ratio = sample.getMeanLogRatio();
      // The macro ends with an empty statement.
      // NOLINTNEXTLINE(bugprone-suspicious-semicolon)
      KJ_REQUIRE(std::isfinite(ratio), "the mean log ratio is not finite");
      report.push_back({decode(sample.getLife()), sample.getAnswers(), ratio});
    }
    return report;
  }
  case wire::Frame::ENTRIES_ASK:
    return EntriesAsk{};
  case wire::Frame::ENTRIES: {
    EntryList list;
    for (auto entry : from.getEntries())
      list.Entries.push_back(decode(entry));
    return list;
  }
  case wire::Frame::STRIPE_LOADS: {
    StripeLoadReport report;
    for (auto load : from.getStripeLoads())
      report.push_back(decode(load));
    return report;
  }
  case wire::Frame::CRASHES:
    return decode(from.getCrashes());
  case wire::Frame::PERMIT_ASK:
    return decode(from.getPermitAsk());
  case wire::Frame::PERMIT_REPLY:
    return decode(from.getPermitReply());
  case wire::Frame::PERMIT_END:
    return decode(from.getPermitEnd());
  }
  return UnknownFrame{static_cast<std::uint16_t>(from.which())};
}

std::string serialize(capnp::MallocMessageBuilder &message) {
  const auto words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

/// Reads \p bytes as a message with the root \p Root; \p read converts it to
/// the result. Malformed input gives the error \p code.
template <typename Root, typename Read>
auto deserialize(std::string_view bytes, ResultCode code, Read read)
    -> base::Result<decltype(read(std::declval<typename Root::Reader>()))> {
  try {
    // The input may be unaligned and of any length; the reader needs whole,
    // aligned words.
    auto words = kj::heapArray<capnp::word>(
        (bytes.size() + sizeof(capnp::word) - 1) / sizeof(capnp::word));
    if (!bytes.empty())
      std::memcpy(words.begin(), bytes.data(), bytes.size());
    capnp::ReaderOptions options;
    options.traversalLimitInWords = TraversalLimitWords;
    capnp::FlatArrayMessageReader reader(words, options);
    return read(reader.getRoot<Root>());
  } catch (const kj::Exception &error) {
    return base::fail(code, error.getDescription().cStr());
  }
}

} // namespace

namespace {

TargetDeparture decodeDeparture(wire::Command::Reader from) {
  TargetDeparture departure{decode(from.getDeparture()), {}};
  for (const auto index : from.getExpired())
    departure.Expired.push_back(index);
  return departure;
}

} // namespace

std::string encodeCommand(const Command &command) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::Command>();
  if (const auto *items = std::get_if<routing::ConfigItems>(&command))
    encode(*items, root.initItems());
  else if (const auto *moves = std::get_if<keyspace::KeyAssignment>(&command))
    encode(*moves, root.initAssignment());
  else if (const auto *departure = std::get_if<TargetDeparture>(&command)) {
    encode(departure->Instance, root.initDeparture());
    auto expired = root.initExpired(sizeOf(departure->Expired));
    for (capnp::uint i = 0; i < expired.size(); ++i)
      expired.set(i, departure->Expired[i]);
  } else if (const auto *record =
                 std::get_if<keyspace::GrantRecord>(&command)) {
    auto to = root.initGrant();
    to.setService(asText(record->Service));
    encode(record->Instance, to.initLife());
    to.setHeartbeat(record->Heartbeat.Number);
    to.setAddress(asText(record->Heartbeat.Address));
  } else {
    const auto &evacuation = std::get<Evacuation>(command);
    auto to = root.initEvacuation();
    to.setDataCentre(asText(evacuation.DataCentre));
    to.setIsActive(evacuation.IsActive);
  }
  return serialize(message);
}

base::Result<Command> decodeCommand(std::string_view bytes) {
  return deserialize<wire::Command>(
      bytes, ResultCode::LogDamaged, [](wire::Command::Reader from) -> Command {
        switch (from.which()) {
        case wire::Command::ITEMS:
          return decode(from.getItems());
        case wire::Command::ASSIGNMENT:
          return decode(from.getAssignment());
        case wire::Command::DEPARTURE:
          return decodeDeparture(from);
        case wire::Command::EVACUATION:
          return Evacuation{toString(from.getEvacuation().getDataCentre()),
                            from.getEvacuation().getIsActive()};
        case wire::Command::GRANT:
          return keyspace::GrantRecord{toString(from.getGrant().getService()),
                                       decode(from.getGrant().getLife()),
                                       {toString(from.getGrant().getAddress()),
                                        from.getGrant().getHeartbeat()}};
        }
        // The macro ends with an empty statement.
        // NOLINTNEXTLINE(bugprone-suspicious-semicolon)
        KJ_FAIL_REQUIRE("unknown kind of command");
      });
}

std::string encodeFrame(const Frame &frame) {
  capnp::MallocMessageBuilder message;
  std::visit(FrameEncoder{message.initRoot<wire::Frame>()}, frame);
  return serialize(message);
}

base::Result<Frame> decodeFrame(std::string_view bytes) {
  return deserialize<wire::Frame>(
      bytes, ResultCode::PeerProtocol,
      [](wire::Frame::Reader from) { return decode(from); });
}

namespace internal {

std::string encodeSnapshot(const SnapshotParts &parts) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::State>();
  encode(parts.Config.listAll(), root.initItems());
  auto services = root.initKeys(sizeOf(parts.Keys.services()));
  capnp::uint n = 0;
  for (const auto &[service, keys] : parts.Keys.services())
    encodeKeys(service, keys, services[n++]);
  auto departures = root.initDepartures(sizeOf(parts.Departures));
  n = 0;
  for (const auto &[instance, index] : parts.Departures) {
    encode(instance, departures[n].initLife());
    departures[n++].setIndex(index);
  }
  encodeTexts(parts.Evacuations,
              root.initEvacuations(sizeOf(parts.Evacuations)));
  return serialize(message);
}

base::Result<SnapshotParts> decodeSnapshot(std::string_view bytes) {
  return deserialize<wire::State>(
      bytes, ResultCode::SnapshotDamaged, [](wire::State::Reader from) {
        SnapshotParts parts;
        parts.Config.apply(decode(from.getItems()));
        for (auto keys : from.getKeys())
          parts.Keys.restore(toString(keys.getService()), decodeKeys(keys));
        for (auto departure : from.getDepartures())
          parts.Departures.emplace(decode(departure.getLife()),
                                   departure.getIndex());
        for (auto &centre : decodeTexts(from.getEvacuations()))
          parts.Evacuations.insert(std::move(centre));
        return parts;
      });
}

} // namespace internal

} // namespace magnoliamill::fleet
